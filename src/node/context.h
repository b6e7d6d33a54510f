// What the duties of one node share.
#pragma once

#include <condition_variable>
#include <mutex>
#include <stop_token>

#include "config/settings.h"
#include "control/engine.h"
#include "health/health.h"
#include "net/socket.h"
#include "node/auto_reset_event.h"
#include "node/metrics.h"
#include "node/priority_mutex.h"
#include "node/shared_records.h"
#include "node/standby_state.h"
#include "state/budget.h"

namespace foxshunt::node {

struct Context {
  explicit Context(const config::Settings& from);

  config::Settings settings;
  net::Address state_address;
  net::Address cloud_address;
  state::RateBudget budget;
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
