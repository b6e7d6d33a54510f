// The messages of PROTOCOL's interfaces in foxshunt's own terms; the odd words of the wire end here.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wire/ids.h"
#include "wire/value.h"

namespace foxshunt::wire {

// ---- users ----

enum class JobKind : std::uint8_t { array, gang, service };
enum class Priority : std::uint8_t { best_effort, standard, high, production };  // in rising order

struct JobSpec {
  JobId id;
  std::string job_class;
  std::string team;
  JobKind kind = JobKind::array;
  Priority priority = Priority::standard;
  std::uint32_t tasks = 0;
  double cpus = 0;
  double gpus = 0;
  double ram_gb = 0;
  std::string image;
  double image_gb = 0;
  std::vector<std::string> types;  // empty: any
  std::string zone;                // empty: any
  bool one_zone = false;
  bool spread = false;
  bool spot = false;
  double estimate_s = 0;
  double checkpoint_s = 0;
  double save_s = 0;
  std::optional<double> deadline_s;
};

enum class JobState : std::uint8_t { pending, running, done, cancelled };

struct JobStatus {
  JobId id;
  JobState state = JobState::pending;
  std::uint64_t done = 0;
  std::uint64_t running = 0;
};

[[nodiscard]] bool is_job_id(std::string_view text);
[[nodiscard]] std::optional<JobId> peek_job_id(const Value& body);
[[nodiscard]] JobSpec job_spec_from(const Value& body);  // throws Malformed
[[nodiscard]] Value to_value(const JobSpec& spec);
[[nodiscard]] Value to_value(const JobStatus& status);
[[nodiscard]] JobStatus job_status_from(const Value& body);
[[nodiscard]] std::string_view name_of(JobState state);

// ---- workers ----

enum class TaskState : std::uint8_t { fetching, waiting, running, saving, ended };
enum class EndReason : std::uint8_t { none, done, stopped, peers_gone, alone, error, no_room, in_use, unknown };

struct TaskStatus {
  TaskKey task;
  AttemptNumber attempt;
  TaskState state = TaskState::fetching;
  EndReason reason = EndReason::none;
  bool saved = false;
};

struct Heartbeat {
  MachineId machine;
  std::string address;
  std::string type;
  std::string zone;
  bool spot = false;
  AgentIncarnation incarnation;
  std::uint64_t sequence = 0;
  Term term;                       // highest that the worker has seen
  std::optional<double> notice_s;  // until the cloud takes the machine
  std::vector<TaskStatus> tasks;
};

enum class CommandKind : std::uint8_t { run, stop, clear };

struct Command {
  CommandKind kind = CommandKind::run;
  TaskKey task;
  AttemptNumber attempt;
  double grace_s = 0;
  friend bool operator==(const Command&, const Command&) = default;
};

[[nodiscard]] std::optional<TaskKey> task_key_from(std::string_view text);
[[nodiscard]] Heartbeat heartbeat_from(const Value& body);  // throws Malformed
[[nodiscard]] Value to_value(const Heartbeat& heartbeat);
[[nodiscard]] Value heartbeat_response(Term term, const std::vector<Command>& commands);
[[nodiscard]] Value direct_commands(Term term, AgentIncarnation incarnation, const std::vector<Command>& commands);
[[nodiscard]] std::vector<Command> commands_from(const Value& body);
[[nodiscard]] Value redirect_to(const NodeName& node);
[[nodiscard]] std::string_view name_of(TaskState state);
[[nodiscard]] std::string_view name_of(EndReason reason);

// ---- cloud ----

struct MachineType {
  std::string name;
  double cpus = 0;
  double gpus = 0;
  double ram_gb = 0;
  double cache_gb = 0;
  double fetch_gb_per_s = 0;
  double price = 0;       // an hour
  double spot_price = 0;  // an hour, now
  double boot_s = 0;
  std::vector<std::string> zones;
};

enum class ListedState : std::uint8_t { starting, running, failed };

struct ListedMachine {
  MachineId id;
  std::string address;
  std::string type;
  std::string zone;
  bool spot = false;
  ListedState state = ListedState::starting;
  double age_s = 0;
};

struct MachinePage {
  std::vector<ListedMachine> machines;
  bool more = false;
};

struct ScaleOutRequest {
  std::string request;
  std::string type;
  std::string zone;
  bool spot = false;
  std::uint64_t count = 0;
};

[[nodiscard]] std::vector<MachineType> machine_types_from(const Value& body);
[[nodiscard]] Value to_value(const std::vector<MachineType>& types);
[[nodiscard]] MachinePage machine_page_from(const Value& body);
[[nodiscard]] Value to_value(const ScaleOutRequest& request);
[[nodiscard]] Value machine_names(const std::vector<MachineId>& machines);
[[nodiscard]] std::vector<MachineId> machine_names_from(const Value& body);

}  // namespace foxshunt::wire
