// What a job's specification asks of machines and of time, as pure functions of the specification: nothing here knows
// which machines there are or what runs on them.
#pragma once

#include <string>

#include "jobs/job_table.h"
#include "plan/planner.h"
#include "wire/messages.h"

namespace foxshunt::control {

// What one task takes.
[[nodiscard]] plan::ResourceAmounts task_amounts(const wire::JobSpec& spec);
// What a whole machine of the type has.
[[nodiscard]] plan::ResourceAmounts capacity_of(const wire::MachineType& type);

[[nodiscard]] bool is_type_allowed(const wire::JobSpec& spec, const std::string& type);
[[nodiscard]] bool is_machine_allowed(const wire::JobSpec& spec, const std::string& type, const std::string& zone,
                                      bool spot);

[[nodiscard]] inline bool is_gang(const jobs::Job& job) { return job.spec.kind == wire::JobKind::gang; }
[[nodiscard]] inline bool is_service(const jobs::Job& job) { return job.spec.kind == wire::JobKind::service; }

// How many of a spread job's tasks one zone may hold.
[[nodiscard]] std::uint32_t max_tasks_per_zone(const wire::JobSpec& spec);

// For how long a task is booked: its estimate, cut at the planner's horizon.
[[nodiscard]] plan::Millis estimate(const jobs::Job& job);
// How long a task runs by its estimate, also beyond the planner's horizon.
[[nodiscard]] plan::Millis run_time(const jobs::Job& job);
// The part of the run time that a booking leaves out.
[[nodiscard]] plan::Millis run_time_beyond_booking(const jobs::Job& job);

// Asks the planner for so many of the job's tasks from a moment on; places and what the job has placed already are added by
// the caller.
[[nodiscard]] plan::PlacementRequest planning_request(const jobs::Job& job, std::uint32_t count, plan::Instant from);

}  // namespace foxshunt::control
