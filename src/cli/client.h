// The user's side: submits, asks and cancels over HTTP.
#pragma once

#include <string>

namespace foxshunt::cli {

// Exit codes of the commands.
enum class Exit { fine = 0, failed = 1, usage = 2, no_such_job = 3 };

[[nodiscard]] Exit submit(const std::string& to, const std::string& path);
[[nodiscard]] Exit status(const std::string& to, const std::string& job, bool wait);
// Why its tasks wait and when they are planned to start; only the leader knows.
[[nodiscard]] Exit plan(const std::string& to, const std::string& job);
// What a node counts, one name and value a line, or as Prometheus' text exposition.
[[nodiscard]] Exit counters(const std::string& to, bool as_exposition);
// What the leader sees of each zone, and what siblings may do there; of another node, what it holds itself.
[[nodiscard]] Exit zones(const std::string& to, bool as_json);
[[nodiscard]] Exit cancel(const std::string& to, const std::string& job);

}  // namespace foxshunt::cli
