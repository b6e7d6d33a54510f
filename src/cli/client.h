// The user's side: submits, asks and cancels over HTTP.
#pragma once

#include <string>

namespace foxshunt::cli {

// Exit codes of the commands.
enum class Exit { fine = 0, failed = 1, usage = 2, no_such_job = 3 };

[[nodiscard]] Exit submit(const std::string& to, const std::string& path);
[[nodiscard]] Exit status(const std::string& to, const std::string& job, bool wait);
[[nodiscard]] Exit cancel(const std::string& to, const std::string& job);

}  // namespace foxshunt::cli
