#include "cli/calendar.h"

#include <iomanip>
#include <iostream>

#include "calendar/view.h"
#include "cli/ask.h"
#include "config/constants.h"

namespace foxshunt::cli {
namespace {

using wire::Value;

std::string texts(const Value::List& list) {
  std::string all;
  for (const Value& one : list) {
    if (one.as_text() != nullptr) all += (all.empty() ? "" : "; ") + *one.as_text();
  }
  return all;
}

void print_word(const Value& word, const char* what) {
  if (word.is_null()) return;
  std::cout << "    " << what << " by " << word.text("by") << " at " << word.text("at");
  if (!word.text("why").empty()) std::cout << ": " << word.text("why");
  std::cout << "\n";
}

void print(const Value& one) {
  std::cout << std::left << std::setw(22) << one.text("due") << std::setw(11) << one.text("state") << one.text("entry")
            << " (" << one.text("local") << " " << one.text("zone") << ")";
  if (one.count("mark") == 0) {
    std::cout << ", not opened yet\n";
    return;
  }
  std::cout << ": " << one.count("in_time") << " done in time, " << one.count("open") << " open, " << one.count("late")
            << " late";
  if (one.count("expected_jobs") > 0) std::cout << ", " << one.count("expected_jobs") << " expected";
  std::cout << "\n";
  if (!one.list("reasons").empty()) std::cout << "    " << texts(one.list("reasons")) << "\n";
  print_word(one["noted"], "noted");
  print_word(one["waived"], "waived");
}

}  // namespace

CalendarCommand::CalendarCommand(CLI::App& app)
    : command_(app.add_subcommand("calendar", "show the deadline calendar, or answer for an occurrence")) {
  command_->require_subcommand(0, 1);
  command_->add_option("--to", to_, "address of a controller")->capture_default_str();
  command_->add_option("--days", days_, "days to look ahead")
      ->check(CLI::Range(1, constants::kMaxCalendarDays))
      ->capture_default_str();
  command_->add_flag("--json", as_json_, "print JSON");
  const auto add = [this](const char* name, const char* what) {
    CLI::App* made = command_->add_subcommand(name, what);
    made->add_option("--to", to_, "address of a controller");
    made->add_option("entry", entry_, "the entry's name")->required();
    made->add_option("occurrence", occurrence_, "when it is due, as shown: in UTC, or by the entry's own clocks")
        ->required();
    made->add_option("--by", by_, "who says so")->required();
    made->add_option("--why", why_, "the reason");
    return made;
  };
  waive_ = add("waive", "the result is not needed: close the occurrence");
  acknowledge_ = add("acknowledge", "say that you took note of it");
}

Exit CalendarCommand::run() const {
  if (waive_->parsed()) return order(true);
  if (acknowledge_->parsed()) return order(false);
  return show_days();
}

Exit CalendarCommand::show_days() const {
  Asker asker(to_);
  nlohmann::json all = nlohmann::json::array();
  std::uint64_t from = 0;
  std::uint64_t skip = 0;
  do {
    const std::string path =
        "/calendar/" + std::to_string(days_) + "/" + std::to_string(from) + "/" + std::to_string(skip);
    const auto answer = asker.ask({.method = "GET", .path = path, .body = {}});
    if (!answer) return Exit::failed;
    const bool first = from == 0;
    const Exit exit = show(*answer, [&](const Value& body) {
      from = body.count("next");
      skip = body.count("next_skip");
      if (as_json_) {
        nlohmann::json page = to_json(body);
        for (auto& one : page["occurrences"]) all.push_back(std::move(one));
        if (from != 0) return;
        page["occurrences"] = std::move(all);
        page.erase("next");
        page.erase("next_skip");
        std::cout << page.dump(2) << "\n";
        return;
      }
      if (first) {
        std::cout << "now " << body.text("now") << ", records at revision " << body.count("revision") << ", digest "
                  << body.text("digest") << ", catalog " << body.count("catalog") << "\n";
        for (const Value& unknown : body.list("unknown")) {
          if (unknown.as_text() != nullptr) std::cout << "this node can't reckon " << *unknown.as_text() << "\n";
        }
      }
      for (const Value& one : body.list("occurrences")) print(one);
    });
    if (exit != Exit::fine) return exit;
  } while (from != 0);
  return Exit::fine;
}

Exit CalendarCommand::order(bool waive) const {
  const calendar::Request request{.waive = waive, .entry = entry_, .occurrence = occurrence_, .by = by_, .why = why_};
  const auto answer =
      ask(to_, {.method = "POST", .path = "/calendar", .body = wire::encode(calendar::to_value(request))});
  if (!answer) return Exit::failed;
  return show(*answer, [&](const Value& body) {
    std::cout << entry_ << " " << occurrence_ << (waive ? " waived" : " noted") << ", revision "
              << body.count("revision") << "\n";
  });
}

}  // namespace foxshunt::cli
