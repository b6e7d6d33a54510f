#include "cli/client.h"

#include <fstream>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

#include "cli/ask.h"
#include "cli/exposition.h"
#include "config/constants.h"
#include "wire/messages.h"

namespace foxshunt::cli {
namespace {

using nlohmann::json;

wire::Value to_value(const json& item) {
  switch (item.type()) {
    case json::value_t::boolean: return item.get<bool>();
    case json::value_t::number_unsigned: return item.get<std::uint64_t>();
    case json::value_t::number_integer:
    case json::value_t::number_float: return item.get<double>();
    case json::value_t::string: return item.get<std::string>();
    case json::value_t::array: {
      wire::Value::List list;
      for (const json& entry : item) list.push_back(to_value(entry));
      return list;
    }
    case json::value_t::object: {
      wire::Value::Map map;
      for (const auto& [key, entry] : item.items()) map.emplace_back(key, to_value(entry));
      return map;
    }
    default: return {};
  }
}

// Milliseconds as seconds with one decimal.
std::string seconds(std::uint64_t ms) {
  std::ostringstream text;
  text << std::fixed << std::setprecision(1) << static_cast<double>(ms) / 1000 << " s";
  return text.str();
}

void print_zones(const wire::Value& body) {
  const std::string& node = body.text("node");
  if (!body.flag("leads")) {
    const wire::Value& holds = body["holds"];
    const std::string& leader = body.text("leader");
    std::cout << node << " does not lead; " << (leader.empty() ? "nobody is known to" : "ask " + leader) << "\n"
              << "it " << (holds.flag("leader_answers") ? "is" : "is not") << " in contact with the leader, ";
    if (holds.count("ends_in_ms") > 0) {
      std::cout << "may answer " << holds.text("zone") << " by itself for " << seconds(holds.count("ends_in_ms"));
    } else {
      std::cout << "may not answer " << holds.text("zone") << " by itself";
    }
    std::cout << ", machines answered so of late: " << holds.count("machines_answered") << "\n";
    return;
  }
  std::cout << std::left << std::setw(16) << "zone" << std::setw(16) << "state" << std::setw(12) << "for" << std::right
            << std::setw(8) << "heard" << std::setw(8) << "silent" << std::setw(8) << "ended" << std::setw(16)
            << "tasks unheard"
            << "\n";
  for (const wire::Value& zone : body.list("zones")) {
    std::cout << std::left << std::setw(16) << zone.text("zone") << std::setw(16) << zone.text("state") << std::setw(12)
              << seconds(zone.count("for_ms")) << std::right << std::setw(8) << zone.count("heard") << std::setw(8)
              << zone.count("silent") << std::setw(8) << zone.count("ended") << std::setw(16)
              << zone.count("tasks_unheard") << (zone.flag("leaving") ? "  its work is being moved" : "") << "\n";
  }
  if (!body.flag("watched")) std::cout << "zones are not watched (zone-watch in the operators' settings)\n";
  if (!body.flag("granting")) std::cout << "nothing is granted (zone-grants in the operators' settings)\n";
  for (const wire::Value& delegation : body.list("grants")) {
    std::cout << delegation.text("node") << " in " << delegation.text("zone") << ": ";
    if (!delegation.flag("heard")) {
      std::cout << "never heard in this term\n";
      continue;
    }
    std::cout << "heard " << seconds(delegation.count("heard_ms_ago")) << " ago, ";
    if (delegation.count("ends_in_ms") > 0) {
      std::cout << "may answer for " << seconds(delegation.count("ends_in_ms"));
    } else {
      std::cout << "may answer nobody";
    }
    std::cout << ", machines answered so of late: " << delegation.count("machines_answered") << "\n";
  }
}

// Prints the job's state, or why there is none.
Exit tell(const net::HttpResponse& answer, wire::JobStatus* told) {
  return show(answer, [told](const wire::Value& body) {
    const wire::JobStatus status = wire::job_status_from(body);
    std::cout << status.id.text() << " " << wire::name_of(status.state) << " done " << status.done << " running "
              << status.running << std::endl;
    if (told != nullptr) *told = status;
  });
}

}  // namespace

Exit submit(const std::string& to, const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    std::cerr << "foxshunt: " << path << " cannot be read\n";
    return Exit::usage;
  }
  wire::Value body;
  try {
    body = to_value(json::parse(file));
    (void)wire::job_spec_from(body);
  } catch (const json::parse_error& error) {
    std::cerr << "foxshunt: " << path << ": not JSON: " << error.what() << "\n";
    return Exit::usage;
  } catch (const wire::Malformed& error) {
    std::cerr << "foxshunt: " << path << ": " << error.what() << "\n";
    return Exit::usage;
  }
  const auto answer = ask(to, {.method = "POST", .path = "/api/jobs", .body = wire::encode(body)});
  return answer ? tell(*answer, nullptr) : Exit::failed;
}

Exit status(const std::string& to, const std::string& job, bool wait) {
  while (true) {
    const auto answer = ask(to, {.method = "GET", .path = "/api/jobs/" + job, .body = {}});
    if (!answer) return Exit::failed;
    wire::JobStatus told;
    const Exit exit = tell(*answer, &told);
    const bool over = told.state == wire::JobState::done || told.state == wire::JobState::cancelled;
    if (exit != Exit::fine || !wait || over) return exit;
    std::this_thread::sleep_for(constants::kCliPollInterval);
  }
}

Exit plan(const std::string& to, const std::string& job) {
  const auto answer = ask(to, {.method = "GET", .path = "/plan/" + job, .body = {}});
  if (!answer) return Exit::failed;
  return show(*answer,
              [](const wire::Value& body) { std::cout << body.text("id") << " " << body.text("plan") << std::endl; });
}

Exit counters(const std::string& to, bool as_exposition) {
  const auto answer = ask(to, {.method = "GET", .path = "/counters", .body = {}});
  if (!answer) return Exit::failed;
  return show(*answer, [as_exposition](const wire::Value& body) {
    if (as_exposition) {
      std::cout << exposition(body);
      return;
    }
    const wire::Value::Map* entries = body.as_map();
    if (entries == nullptr) throw wire::Malformed("must be a map");
    for (const auto& [name, value] : *entries) {
      std::cout << name << " ";
      if (const auto* count = value.as_count()) std::cout << *count;
      if (const auto* real = value.as_real()) std::cout << *real;
      if (const auto* flag = value.as_bool()) std::cout << (*flag ? "yes" : "no");
      if (const auto* text = value.as_text()) std::cout << *text;
      std::cout << "\n";
    }
  });
}

Exit zones(const std::string& to, bool as_json) {
  const auto answer = ask(to, {.method = "GET", .path = "/zones", .body = {}});
  if (!answer) return Exit::failed;
  return show(*answer, [as_json](const wire::Value& body) {
    if (as_json) {
      std::cout << to_json(body).dump(2) << "\n";
    } else {
      print_zones(body);
    }
  });
}

Exit cancel(const std::string& to, const std::string& job) {
  const auto answer = ask(to, {.method = "POST", .path = "/api/jobs/" + job + "/abort", .body = {}});
  return answer ? tell(*answer, nullptr) : Exit::failed;
}

}  // namespace foxshunt::cli
