// What a leader knows that no record tells: soft state, as a value. It steers a new leader's plans until its own eyes have
// seen the fleet; it proves nothing (docs/design/standby.md).
#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "plan/usage_vector.h"
#include "wire/messages.h"

namespace foxshunt::standby {

using plan::Instant;
using plan::Millis;

// A shared value that never changes: pictures, tables and words hold the same one.
template <typename T>
class Shared {
 public:
  Shared(T value) : value_(std::make_shared<const T>(std::move(value))) {}
  const T& operator*() const { return *value_; }
  const T* operator->() const { return value_.get(); }
  friend bool operator==(const Shared& one, const Shared& other) {
    return one.value_ == other.value_ || *one.value_ == *other.value_;
  }

 private:
  std::shared_ptr<const T> value_;
};

struct Machine {
  std::string address;
  std::string type;
  std::string zone;
  bool spot = false;
  bool up = false;  // otherwise it boots
  AgentIncarnation incarnation;
  Instant since;  // rented, or first heard of
  Instant ready;  // of one that boots: when it is expected
  std::uint64_t errors = 0;
  std::vector<std::string> images;
  friend bool operator==(const Machine&, const Machine&) = default;
};

// A task that runs, or has progress saved.
struct Task {
  AttemptNumber attempt;         // 0: it does not run
  std::optional<Instant> began;  // of that attempt
  Millis saved{};                // progress of earlier attempts
  friend bool operator==(const Task&, const Task&) = default;
};

// A job whose tasks fail.
struct JobFailures {
  std::uint64_t errors = 0;
  Instant not_before;
  std::vector<MachineId> failed_on;
  friend bool operator==(const JobFailures&, const JobFailures&) = default;
};

// A kind of machine of which the cloud refused more.
struct Refusal {
  std::string zone;
  bool spot = false;
  Instant not_before;
  Millis pause{};
  std::optional<std::uint64_t> most;  // held when it refused
  friend bool operator==(const Refusal&, const Refusal&) = default;
};

// Jobs of a class that came within one `kStandbyArrivals`.
struct Arrivals {
  Instant from;
  std::uint64_t jobs = 0;
  std::uint64_t tasks = 0;
  friend bool operator==(const Arrivals&, const Arrivals&) = default;
};

// What a class's jobs need, and the most tasks that one had of late.
struct Sample {
  double cpus = 0;
  double gpus = 0;
  double ram_gb = 0;
  double image_gb = 0;
  double estimate_s = 0;
  bool spot = false;
  std::uint64_t largest = 0;
  friend bool operator==(const Sample&, const Sample&) = default;
};

// GPUs wanted at once, falling; and the most CPUs and gigabytes that tasks use for each GPU. All in thousandths.
struct GpuDemand {
  std::vector<std::pair<Instant, std::uint64_t>> peaks;
  std::uint64_t cpus_beside = 0;
  std::uint64_t ram_beside = 0;
  friend bool operator==(const GpuDemand&, const GpuDemand&) = default;
};

enum class Kind : std::uint8_t { machine, task, trouble, refusal, arrivals, sample, gpus };
inline constexpr std::size_t kKinds = 7;

// In the order of Kind.
using EntryValue = std::variant<Shared<Machine>, Task, Shared<JobFailures>, Shared<Refusal>, Arrivals, Shared<Sample>,
                                Shared<GpuDemand>>;

struct Key {
  Kind kind = Kind::machine;
  std::string name;          // of the machine, job, class or machine type; empty for GPUs
  std::uint32_t number = 0;  // of a task; of arrivals, to tell them apart; of a refusal, the zone and whether spot
  friend auto operator<=>(const Key&, const Key&) = default;
};

struct SoftStateEntry {
  Key key;
  EntryValue what;
  friend bool operator==(const SoftStateEntry&, const SoftStateEntry&) = default;
};

struct SoftStateSnapshot {
  Term term;
  Instant taken;                        // by the clock of the node that holds it
  double starts_s = 0;                  // tasks begun a second, of late
  std::vector<SoftStateEntry> entries;  // by key, each once

  [[nodiscard]] std::size_t count(Kind kind) const {
    return static_cast<std::size_t>(
        std::ranges::count(entries, kind, [](const SoftStateEntry& fact) { return fact.key.kind; }));
  }
};

}  // namespace foxshunt::standby
