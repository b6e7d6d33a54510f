#include "cli/queue.h"

#include <iomanip>
#include <iostream>

#include "cli/ask.h"

namespace foxshunt::cli {
namespace {

// As a part of a query: all but letters, digits and a few marks as %XX.
std::string escaped(const std::string& text) {
  static constexpr const char* kDigits = "0123456789ABCDEF";
  std::string made;
  for (const char letter : text) {
    const auto byte = static_cast<unsigned char>(letter);
    const bool plain = (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z') ||
                       (letter >= '0' && letter <= '9') || letter == '-' || letter == '_' || letter == '.';
    if (plain) {
      made += letter;
    } else {
      made += {'%', kDigits[byte / 16], kDigits[byte % 16]};
    }
  }
  return made;
}

void print(const wire::Value& body) {
  std::cout << body.count("jobs") << " jobs with " << body.count("tasks") << " tasks wait; catalog "
            << body.count("catalog") << ", records " << body.count("revision") << ", step " << body.count("step")
            << ", digest " << body.text("digest") << "\n";
  for (const wire::Value& line : body.list("lines")) {
    const std::string* class_name = line["class"].as_text();
    std::cout << std::right << std::setw(5) << line.count("place") << "  " << std::left << std::setw(10)
              << line.text("job") << " " << std::setw(14) << line.text("team") << " " << std::setw(18)
              << (class_name == nullptr ? "-" : *class_name) << std::right << std::setw(4) << line.count("standing")
              << std::setw(7) << line.count("waited_s") << " s" << std::setw(7) << line.count("tasks") << " tasks  "
              << line.text("reason") << "\n";
  }
  if (const auto* next = body["next"].as_count()) std::cout << "more: --from " << *next << "\n";
}

}  // namespace

Exit queue(const QueueOptions& options) {
  const std::string path = "/queue?class=" + escaped(options.class_name) + "&team=" + escaped(options.team) +
                           "&from=" + std::to_string(options.from);
  const auto answer = ask(options.to, {.method = "GET", .path = path, .body = {}});
  if (!answer) return Exit::failed;
  return show(*answer, [&options](const wire::Value& body) {
    if (options.as_json) {
      std::cout << to_json(body).dump(2) << "\n";
    } else {
      print(body);
    }
  });
}

}  // namespace foxshunt::cli
