// A scenario: a text file, one command a line, told in README.md beside it, that is read and then played.
#pragma once

#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "scenarios/scenario_words.h"
#include "standins/world.h"

namespace foxshunt::standins {

class Scenario {
 public:
  // Throws std::runtime_error with file and line if there is a command, a trouble or a figure that is not known.
  explicit Scenario(const std::filesystem::path& path);

  // Plays it; what does not hold is a failure of the test that runs.
  void run();

 private:
  // Told when it is asked: who leads then, or which machines there are.
  using Node = std::function<std::size_t()>;
  using Machines = std::function<std::vector<MachineId>()>;

  World& world();

  // ---- declarations (scenario.cpp) ----
  void read(const Words& words, int line);
  void read_settings(const Words& words);
  void read_type(const Words& words);
  void read_team(const Words& words);
  void read_objective(const Words& words);
  void read_class(const Words& words);
  void read_calendar(const Words& words);
  void read_stream(const Words& words);
  [[nodiscard]] static catalog::PoolDef read_pool(const Words& words);
  [[nodiscard]] static Submission read_job(const Words& words);

  // ---- events (scenario_events.cpp) ----
  void read_event(double when_s, const Words& words, int line);
  // Whether the event is one of these.
  bool read_user_event(double when_s, const std::string& verb, Arguments& arguments);
  bool read_controller_event(double when_s, const std::string& verb, Arguments& arguments);
  bool read_network_event(double when_s, const std::string& verb, Arguments& arguments);
  bool read_machine_event(double when_s, const std::string& verb, Arguments& arguments);
  bool read_message_event(double when_s, const std::string& verb, Arguments& arguments);
  void read_crashes(double when_s, Arguments& arguments);
  // `N` or `leader`.
  [[nodiscard]] Node read_node(Arguments& arguments);
  // `m-000001`, `share P` or `zone Z`.
  [[nodiscard]] Machines read_machines(Arguments& arguments);
  void schedule(double when_s, std::function<void()> what) { world().at(when_s, std::move(what)); }

  // ---- expectations (scenario_expectations.cpp) ----
  void expect(const Words& words, int line);
  void expect_job(const Words& words);
  void expect_task(const Words& words);
  void expect_queue(const Words& words);
  void expect_calendar(const Words& words);
  void expect_pool(const Words& words);
  void expect_world(const Words& words);

  std::string name_;
  unsigned seed_ = 1;
  std::size_t nodes_ = 3;
  double end_s_ = 0;
  int expectations_ = 0;
  config::Settings settings_;
  std::vector<Supply> supplies_;
  std::vector<catalog::PoolDef> pools_;
  catalog::Set catalog_;
  std::unique_ptr<World> world_;
};

}  // namespace foxshunt::standins
