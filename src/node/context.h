// What the duties of one node share.
#pragma once

#include <condition_variable>
#include <mutex>
#include <stop_token>

#include "config/settings.h"
#include "control/engine.h"
#include "net/socket.h"
#include "node/counters.h"
#include "node/duty_mutex.h"
#include "node/shared.h"
#include "node/standby.h"
#include "health/health.h"
#include "kv/budget.h"

namespace foxshunt::node {

inline plan::Instant now() { return std::chrono::floor<plan::Millis>(net::Clock::now()); }
inline std::int64_t wall_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// A flag that one duty raises and another waits for.
class Signal {
 public:
  void raise();
  // Waits until it is raised, the time is over or a stop is asked for; then lowers it. Whether it was raised.
  bool wait(const std::stop_token& stop, std::chrono::milliseconds most);

 private:
  std::mutex mutex_;
  std::condition_variable_any raised_;
  bool up_ = false;
};

// Sleeps unless a stop is asked for; false then.
bool pause(const std::stop_token& stop, std::chrono::milliseconds span);

struct Context {
  explicit Context(const config::Settings& from);

  config::Settings settings;
  net::Address state_address;
  net::Address cloud_address;
  kv::RateBudget budget;
  const net::Clock::time_point began = net::Clock::now();
  Tallies tallies;

  DutyMutex engine_mutex;                    // never held across I/O
  std::condition_variable_any engine_moved;  // with engine_mutex: a write or a planning pass has ended
  control::Engine engine;
  Signal lead_signal;  // the lead may be over
  Signal plan_signal;
  Signal write_signal;
  Signal cloud_signal;
  Signal halt_signal;
  Signal keep_signal;
  Signal standby_signal;
  std::vector<control::DirectHalt> halts;  // with engine_mutex: to be sent
  std::condition_variable_any led;         // with engine_mutex: this node has begun to lead
  Revision follow_from;                    // with engine_mutex: up to here the leader knows the records

  Shared shared;  // the records, as this node knows them; its own mutex, taken after engine_mutex if both are

  Standby standby;  // its own mutex as well

  std::mutex view_mutex;
  NodeName leader;  // as last read; empty: none
  Term term;
  std::vector<wire::MachineType> types;  // for judging submissions

  std::mutex health_mutex;
  health::HealthCheck health;

  // The leader's duties of a node that does not lead wait here, so that it costs nothing. False when a stop is asked for.
  bool wait_to_lead(const std::stop_token& stop);

  void heard_state();
  [[nodiscard]] plan::Millis state_silent_for();
  // Takes note of who leads; false if a later term is known already.
  bool learn_lead(const NodeName& of, Term in);
};

}  // namespace foxshunt::node
