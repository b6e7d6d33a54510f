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
  Metrics metrics;

  PriorityMutex engine_mutex;                 // never held across I/O
  std::condition_variable_any progress_made;  // with engine_mutex: a write or a planning pass has ended
  control::Engine engine;
  AutoResetEvent lead_signal;  // the lead may be over
  AutoResetEvent plan_signal;
  AutoResetEvent write_signal;
  AutoResetEvent cloud_signal;
  AutoResetEvent halt_signal;
  AutoResetEvent keep_signal;
  AutoResetEvent standby_signal;
  std::vector<control::DirectHalt> halts;     // with engine_mutex: to be sent
  std::condition_variable_any became_leader;  // with engine_mutex: this node has begun to lead
  Revision follow_from;                       // with engine_mutex: up to here the leader knows the records

  SharedRecords shared;  // the records, as this node knows them; its own mutex, taken after engine_mutex if both are

  StandbyState standby;  // its own mutex as well

  std::mutex view_mutex;
  NodeName leader;  // as last read; empty: none
  Term term;
  std::vector<wire::MachineType> types;  // for judging submissions

  std::mutex health_mutex;
  health::HealthCheck health;

  // The leader's duties of a node that does not lead wait here, so that it costs nothing. False when a stop is asked for.
  bool wait_until_leader(const std::stop_token& stop);

  void on_store_answered();
  [[nodiscard]] plan::Millis store_silent_for();
  // Takes note of who leads; false if a later term is known already.
  bool observe_leader(const NodeName& of, Term in);
};

}  // namespace foxshunt::node
