// A leader with a fleet at work and a queue behind it, of the size that the grown deployments have. The same every
// time: no clock, no random numbers.
#pragma once

#include <string>
#include <vector>

#include "control/controller.h"

namespace foxshunt::bench {

class BusyFleet {
 public:
  // `gangs` and `arrays` wait or run on `machines` machines, a third of which have GPUs.
  BusyFleet(std::size_t machines, std::size_t gangs, std::size_t arrays);

  // A pass as the plan duty makes it, then everything durable and started.
  void pass();
  void advance(plan::Millis span) { now_ += span; }
  // Jobs end: the first that runs, with all its tasks.
  void end_one();

  [[nodiscard]] control::Controller& controller() { return controller_; }
  [[nodiscard]] plan::Instant now() const { return now_; }
  // What the machine's worker says now.
  [[nodiscard]] wire::Heartbeat heartbeat_of(const MachineId& machine);
  [[nodiscard]] const std::vector<MachineId>& machines() const { return machines_; }
  void heartbeat_all();
  void add_job(bool gang);

 private:
  void write_all();

  plan::Instant now_{plan::Millis(1'000'000)};
  control::Controller controller_;
  std::vector<MachineId> machines_;
  std::map<MachineId, std::uint64_t> sequences_;
  std::set<TaskKey> ended_;
  std::uint64_t revision_ = 10;
  std::size_t jobs_ = 0;
};

}  // namespace foxshunt::bench
