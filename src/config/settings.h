// What the platform hands over (the deploy file, JSON) and what operators set themselves (XML).
#pragma once

#include <chrono>
#include <stdexcept>
#include <string>
#include <vector>

#include "wire/ids.h"

namespace foxshunt::config {

// what() names the file and the field.
class BadSettings : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct Sibling {
  NodeName name;
  std::string zone;
  std::string endpoint;
};

struct Team {
  std::string name;
  double cpus = 0;      // guaranteed
  double cpus_max = 0;  // 0: no limit
  double gpus = 0;
  double gpus_max = 0;
};

struct Objective {
  std::string kind;       // wait, finished, deadline, guarantee; others may come
  std::string job_class;  // empty: all
  double within_s = 0;
  double share = 0;
};

struct Operator {
  double idle_return_s = 0;  // 0: foxshunt's own default
  bool can_scale_out = true;
  bool can_scale_in = true;
  bool preemption = false;  // whether running work is stopped for work of higher priority, and for guarantees
  // Whether siblings may answer the workers of their zone when it is cut off; all nodes must have a program that can.
  bool zone_lease_delegation = false;
  // Whether zones that are lost are noticed as such, left, and kept for their return.
  bool zone_watch = false;
  // Whether machines are rented elsewhere for the work of such a zone before it is proved gone. Needs zone_watch.
  bool zone_evacuation = false;
  // Whether every node follows the records: a new leader then reads nothing, and classes, calendar and pools can be used.
  bool shared_records = false;
  // Whether nodes that do not lead ask the leader for what no record tells, and a new leader plans by it.
  bool standby = false;
  // Catalog file that is put in force while nothing was ever declared; empty: none. Needs shared_records.
  std::string bootstrap_catalog;
  std::vector<std::string> zones_out;  // out of service: nothing new is placed or rented there
};

struct Settings {
  NodeName name;
  std::string zone;
  std::string bind;
  std::string peer_listen;
  std::vector<Sibling> siblings;
  std::string cloud;
  std::string state;
  std::size_t nodes = 1;
  std::vector<std::string> zones;
  std::vector<Team> teams;
  std::vector<Objective> objectives;
  double heartbeat_interval_s = 0;
  double lease_s = 0;
  double gang_wait_s = 0;
  double gang_peer_s = 0;
  double cancel_s = 0;
  double state_rps = 0;
  double state_write_rps = 0;
  double state_value_kb = 0;
  std::size_t state_txn_ops = 0;
  double cloud_rps = 0;
  double cloud_list_delay_s = 0;
  double cpu_share = 1;
  double ram_mb = 0;
  int max_connections = 0;
  double skew_ms = 0;
  Operator operators;

  [[nodiscard]] const Team* team(const std::string& name) const;
  [[nodiscard]] bool in_service(const std::string& zone) const;
};

// Both throw BadSettings.
[[nodiscard]] Settings load_settings(const std::string& path);
[[nodiscard]] Settings parse_settings(const std::string& json_text, const std::string& path);
void load_operator_settings(const std::string& path, Settings& into);
void parse_operator_settings(const std::string& xml_text, const std::string& path, Settings& into);

}  // namespace foxshunt::config
