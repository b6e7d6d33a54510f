#include "cli/catalog.h"

#include <algorithm>
#include <chrono>
#include <ctime>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

#include "catalog/records.h"
#include "catalog/xml.h"
#include "cli/ask.h"
#include "config/constants.h"

namespace foxshunt::cli {
namespace {

using catalog::Set;
using wire::Value;

std::string time_text(std::uint64_t wall_ms) {
  const auto seconds = static_cast<std::time_t>(wall_ms / 1000);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::ostringstream text;
  text << std::put_time(&parts, "%Y-%m-%dT%H:%M:%SZ");
  return text.str();
}

std::string version_text(const Value& edition) {
  return "version " + std::to_string(edition.count("version")) + " by " + edition.text("author") + " of " +
         time_text(edition.count("wall_ms"));
}

Set set_from(const Value& body) {
  Set set;
  for (const Value& one : body.list("classes")) set.classes.push_back(catalog::class_from(one));
  for (const Value& one : body.list("calendar")) set.calendar.push_back(catalog::calendar_from(one));
  for (const Value& one : body.list("pools")) set.pools.push_back(catalog::pool_from(one));
  return set;
}

Exit faults_told(const std::string& file, const Value& body) {
  for (const Value& fault : body.list("faults")) {
    std::cerr << catalog::text_of(file, {.line = static_cast<std::size_t>(fault.count("line")),
                                         .element = fault.text("element"),
                                         .reason = fault.text("reason")})
              << "\n";
  }
  if (body.flag("more")) std::cerr << file << ": there are more faults\n";
  return Exit::usage;
}

// A file that is too long for one request goes ahead of it in parts, to the same node by the same connection.
class Applying {
 public:
  Applying(const ApplyOptions& options, std::string text)
      : asker_(options.to), options_(options), text_(std::move(text)) {
    std::ostringstream id;
    id << std::hex << std::hash<std::string>{}(text_) << "-"
       << std::chrono::system_clock::now().time_since_epoch().count();
    upload_ = id.str();
  }

  // `ask` without an answer has told so already.
  [[nodiscard]] std::optional<net::HttpResponse> ask(Value::Map map) {
    map.emplace_back("file", options_.file);
    map.emplace_back("author", options_.author);
    const bool parts = text_.size() > constants::kCatalogPartBytes;
    if (!options_.back) map.emplace_back(parts ? "upload" : "xml", parts ? upload_ : text_);
    const std::string body = wire::encode(Value(std::move(map)));
    for (int tries = 0;; ++tries) {
      if (parts && !options_.back && !send_parts()) return std::nullopt;
      auto answer = asker_.ask({.method = "POST", .path = "/catalog/apply", .body = body});
      // Another node answers than the one that has the parts.
      const bool elsewhere = parts && answer && answer->status == 410;
      if (!elsewhere || tries == 3) return answer;
    }
  }

 private:
  // Pieces of the text that begin and end between two characters.
  [[nodiscard]] std::vector<std::string> pieces() const {
    std::vector<std::string> found;
    for (std::size_t at = 0; at < text_.size();) {
      std::size_t end = std::min(at + constants::kCatalogPartBytes, text_.size());
      while (end < text_.size() && (static_cast<unsigned char>(text_[end]) & 0xC0U) == 0x80U) --end;
      found.push_back(text_.substr(at, end - at));
      at = end;
    }
    return found;
  }

  bool send_parts() {
    const std::vector<std::string> parts = pieces();
    for (std::size_t part = 0; part < parts.size(); ++part) {
      const Value body = Value::Map{{"upload", upload_},
                                    {"part", std::uint64_t{part}},
                                    {"of", std::uint64_t{parts.size()}},
                                    {"text", parts[part]}};
      const auto answer = asker_.ask({.method = "POST", .path = "/catalog/part", .body = wire::encode(body)});
      if (!answer) return false;
      if (answer->status != 200) {
        (void)show(*answer, [](const Value&) {});
        return false;
      }
    }
    return true;
  }

  Asker asker_;
  const ApplyOptions& options_;
  std::string text_;
  std::string upload_;
};

// What an answer says that is not 200.
Exit refusal(const std::string& file, const net::HttpResponse& answer) {
  try {
    const Value body = wire::decode(answer.body);
    if (body["faults"].as_list() != nullptr) {
      return faults_told(file.empty() ? "the former set" : file, body);
    }
    if (body["theirs"].as_map() != nullptr) {
      std::cerr << "foxshunt: this set would be version " << body.count("ours")
                << " and lost: " << version_text(body["theirs"]) << " is in force; nothing of this set is\n";
      return Exit::failed;
    }
  } catch (const wire::Malformed&) {
    // told below
  }
  return show(answer, [](const Value&) {});
}

void print_difference(const Value& body) {
  if (body["now"].is_null()) {
    std::cout << "nothing was declared before\n";
  } else {
    std::cout << "in force: " << version_text(body["now"]) << "\n";
  }
  if (!body.flag("base_readable")) std::cout << "the set in force can't be read; all is told as added\n";
  for (const Value& change : body.list("changes")) {
    std::cout << change.text("change") << " " << change.text("kind") << " \"" << change.text("name") << "\"\n";
  }
}

Exit apply_judged(const ApplyOptions& options, std::string text) {
  Applying applying(options, std::move(text));
  Value::Map first{{"dry_run", true}};
  if (options.back) first.emplace_back("back", *options.back);
  const auto judged = applying.ask(std::move(first));
  if (!judged) return Exit::failed;
  if (judged->status != 200) return refusal(options.file, *judged);
  const Value plan = wire::decode(judged->body);
  print_difference(plan);
  if (plan.list("changes").empty() && plan.flag("base_readable")) {
    std::cout << "no difference: nothing to apply" << std::endl;
    return Exit::fine;
  }
  if (options.dry_run) {
    std::cout << "dry run: nothing was applied" << std::endl;
    return Exit::fine;
  }
  const std::uint64_t base = plan.count("base");
  // Asked until it is known: the same request tells whether an earlier one of it was executed.
  Value::Map second{{"dry_run", false}, {"base", base}, {"digest", plan.text("digest")}};
  if (options.back) second.emplace_back("from", plan.count("from"));
  const auto done = applying.ask(std::move(second));
  if (!done) {
    std::cerr << "foxshunt: it is not known whether the set came into force, and it still may, as version " << base + 1
              << " with digest " << plan.text("digest") << "; `foxshunt history` tells\n";
    return Exit::failed;
  }
  if (done->status != 200) return refusal(options.file, *done);
  const Value body = wire::decode(done->body);
  const Value& ours = body["ours"];
  if (body.text("standing") == "replaced") {
    std::cout << "was in force: " << version_text(ours) << "; by now replaced by " << version_text(body["now"])
              << std::endl;
  } else {
    std::cout << "applied: version " << ours.count("version") << " in force from revision " << ours.count("revision")
              << std::endl;
  }
  return Exit::fine;
}

template <typename Def>
Exit print_items(const std::vector<Def>& defs, const std::string& name, bool as_json, const std::string& what,
                 std::vector<Def> Set::*into) {
  std::vector<Def> found;
  for (const Def& one : defs) {
    if (name.empty() || one.name == name) found.push_back(one);
  }
  if (!name.empty() && found.empty()) {
    std::cerr << "foxshunt: there is no " << what << " \"" << name << "\"\n";
    return Exit::no_such_job;
  }
  if (as_json) {
    nlohmann::json list = nlohmann::json::array();
    for (const Def& one : found) list.push_back(to_json(catalog::to_value(one)));
    std::cout << (name.empty() ? list : list[0]).dump(2) << std::endl;
  } else if (name.empty()) {
    for (const Def& one : found) std::cout << one.name << "\n";
  } else {
    Set one;
    one.*into = found;
    std::cout << catalog::write_xml(one);
  }
  return Exit::fine;
}

}  // namespace

Exit apply(const ApplyOptions& given) {
  ApplyOptions options = given;
  if (options.author.empty()) {
    const char* user = std::getenv("USER");
    options.author = user != nullptr && catalog::is_name(user) ? user : "operator";
  }
  if (!catalog::is_name(options.author)) {
    std::cerr << "foxshunt: --author: must be 1 to " << constants::kMaxCatalogName
              << " letters, digits, single spaces and - _ .\n";
    return Exit::usage;
  }
  std::string text;
  if (!options.back) {
    std::ifstream file(options.file, std::ios::binary);
    std::ostringstream bytes;
    if (!file || !(bytes << file.rdbuf())) {
      std::cerr << "foxshunt: " << options.file << " cannot be read\n";
      return Exit::usage;
    }
    text = bytes.str();
    const catalog::Reading reading = catalog::read_xml(text, {});
    for (const catalog::Fault& fault : reading.faults) std::cerr << catalog::text_of(options.file, fault) << "\n";
    if (reading.more_faults) std::cerr << options.file << ": there are more faults\n";
    if (!reading.faults.empty()) return Exit::usage;
  }
  try {
    return apply_judged(options, std::move(text));
  } catch (const wire::Malformed& error) {
    std::cerr << "foxshunt: the answer can't be read: " << error.what() << "\n";
    return Exit::failed;
  }
}

Exit get(const std::string& to, const std::string& kind, const std::string& name, bool as_json) {
  const auto of = catalog::kind_from(kind);
  if (!of) {
    std::cerr << "foxshunt: KIND must be class, calendar or pool\n";
    return Exit::usage;
  }
  const auto answer = ask(to, {.method = "GET", .path = "/catalog", .body = {}});
  if (!answer) return Exit::failed;
  Exit exit = Exit::fine;
  const Exit shown = show(*answer, [&](const Value& body) {
    const Set set = set_from(body);
    switch (*of) {
      case catalog::Kind::job_class: exit = print_items(set.classes, name, as_json, kind, &Set::classes); break;
      case catalog::Kind::calendar: exit = print_items(set.calendar, name, as_json, kind, &Set::calendar); break;
      case catalog::Kind::pool: exit = print_items(set.pools, name, as_json, kind, &Set::pools); break;
    }
  });
  return shown == Exit::fine ? exit : shown;
}

Exit export_set(const std::string& to, bool as_json) {
  const auto answer = ask(to, {.method = "GET", .path = "/catalog", .body = {}});
  if (!answer) return Exit::failed;
  return show(*answer, [as_json](const Value& body) {
    if (as_json) {
      std::cout << to_json(body).dump(2) << std::endl;
    } else {
      std::cout << catalog::write_xml(set_from(body));
    }
  });
}

Exit history(const std::string& to, bool as_json) {
  const auto answer = ask(to, {.method = "GET", .path = "/catalog/history", .body = {}});
  if (!answer) return Exit::failed;
  return show(*answer, [as_json](const Value& body) {
    if (as_json) {
      std::cout << to_json(body).dump(2) << std::endl;
      return;
    }
    const Value::List& sets = body.list("sets");
    if (sets.empty()) std::cout << "nothing was declared yet\n";
    std::size_t back = 0;
    for (const Value& set : sets) {
      std::cout << version_text(set) << ", revision " << set.count("revision") << ", classes " << set.count("classes")
                << ", calendar " << set.count("calendar") << ", pools " << set.count("pools") << ", digest "
                << set.text("digest");
      if (set.count("version") == body.count("in_force")) std::cout << ", in force";
      if (back > 0) std::cout << ", --back " << back;
      std::cout << "\n";
      ++back;
    }
  });
}

}  // namespace foxshunt::cli
