// foxshunt's own stand-in for a worker and its machine: sessions, leases, tokens, commands and gangs as
// PROTOCOL has them. Time is passed in; whoever owns it carries its reports.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "plan/usage_vector.h"
#include "wire/messages.h"

namespace foxshunt::standins {

using plan::Instant;
using plan::Millis;

struct Attempt {
  wire::JobSpec spec;
  AttemptNumber number;
  wire::TaskState state = wire::TaskState::fetching;
  wire::EndReason reason = wire::EndReason::none;
  bool saved = false;
  bool on_machine = false;       // from having its image until it ends
  Instant ready;                 // when its image was there
  std::optional<Instant> began;  // running since
  Millis length{};               // run time left when it began
  std::optional<Instant> saved_at;
};

// What a worker asks of the world around it.
class Surroundings {
 public:
  virtual ~Surroundings() = default;
  virtual const wire::JobSpec* job(const JobId& id) = 0;  // what its user uploaded
  virtual Millis run_left(const TaskKey& task) = 0;       // after what was saved
  virtual bool is_done(const TaskKey& task) = 0;
  virtual void keep_progress(const TaskKey& task, Millis progress) = 0;  // saved outside the machine
  virtual void on_started(const TaskKey& task, AttemptNumber attempt, const MachineId& machine) = 0;
  virtual void on_gone(const TaskKey& task, AttemptNumber attempt, const MachineId& machine, bool done) = 0;
};

class Worker {
 public:
  Worker(MachineId id, const wire::MachineType& type, std::string zone, bool spot, Millis lease, Surroundings& around,
         Instant now);

  [[nodiscard]] wire::Heartbeat heartbeat();
  // The answer to a report that was sent at `sent`; false when it was dropped.
  bool answer(Term term, const std::vector<wire::Command>& commands, AgentIncarnation incarnation, Instant sent,
              Instant now);
  // POST /commands: whether they were executed.
  bool direct(Term term, AgentIncarnation incarnation, const std::vector<wire::Command>& commands, Instant now);
  // Lets time pass: images arrive, tasks end, the lease may expire. True when something changed.
  bool advance(Instant now);
  void kill(Instant now);  // the machine is gone

  [[nodiscard]] const MachineId& id() const { return id_; }
  [[nodiscard]] std::map<std::pair<TaskKey, AttemptNumber>, Attempt>& attempts() { return attempts_; }
  [[nodiscard]] const std::map<std::pair<TaskKey, AttemptNumber>, Attempt>& attempts() const { return attempts_; }
  [[nodiscard]] Term term() const { return term_; }
  [[nodiscard]] AgentIncarnation incarnation() const { return session_; }
  [[nodiscard]] std::size_t killed_by_lease() const { return killed_by_lease_; }

  bool alive = true;
  bool hung = false;
  bool faulty = false;                                          // tasks fail on it
  bool shares_fetch = false;                                    // images fetched at the same time share the rate
  Millis gang_wait{Millis::max()};                              // a task waits so long for its gang
  std::optional<Instant> taken_at;                              // announced
  std::function<bool(const JobId&, AttemptNumber)> gang_ready;  // all tasks of the attempt have their image

 private:
  // Whether the image is there; using it makes it the newest, and the oldest go for want of room.
  [[nodiscard]] bool has(const std::string& image) const;
  void use(const std::string& image, double gb);
  // PROTOCOL: an image is fetched once for all tasks that need it, and given up when none waits for it any more.
  struct Fetch {
    double left_gb = 0;
    Instant as_of;
  };
  [[nodiscard]] Instant arrives(const Fetch& fetch) const;
  // What was fetched until now counts; what nobody waits for is given up. To be called when either changes.
  void settle_fetches(Instant now);
  void fetch_images(Instant now);
  void execute(const std::vector<wire::Command>& commands, Instant now);
  void end(const TaskKey& task, Attempt& attempt, wire::EndReason reason, Instant now);

  MachineId id_;
  wire::MachineType type_;
  std::string zone_;
  bool spot_;
  Millis lease_;
  Surroundings& around_;
  AgentIncarnation session_{1};
  std::uint64_t sequence_ = 0;
  std::size_t killed_by_lease_ = 0;
  Term term_;
  Instant lease_from_;
  std::map<std::pair<TaskKey, AttemptNumber>, Attempt> attempts_;
  std::vector<std::pair<std::string, double>> images_;  // name and GB, most recently used first
  std::map<std::string, Fetch> fetches_;                // under way
  Instant now_;
};

}  // namespace foxshunt::standins
