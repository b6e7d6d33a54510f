// How long a takeover takes, from the last sign of life of the leader before to the first start and to its rate of starts;
// and how many tasks begin a second. Told what happens and when; decides nothing. Pure.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <utility>

#include "plan/usage_vector.h"
#include "wire/ids.h"

namespace foxshunt::standby {

using plan::Instant;
using plan::Millis;

enum class Phase : std::uint8_t { noticed, took, knew, heard, planned, placed, started, rate };
inline constexpr std::array kPhaseNames{"noticed", "took", "knew", "heard", "planned", "placed", "started", "rate"};

class FailoverTimeline {
 public:
  // The last that was heard of the leader; a later one ends nothing that is being watched.
  void sign(Instant when) {
    sign_ = when;
    noticed_.reset();  // somebody has taken it meanwhile
  }
  // The lead was found to be free.
  void noticed(Instant when);
  // This node leads. `former_s`: starts a second before, if that is known.
  void led(Term term, Instant took, Instant knew, std::optional<double> former_s);
  void hinted(std::size_t entries, std::optional<double> former_s);
  // The first time of each counts.
  void reached(Phase phase, Instant when);
  void started(std::uint64_t tasks, Instant when);
  // Once for each takeover: when the rate is back, or after a while.
  [[nodiscard]] std::optional<std::string> line(Instant now);

  // Since the last sign of life; nothing before it was reached.
  [[nodiscard]] std::optional<Millis> span(Phase phase) const;
  [[nodiscard]] double starts_s(Instant now) const;
  [[nodiscard]] std::uint64_t takeovers() const { return takeovers_; }
  [[nodiscard]] std::optional<std::size_t> hints() const { return hints_; }

 private:
  [[nodiscard]] std::uint64_t starts_within(Millis span, Instant now) const;

  std::optional<Instant> sign_;
  std::optional<Instant> began_;  // of the takeover that is watched, or was last
  std::optional<Instant> noticed_;
  std::array<std::optional<Instant>, kPhaseNames.size()> at_{};
  std::optional<double> former_s_;
  std::optional<std::size_t> hints_;
  Term term_;
  Instant knew_;
  bool watching_ = false;
  std::uint64_t takeovers_ = 0;
  std::uint64_t starts_ = 0;                               // since it leads
  std::deque<std::pair<Instant, std::uint64_t>> started_;  // of late
};

}  // namespace foxshunt::standby
