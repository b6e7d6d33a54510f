#include "cli/ask.h"

#include <algorithm>
#include <iostream>
#include <thread>

#include "config/constants.h"

namespace foxshunt::cli {
namespace {

net::Address address_of(const std::string& to) {
  const auto address = net::parse_address(to);
  if (!address) throw std::invalid_argument("--to: must be an IPv4 address with a port");
  return *address;
}

// Why there is no good answer, in the node's words if it has any.
std::string reason_of(const net::HttpResponse& answer) {
  std::string reason = "status " + std::to_string(answer.status);
  if (answer.body.empty()) return reason;
  const wire::Value body = wire::decode(answer.body);
  if (const std::string* text = body["error"].as_text()) reason = *text;
  return reason;
}

// Whoever waits for a minute should know for what.
std::string refusal(const net::HttpResponse& answer, const char* when) {
  std::string said = std::string(" can't take it ") + when;
  try {
    said += ": " + reason_of(answer);
  } catch (const wire::Malformed&) {
    said += ": status " + std::to_string(answer.status);
  }
  return said;
}

}  // namespace

Asker::Asker(const std::string& to) : to_(to), client_(address_of(to), constants::kCliConnectTimeout) {}

std::optional<net::HttpResponse> Asker::ask(const net::HttpRequest& request) {
  const auto began = net::Clock::now();
  const net::Deadline until = began + constants::kCliRetryTimeout;
  bool told = false;
  while (true) {
    const auto answer = client_.call(request, std::min(until, net::Clock::now() + constants::kCliCallTimeout));
    if (answer && answer->status != 429 && answer->status != 503 && answer->status != 504) return answer;
    auto wait = std::chrono::seconds(1);
    if (answer && answer->retry_after_s) wait = std::max(wait, std::chrono::seconds(*answer->retry_after_s));
    if (net::Clock::now() + wait >= until) {
      std::cerr << "foxshunt: " << to_ << (answer ? refusal(*answer, "now") : " does not answer") << "\n";
      return std::nullopt;
    }
    // Neither a wrong address nor a node without the state service should look like a command that hangs.
    const auto patient = answer ? constants::kCliCallTimeout : constants::kCliConnectTimeout;
    if (!told && net::Clock::now() - began >= patient) {
      std::cerr << "foxshunt: " << to_ << (answer ? refusal(*answer, "yet") : " does not answer yet")
                << "; it is asked again for a minute\n";
      told = true;
    }
    std::this_thread::sleep_for(wait);
  }
}

std::optional<net::HttpResponse> ask(const std::string& to, const net::HttpRequest& request) {
  return Asker(to).ask(request);
}

Exit show(const net::HttpResponse& answer, const std::function<void(const wire::Value&)>& good) {
  try {
    if (answer.status == 200 || answer.status == 201) {
      good(wire::decode(answer.body));
      return Exit::fine;
    }
    std::cerr << "foxshunt: " << reason_of(answer) << "\n";
  } catch (const wire::Malformed& error) {
    std::cerr << "foxshunt: the answer can't be read: " << error.what() << "\n";
    return Exit::failed;
  }
  if (answer.status == 404) return Exit::no_such_job;
  return answer.status == 400 || answer.status == 422 ? Exit::usage : Exit::failed;
}

nlohmann::json to_json(const wire::Value& value) {
  if (const auto* flag = value.as_bool()) return *flag;
  if (const auto* count = value.as_count()) return *count;
  if (const auto* real = value.as_real()) return *real;
  if (const auto* text = value.as_text()) return *text;
  if (const auto* list = value.as_list()) {
    nlohmann::json made = nlohmann::json::array();
    for (const wire::Value& entry : *list) made.push_back(to_json(entry));
    return made;
  }
  if (const auto* map = value.as_map()) {
    nlohmann::json made = nlohmann::json::object();
    for (const auto& [name, entry] : *map) made[name] = to_json(entry);
    return made;
  }
  return nullptr;
}

}  // namespace foxshunt::cli
