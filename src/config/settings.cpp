#include "config/settings.h"

#include <algorithm>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <pugixml.hpp>
#include <set>
#include <sstream>

#include "config/constants.h"

namespace foxshunt::config {
namespace {

using nlohmann::json;

// Reads fields of one JSON object and names the field that is at fault.
class Reader {
 public:
  Reader(const json& object, std::string where) : object_(object), where_(std::move(where)) {
    if (!object_.is_object()) throw BadSettings(where_ + ": must be an object");
  }

  [[nodiscard]] std::string text(const char* key) const {
    const json& item = need(key);
    if (!item.is_string() || item.get_ref<const std::string&>().empty()) fail(key, "must be text");
    return item.get<std::string>();
  }
  [[nodiscard]] double amount(const char* key, double least = 0) const {
    const json& item = need(key);
    if (!item.is_number()) fail(key, "must be a number");
    const double number = item.get<double>();
    if (!std::isfinite(number) || number < least) fail(key, "must be at least " + std::to_string(least));
    return number;
  }
  [[nodiscard]] double amount_or(const char* key, double otherwise) const {
    return object_.contains(key) && !object_.at(key).is_null() ? amount(key) : otherwise;
  }
  [[nodiscard]] std::string text_or(const char* key, std::string otherwise) const {
    return object_.contains(key) && !object_.at(key).is_null() ? text(key) : otherwise;
  }
  [[nodiscard]] Reader inner(const char* key) const { return {need(key), where_ + "." + key}; }
  [[nodiscard]] std::vector<Reader> each(const char* key) const {
    const json& item = need(key);
    if (!item.is_array()) fail(key, "must be a list");
    std::vector<Reader> found;
    std::size_t at = 0;
    for (const json& entry : item) found.emplace_back(entry, where_ + "." + key + "[" + std::to_string(at++) + "]");
    return found;
  }
  [[nodiscard]] std::vector<std::string> texts(const char* key) const {
    const json& item = need(key);
    if (!item.is_array()) fail(key, "must be a list");
    std::vector<std::string> found;
    for (const json& entry : item) {
      if (!entry.is_string()) fail(key, "must hold texts");
      found.push_back(entry.get<std::string>());
    }
    return found;
  }
  [[noreturn]] void fail(const std::string& key, const std::string& why) const {
    throw BadSettings(where_ + "." + key + ": " + why);
  }

 private:
  [[nodiscard]] const json& need(const char* key) const {
    const auto found = object_.find(key);
    if (found == object_.end()) fail(key, "is missing");
    return *found;
  }

  const json& object_;
  std::string where_;
};

std::string read_file(const std::string& path) {
  std::ifstream file(path);
  if (!file) throw BadSettings(path + ": cannot be read");
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace

bool Settings::in_service(const std::string& zone_name) const {
  return std::ranges::find(operators.zones_out, zone_name) == operators.zones_out.end();
}

const Team* Settings::team(const std::string& team_name) const {
  for (const Team& team : teams) {
    if (team.name == team_name) return &team;
  }
  return nullptr;
}

Settings load_settings(const std::string& path) { return parse_settings(read_file(path), path); }

Settings parse_settings(const std::string& json_text, const std::string& path) {
  json document;
  try {
    document = json::parse(json_text);
  } catch (const json::exception& error) {  // a number too large for a double is no parse error
    throw BadSettings(path + ": not JSON: " + error.what());
  }
  const Reader top(document, path);
  Settings found;
  found.name = NodeName(top.text("host_name"));
  found.zone = top.text("zone");
  found.bind = top.text("bind");
  found.peer_listen = top.text("peer_listen");
  for (const Reader& entry : top.each("siblings")) {
    found.siblings.push_back({.name = NodeName(entry.text("host_name")),
                              .zone = entry.text_or("zone", ""),
                              .endpoint = entry.text("endpoint")});
  }
  const Reader outside = top.inner("outside");
  found.cloud = outside.text("cloud");
  found.state = outside.text("state");
  const Reader params = top.inner("params");
  found.nodes = static_cast<std::size_t>(params.amount("nodes", 1));
  found.zones = params.texts("zones");
  for (const Reader& entry : params.each("teams")) {
    found.teams.push_back({.name = entry.text("name"),
                           .cpus = entry.amount_or("cpus", 0),
                           .cpus_max = entry.amount_or("cpus_max", 0),
                           .gpus = entry.amount_or("gpus", 0),
                           .gpus_max = entry.amount_or("gpus_max", 0)});
  }
  for (const Reader& entry : params.each("objectives")) {
    found.objectives.push_back({.kind = entry.text("kind"),
                                .job_class = entry.text_or("class", ""),
                                .within_s = entry.amount_or("within_s", 0),
                                .share = entry.amount_or("share", 0)});
  }
  const Reader workers = params.inner("workers");
  found.heartbeat_interval_s = workers.amount("report_s", 0.001);
  found.lease_s = workers.amount("lease_s", 0.001);
  found.gang_wait_s = workers.amount("gang_wait_s");
  found.gang_peer_s = workers.amount("gang_peer_s");
  found.cancel_s = workers.amount("cancel_s", 0.001);
  if (found.cancel_s <= found.lease_s) workers.fail("cancel_s", "must be above lease_s");
  const Reader state = params.inner("state");
  found.state_rps = state.amount("rps", 1);
  found.state_write_rps = state.amount("write_rps", 1);
  found.state_value_kb = state.amount("value_kb", 1);
  found.state_txn_ops = static_cast<std::size_t>(state.amount("txn_ops", 4));
  const Reader cloud = params.inner("cloud");
  found.cloud_rps = cloud.amount("rps", 0.01);
  found.cloud_list_delay_s = cloud.amount_or("list_lag_s", 0);
  const Reader limits = params.inner("limits");
  found.cpu_share = limits.amount("cpu", 0.0001);
  found.ram_mb =
      limits.amount("ram_mb", constants::kProcessMb + constants::kMaxPeerConnections * constants::kConnectionMb + 1);
  found.max_connections = static_cast<int>(limits.amount("max_connections", constants::kConnectionReserve + 1));
  found.skew_ms = params.amount("skew_ms");
  return found;
}

void load_operator_settings(const std::string& path, Settings& into) {
  parse_operator_settings(read_file(path), path, into);
}

void parse_operator_settings(const std::string& xml_text, const std::string& path, Settings& into) {
  pugi::xml_document document;
  const pugi::xml_parse_result parsed = document.load_string(xml_text.c_str());
  if (!parsed) throw BadSettings(path + ": not XML: " + parsed.description());
  const pugi::xml_node root = document.document_element();
  if (std::string(root.name()) != "foxshunt") throw BadSettings(path + ": the document element must be <foxshunt>");
  const auto yes_or_no = [&path](const pugi::xml_node& node) {
    const std::string text = node.text().as_string();
    if (text != "true" && text != "false") throw BadSettings(path + ": <" + node.name() + "> must be true or false");
    return text == "true";
  };
  std::set<std::string> seen;
  for (const pugi::xml_node& node : root.children()) {
    if (node.type() != pugi::node_element) continue;
    const std::string name = node.name();
    if (!seen.insert(name).second && name != "zone-out-of-service")
      throw BadSettings(path + ": <" + name + "> stands twice");
    if (name == "idle-return-s") {
      const std::string text = node.text().as_string();
      std::size_t used = 0;
      double seconds = -1;
      try {
        seconds = std::stod(text, &used);
      } catch (const std::exception&) {
        used = 0;
      }
      if (used != text.size() || !std::isfinite(seconds) || seconds <= 0) {
        throw BadSettings(path + ": <idle-return-s> must be a number of seconds above 0");
      }
      into.operators.idle_return_s = seconds;
    } else if (name == "may-rent") {
      into.operators.can_scale_out = yes_or_no(node);
    } else if (name == "may-return") {
      into.operators.can_scale_in = yes_or_no(node);
    } else if (name == "preemption") {
      into.operators.preemption = yes_or_no(node);
    } else if (name == "zone-grants") {
      into.operators.zone_lease_delegation = yes_or_no(node);
    } else if (name == "zone-watch") {
      into.operators.zone_watch = yes_or_no(node);
    } else if (name == "zone-evacuation") {
      into.operators.zone_evacuation = yes_or_no(node);
    } else if (name == "shared-records") {
      into.operators.shared_records = yes_or_no(node);
    } else if (name == "standby") {
      into.operators.standby = yes_or_no(node);
    } else if (name == "founding-catalog") {
      const std::string file = node.text().as_string();
      if (file.empty()) throw BadSettings(path + ": <founding-catalog> must name a file");
      // Beside the settings unless it says where, wherever the process was started.
      into.operators.bootstrap_catalog = (std::filesystem::path(path).parent_path() / file).string();
    } else if (name == "zone-out-of-service") {
      const std::string zone = node.text().as_string();
      if (std::ranges::find(into.zones, zone) == into.zones.end()) {
        throw BadSettings(path + ": <zone-out-of-service> " + zone + ": the deploy file has no such zone");
      }
      if (!into.in_service(zone)) throw BadSettings(path + ": <zone-out-of-service> " + zone + " stands twice");
      into.operators.zones_out.push_back(zone);
    } else {
      throw BadSettings(path + ": <" + name + "> is not a setting");
    }
  }
}

}  // namespace foxshunt::config
