/// What the loops of one node share, in groups: each mutex stands beside what it guards.
///
/// Lock order: ControllerState::mutex, then SharedRecords::mutex or the mutex inside StandbyState, then ClusterView::mutex
/// or HealthState::mutex. Hardly any code holds two; none holds one across I/O.
///
/// Threads: Node owns the thread of each loop and joins it (node.cpp); StopSender owns the threads that it starts for
/// single machines; the HTTP servers own those of their connections. A loop ends when its stop token is set.
#pragma once

#include <condition_variable>
#include <mutex>
#include <stop_token>
#include <vector>

#include "config/settings.h"
#include "control/controller.h"
#include "health/health.h"
#include "net/socket.h"
#include "node/auto_reset_event.h"
#include "node/metrics.h"
#include "node/priority_mutex.h"
#include "node/shared_records.h"
#include "node/standby_state.h"
#include "kv/rate_limiter.h"

namespace foxshunt::node {

/// The controller's decisions and what is handed over together with them. All members are used with `mutex` held.
struct ControllerState {
  explicit ControllerState(const config::Settings& settings) : controller(settings) {}

  PriorityMutex mutex;
  std::condition_variable_any progress_made;  ///< a write or a planning pass has ended
  std::condition_variable_any became_leader;  ///< this node has begun to lead
  control::Controller controller;
  std::vector<control::DirectStop> direct_stops;  ///< to be sent to workers directly
  Revision watch_from;                            ///< up to here the leader knows the records
};

/// How one loop wakes another before its interval is over. Each event is synchronised in itself.
struct Wakeups {
  AutoResetEvent leader_elector;  ///< leadership may be over
  AutoResetEvent scheduler;
  AutoResetEvent record_writer;
  AutoResetEvent cloud_loop;
  AutoResetEvent stop_sender;
  AutoResetEvent record_controllers;
  AutoResetEvent standby_subscriber;
};

/// Who leads and in which term, as this node knows it.
struct KnownLeader {
  NodeName leader;  ///< empty: nobody
  Term term;
};

/// What a node knows of the cluster without leading it. All members are used with `mutex` held.
struct ClusterView {
  std::mutex mutex;
  NodeName leader;  ///< as last read; empty: none
  Term term;
  std::vector<wire::MachineType> types;  ///< submissions are checked against them
};

/// This node's own contact with the state service. `check` is used with `mutex` held.
struct HealthState {
  HealthState(plan::Instant now, std::size_t siblings) : check(now, siblings) {}

  std::mutex mutex;
  health::HealthCheck check;
};

/// Owned by Node; outlives all loops and request handlers.
struct Context {
  /// Throws config::BadSettings when an address can't be read.
  explicit Context(const config::Settings& from);

  const config::Settings settings;
  const net::Address state_address;
  const net::Address cloud_address;
  kv::RateLimiter rate_limiter;  ///< synchronised in itself
  const net::Clock::time_point began = net::Clock::now();
  Metrics metrics;  ///< synchronised in itself

  ControllerState control_state;
  Wakeups wakeups;
  SharedRecords shared;
  StandbyState standby;
  ClusterView cluster_view;
  HealthState health;

  /// Blocks a leader's loop until this node leads, so that it costs a follower nothing. False when a stop is asked for.
  bool wait_until_leader(const std::stop_token& stop);

  /// The state service has answered just now.
  void on_store_answered();
  /// The time since the state service last answered.
  [[nodiscard]] plan::Millis store_silent_for();
  /// Takes note of who leads; false if a later term is known already.
  bool observe_leader(const NodeName& of, Term in);
  /// Who leads, as last observed.
  [[nodiscard]] KnownLeader known_leader();
};

}  // namespace foxshunt::node
