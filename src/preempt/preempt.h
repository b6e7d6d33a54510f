// The choice of running work that is stopped to make room for other work, by the rules of "Preemption" in PROTOCOL.
// Pure: takes a description of what runs on each machine and returns what to stop. The caller stops the tasks in
// order.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "plan/usage_vector.h"
#include "plan/planner.h"
#include "wire/messages.h"

namespace foxshunt::preempt {

// Running work that can only be stopped as a whole: a task, or all tasks of a gang, which may run on several machines.
struct Victim {
  JobId job;
  std::vector<TaskKey> tasks;
  wire::Priority priority = wire::Priority::standard;
  bool borrowed = false;        // its job exceeds the guarantee of its team
  bool same_team = false;       // its team is the team of the request
  plan::Millis running_time{};  // of the task that has run the shortest
  plan::Millis lost_work{};     // run time that has to be repeated if it is stopped, summed over its tasks
  plan::Millis remaining{};     // expected time until it ends by itself
  std::optional<plan::Millis> since_last_displaced;  // unset if its job was never displaced
  // The order of job classes protects it: the freed room would go to other work than the request.
  bool is_protected = false;
};

// A machine that the request may use.
struct PreemptionCandidate {
  MachineId machine;
  std::string zone;
  plan::ResourceAmounts free;
  // Indexes of the victims on this machine, each with the amounts that stopping it frees there.
  std::vector<std::pair<std::size_t, plan::ResourceAmounts>> victim_amounts;
};

// Tasks of one job that need room.
struct PreemptionRequest {
  plan::ResourceAmounts per_task;
  std::uint32_t count = 0;  // of tasks
  bool is_gang = false;     // room for fewer than all tasks is of no use
  bool one_zone = false;    // the room has to be in one zone
  wire::Priority priority = wire::Priority::standard;
  bool guaranteed = false;       // the job fits into the guarantee of its team
  plan::Millis expected_wait{};  // how long the tasks would wait without preemption
};

// Whether PROTOCOL allows the request to displace the victim, by priorities and guarantees alone.
[[nodiscard]] bool is_preemption_allowed(const PreemptionRequest& request, const Victim& victim);
// Whether displacing the victim is allowed and worth its cost. It is not worth its cost if the victim has only just
// started (kMinRunBeforePreemption), is about to end (kMinRemainingToPreempt), was displaced recently
// (kPreemptionCooldown), or would have to repeat more work than the time that the request would wait.
[[nodiscard]] bool should_preempt(const PreemptionRequest& request, const Victim& victim);

// Returns the indexes of the victims to stop, in ascending order. Returns none if nothing has to or may be stopped,
// or if a gang would not get room for all of its tasks.
[[nodiscard]] std::vector<std::size_t> choose_victims(const PreemptionRequest& request,
                                                      const std::vector<Victim>& victims,
                                                      const std::vector<PreemptionCandidate>& candidates);

}  // namespace foxshunt::preempt
