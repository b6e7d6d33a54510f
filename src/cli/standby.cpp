#include "cli/standby.h"

#include <iomanip>
#include <iostream>
#include <sstream>

#include "cli/ask.h"
#include "standby/phases.h"

namespace foxshunt::cli {
namespace {

std::string seconds(std::uint64_t ms) {
  std::ostringstream text;
  text << std::fixed << std::setprecision(1) << static_cast<double>(ms) / 1000 << " s";
  return text.str();
}

void print(const wire::Value& body) {
  const std::string& leader = body.text("leader");
  std::cout << body.text("node") << (body.flag("leads") ? " leads" : " does not lead") << " in term "
            << body.count("term");
  if (!body.flag("leads")) std::cout << "; " << (leader.empty() ? "nobody is known to" : leader + " does");
  std::cout << "\n";
  if (!body.flag("on")) std::cout << "standby is off (standby in the operators' settings)\n";
  if (const bool* whole = body["records_whole"].as_bool()) {
    std::cout << "records: " << (*whole ? "known" : "not known yet") << ", revision " << body.count("records_revision")
              << "\n";
  }
  if (body.flag("holds")) {
    std::cout << "picture: " << body.count("facts") << " facts of term " << body.count("term_held") << ", "
              << seconds(body.count("age_ms")) << " old, "
              << (body.flag("caught_up") ? "all that was told" : "more is to come") << "\n";
  } else {
    std::cout << "picture: none\n";
  }
  std::cout << "heard: " << body.count("words") << " words, " << body.count("word_bytes") << " bytes, "
            << body.count("wholes") << " begun from nothing, " << body.count("refused") << " refused, "
            << body.count("unanswered") << " asks without a word\n";
  if (!body.text("trouble").empty()) std::cout << "last refused: " << body.text("trouble") << "\n";
  std::cout << "told: " << body.count("told_words") << " words with " << body.count("told_facts") << " facts, "
            << body.count("told_wholes") << " from nothing, " << body.count("put_off") << " put off\n"
            << "let a sibling go first: " << body.count("yields") << " times\n";
  if (body.count("takeovers") == 0) return;
  std::cout << "takeovers of this process: " << body.count("takeovers") << "; of the last, with " << body.count("hints")
            << " hints, since the last sign of life:";
  for (const char* phase : standby::kPhaseNames) {
    const auto* at = body["takeover_" + std::string(phase) + "_ms"].as_count();
    std::cout << " " << phase << " " << (at == nullptr ? "never" : std::to_string(*at) + " ms");
  }
  std::cout << "\n";
}

}  // namespace

Exit standby(const std::string& to, bool as_json) {
  const auto answer = ask(to, {.method = "GET", .path = "/standby", .body = {}});
  if (!answer) return Exit::failed;
  return show(*answer, [as_json](const wire::Value& body) {
    if (as_json) {
      std::cout << to_json(body).dump(2) << "\n";
    } else {
      print(body);
    }
  });
}

}  // namespace foxshunt::cli
