#include "control/job_requirements.h"

#include <gtest/gtest.h>

#include "config/constants.h"

namespace foxshunt::control {
namespace {

using plan::Millis;

TEST(JobRequirements, SpotMachinesAreAllowedOnlyForSpotJobs) {
  wire::JobSpec spec;
  EXPECT_FALSE(is_machine_allowed(spec, "small", "a", true));
  EXPECT_TRUE(is_machine_allowed(spec, "small", "a", false));
  spec.spot = true;
  EXPECT_TRUE(is_machine_allowed(spec, "small", "a", true));
}

TEST(JobRequirements, ZoneAndTypesRestrictTheMachinesIfSpecified) {
  wire::JobSpec spec;
  spec.zone = "a";
  spec.types = {"small", "large"};
  EXPECT_TRUE(is_machine_allowed(spec, "large", "a", false));
  EXPECT_FALSE(is_machine_allowed(spec, "large", "b", false));
  EXPECT_FALSE(is_machine_allowed(spec, "gpu", "a", false));
}

TEST(JobRequirements, AServiceIsBookedForThePlanningHorizon) {
  jobs::Job job;
  job.spec.kind = wire::JobKind::service;
  job.spec.estimate_s = 10;
  EXPECT_EQ(booking_duration(job), constants::kPlanHorizon);
}

TEST(JobRequirements, AShortTaskIsBookedForOneSecond) {
  jobs::Job job;
  job.spec.estimate_s = 0.2;
  EXPECT_EQ(booking_duration(job), Millis(1000));
  EXPECT_EQ(run_time_beyond_booking(job), Millis(0));
}

TEST(JobRequirements, ALongTaskRunsBeyondItsBooking) {
  jobs::Job job;
  job.spec.estimate_s = std::chrono::duration<double>(constants::kPlanHorizon).count() + 5;
  EXPECT_EQ(booking_duration(job), constants::kPlanHorizon);
  EXPECT_EQ(run_time_beyond_booking(job), Millis(5000));
}

TEST(JobRequirements, AZoneHoldsAtMostHalfOfASpreadJobRoundedUp) {
  wire::JobSpec spec;
  spec.tasks = 5;
  EXPECT_EQ(max_tasks_per_zone(spec), 3U);
}

}  // namespace
}  // namespace foxshunt::control
