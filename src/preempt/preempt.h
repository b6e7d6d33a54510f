// Which running work makes room for what may displace it, by PROTOCOL's "Preemption". Pure: it is shown what runs on each
// machine and answers with tasks to stop; whoever asks stops them in order.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "plan/usage_vector.h"
#include "plan/planner.h"
#include "wire/messages.h"

namespace foxshunt::preempt {

// A job's work that runs, on one machine or, of a gang, on several: it is stopped as a whole or not at all.
struct Victim {
  JobId job;
  std::vector<TaskKey> tasks;
  wire::Priority priority = wire::Priority::standard;
  bool borrowed = false;                             // beyond its team's guarantee
  bool same_team = false;                            // as the work that asks
  plan::Millis running_time{};                       // the shortest of its tasks
  plan::Millis lost_work{};                          // work that stopping it repeats, of all its tasks
  plan::Millis remaining{};                          // until it would end by itself
  std::optional<plan::Millis> since_last_displaced;  // since it was last displaced
  bool is_protected = false;                         // by the order of classes: the room would not be the asking work's
};

// A machine that the asking work may use, and what of its room each victim there would give.
struct PreemptionCandidate {
  MachineId machine;
  std::string zone;
  plan::ResourceAmounts free;
  std::vector<std::pair<std::size_t, plan::ResourceAmounts>> victim_amounts;  // by victims, as numbered
};

struct PreemptionRequest {
  plan::ResourceAmounts per_task;
  std::uint32_t count = 0;
  bool is_gang = false;  // all or nothing
  bool one_zone = false;
  wire::Priority priority = wire::Priority::standard;
  bool guaranteed = false;       // fits into its team's guarantee
  plan::Millis expected_wait{};  // how long it would wait otherwise
};

// Whether PROTOCOL lets the one displace the other at all, by priorities and guarantees.
[[nodiscard]] bool is_preemption_allowed(const PreemptionRequest& request, const Victim& victim);
// The same, and whether that is worth it: neither work that has only begun nor
// work that is about to end nor what was displaced of late, and nothing that repeats more work than the other waits.
[[nodiscard]] bool should_preempt(const PreemptionRequest& request, const Victim& victim);

// The victims to stop, as numbered; none when that would not make room.
[[nodiscard]] std::vector<std::size_t> choose_victims(const PreemptionRequest& request,
                                                      const std::vector<Victim>& victims,
                                                      const std::vector<PreemptionCandidate>& candidates);

}  // namespace foxshunt::preempt
