// Exact amounts of a resource. Whether a task fits is decided by sums over hundreds of tasks, so an amount must not be
// rounded: neither to fewer decimals than it was given with, nor to the nearest binary fraction.
#pragma once

namespace foxshunt::plan {

// An amount of one resource in units of 10^-21 of a CPU, of a GPU or of a gigabyte. Sums, differences and products are
// exact. 128 bits hold 1.7 * 10^17 whole CPUs.
__extension__ typedef __int128 AmountUnits;  // NOLINT(modernize-use-using): an alias declaration can't be an extension

inline constexpr AmountUnits kUnitsPerWhole = AmountUnits{1'000'000'000} * 1'000'000'000'000;

// The largest amount that one value may have, in whole CPUs, GPUs or gigabytes. 100,000 times as much does not overflow.
inline constexpr double kMaxWholeAmount = 1e12;

// Converts the decimal number that `whole` was given as: the shortest one that reads back as the same double. Decimals
// beyond the 21st are rounded up, so that no positive amount becomes zero. Negative amounts become zero, amounts above
// kMaxWholeAmount become kMaxWholeAmount.
[[nodiscard]] AmountUnits to_amount_units(double whole);

// The amount in whole CPUs, GPUs or gigabytes, for weights and messages. Not exact, and slow: a conversion takes about
// as long as a division.
[[nodiscard]] inline double to_whole(AmountUnits units) {
  return static_cast<double>(units) / static_cast<double>(kUnitsPerWhole);
}

}  // namespace foxshunt::plan
