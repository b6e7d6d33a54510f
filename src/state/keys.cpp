#include "state/keys.h"

#include "wire/messages.h"

namespace foxshunt::state {

std::string active_job_key(const JobId& job) { return kActiveJobPrefix + job.text(); }
std::string finished_job_key(const JobId& job) { return kFinishedJobPrefix + job.text(); }
std::string terminating_job_key(const JobId& job) { return kTerminatingJobPrefix + job.text(); }
std::string job_shard_key(const JobId& job, std::uint32_t shard) {
  return kJobShardPrefix + job.text() + "/" + std::to_string(shard);
}

std::optional<JobId> job_of_key(const std::string& key) {
  const std::size_t slash = key.find('/');
  if (slash == std::string::npos) return std::nullopt;
  const std::string rest = key.substr(slash + 1, key.find('/', slash + 1) - slash - 1);
  if (!wire::is_job_id(rest)) return std::nullopt;
  return JobId(rest);
}

std::optional<std::uint32_t> shard_of_key(const std::string& key) {
  // A number of at most nine digits always fits 32 bits.
  const std::string text = key.substr(key.rfind('/') + 1);
  if (!key.starts_with(kJobShardPrefix) || text.empty() || text.size() > 9 ||
      text.find_first_not_of("0123456789") != std::string::npos) {
    return std::nullopt;
  }
  return static_cast<std::uint32_t>(std::stoul(text));
}

}  // namespace foxshunt::state
