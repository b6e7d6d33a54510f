#include "state/keys.h"

#include "wire/messages.h"

namespace foxshunt::state {

std::string live_key(const JobId& job) { return kLivePrefix + job.text(); }
std::string over_key(const JobId& job) { return kOverPrefix + job.text(); }
std::string linger_key(const JobId& job) { return kLingerPrefix + job.text(); }
std::string part_key(const JobId& job, std::uint32_t part) {
  return kPartPrefix + job.text() + "/" + std::to_string(part);
}

std::optional<JobId> job_of_key(const std::string& key) {
  const std::size_t slash = key.find('/');
  if (slash == std::string::npos) return std::nullopt;
  const std::string rest = key.substr(slash + 1, key.find('/', slash + 1) - slash - 1);
  if (!wire::is_job_id(rest)) return std::nullopt;
  return JobId(rest);
}

std::optional<std::uint32_t> part_of_key(const std::string& key) {
  const std::string text = key.substr(key.rfind('/') + 1);
  if (!key.starts_with(kPartPrefix) || text.empty() || text.size() > 9 ||
      text.find_first_not_of("0123456789") != std::string::npos) {
    return std::nullopt;
  }
  return static_cast<std::uint32_t>(std::stoul(text));
}

}  // namespace foxshunt::state
