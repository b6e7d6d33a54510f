#include "cli/client.h"

#include <fstream>
#include <functional>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

#include "config/constants.h"
#include "net/http.h"
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

json to_json(const wire::Value& value) {
  if (const auto* flag = value.as_bool()) return *flag;
  if (const auto* count = value.as_count()) return *count;
  if (const auto* real = value.as_real()) return *real;
  if (const auto* text = value.as_text()) return *text;
  if (const auto* list = value.as_list()) {
    json made = json::array();
    for (const wire::Value& entry : *list) made.push_back(to_json(entry));
    return made;
  }
  if (const auto* map = value.as_map()) {
    json made = json::object();
    for (const auto& [name, entry] : *map) made[name] = to_json(entry);
    return made;
  }
  return nullptr;
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
  for (const wire::Value& grant : body.list("grants")) {
    std::cout << grant.text("node") << " in " << grant.text("zone") << ": ";
    if (!grant.flag("heard")) {
      std::cout << "never heard in this term\n";
      continue;
    }
    std::cout << "heard " << seconds(grant.count("heard_ms_ago")) << " ago, ";
    if (grant.count("ends_in_ms") > 0) {
      std::cout << "may answer for " << seconds(grant.count("ends_in_ms"));
    } else {
      std::cout << "may answer nobody";
    }
    std::cout << ", machines answered so of late: " << grant.count("machines_answered") << "\n";
  }
}

// Asks until there is an answer that settles it, as PROTOCOL's users do: 429, 503, 504 and silence are tried
// again for a minute.
std::optional<net::HttpResponse> ask(const std::string& to, const net::HttpRequest& request) {
  const auto address = net::parse_address(to);
  if (!address) throw std::invalid_argument("--to: must be an IPv4 address with a port");
  net::HttpClient client(*address, constants::kCliConnectLimit);
  const net::Deadline until = net::Clock::now() + constants::kCliTryFor;
  while (true) {
    const auto answer = client.call(request, std::min(until, net::Clock::now() + constants::kCliCallLimit));
    if (answer && answer->status != 429 && answer->status != 503 && answer->status != 504) return answer;
    auto wait = std::chrono::seconds(1);
    if (answer && answer->retry_after_s) wait = std::max(wait, std::chrono::seconds(*answer->retry_after_s));
    if (net::Clock::now() + wait >= until) {
      std::cerr << "foxshunt: " << to << (answer ? " can't take it now" : " does not answer") << "\n";
      return std::nullopt;
    }
    std::this_thread::sleep_for(wait);
  }
}

// Shows the body of a good answer, or says why there is none.
Exit show(const net::HttpResponse& answer, const std::function<void(const wire::Value&)>& good) {
  try {
    if (answer.status == 200 || answer.status == 201) {
      good(wire::decode(answer.body));
      return Exit::fine;
    }
    std::string why = "status " + std::to_string(answer.status);
    if (!answer.body.empty()) {
      const wire::Value body = wire::decode(answer.body);
      if (const std::string* text = body["error"].as_text()) why = *text;
    }
    std::cerr << "foxshunt: " << why << "\n";
  } catch (const wire::Malformed& error) {
    std::cerr << "foxshunt: the answer can't be read: " << error.what() << "\n";
    return Exit::failed;
  }
  if (answer.status == 404) return Exit::no_such_job;
  return answer.status == 400 || answer.status == 422 ? Exit::usage : Exit::failed;
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
    const bool over = told.state == wire::JobState::done || told.state == wire::JobState::withdrawn;
    if (exit != Exit::fine || !wait || over) return exit;
    std::this_thread::sleep_for(constants::kCliPollEvery);
  }
}

Exit plan(const std::string& to, const std::string& job) {
  const auto answer = ask(to, {.method = "GET", .path = "/plan/" + job, .body = {}});
  if (!answer) return Exit::failed;
  return show(*answer,
              [](const wire::Value& body) { std::cout << body.text("id") << " " << body.text("plan") << std::endl; });
}

Exit counters(const std::string& to) {
  const auto answer = ask(to, {.method = "GET", .path = "/counters", .body = {}});
  if (!answer) return Exit::failed;
  return show(*answer, [](const wire::Value& body) {
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
