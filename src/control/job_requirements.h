// What a job requires of machines and of time, as pure functions of its specification. They do not depend on the fleet
// or on running tasks.
#pragma once

#include <string>

#include "jobs/job_table.h"
#include "plan/planner.h"
#include "wire/messages.h"

namespace foxshunt::control {

// The resources that one task takes.
[[nodiscard]] plan::ResourceAmounts task_amounts(const wire::JobSpec& spec);
// The total resources of a machine of the type.
[[nodiscard]] plan::ResourceAmounts capacity_of(const wire::MachineType& type);

// Whether the job may run on machines of the type. A job that names no types may run on all.
[[nodiscard]] bool is_type_allowed(const wire::JobSpec& spec, const std::string& type);
// Whether the job's constraints on machine type, zone and spot instances allow such a machine.
[[nodiscard]] bool is_machine_allowed(const wire::JobSpec& spec, const std::string& type, const std::string& zone,
                                      bool spot);

[[nodiscard]] inline bool is_gang(const jobs::Job& job) { return job.spec.kind == wire::JobKind::gang; }
[[nodiscard]] inline bool is_service(const jobs::Job& job) { return job.spec.kind == wire::JobKind::service; }

// The maximum number of a `spread` job's tasks in one zone: half of them, rounded up.
[[nodiscard]] std::uint32_t max_tasks_per_zone(const wire::JobSpec& spec);

// For how long a task is booked: its estimated run time, between one second and kPlanHorizon. kPlanHorizon for services
// and for jobs without an estimate.
[[nodiscard]] plan::Millis booking_duration(const jobs::Job& job);
// How long a task runs by its estimate, without the limit of kPlanHorizon; never less than booking_duration().
[[nodiscard]] plan::Millis estimated_run_time(const jobs::Job& job);
// The part of the estimated run time that the booking does not cover.
[[nodiscard]] plan::Millis run_time_beyond_booking(const jobs::Job& job);

// Builds a planner request for `count` of the job's tasks to start at `from` or later. The caller adds the candidate
// machines and the zones of tasks that are allocated already.
[[nodiscard]] plan::PlacementRequest make_planning_request(const jobs::Job& job, std::uint32_t count,
                                                           plan::Instant from);

}  // namespace foxshunt::control
