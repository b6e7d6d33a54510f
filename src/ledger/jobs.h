// The jobs that are neither done nor forgotten, read from the ledger's records: the same on every node at the same
// revision.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "ledger/ledger.h"
#include "wire/messages.h"

namespace foxshunt::record_cache {

struct CachedJob {
  wire::JobSpec spec;
  std::int64_t submitted_wall_ms = 0;  // by the time of day of the node that accepted it
  bool cancelled = false;              // only what it may still have on machines is left of it
  std::uint64_t done = 0;              // tasks
  std::uint64_t placed = 0;            // tasks that a record places on a machine

  [[nodiscard]] std::uint64_t waiting() const {
    return cancelled || spec.tasks < done + placed ? 0 : spec.tasks - done - placed;
  }
};

class Jobs final : public CacheObserver {
 public:
  void on_change(const std::string& key, const wire::Value* data, Revision revision) override;

  [[nodiscard]] const std::map<JobId, CachedJob>& all() const { return jobs_; }
  [[nodiscard]] const CachedJob* find(const JobId& job) const;
  // Records that could not be read; they are passed over and told once.
  [[nodiscard]] std::uint64_t unreadable() const { return unreadable_; }

 private:
  struct Counts {
    std::uint64_t done = 0;
    std::uint64_t placed = 0;
  };
  void recount(CachedJob& job) const;

  std::map<JobId, CachedJob> jobs_;
  std::map<JobId, std::map<std::uint32_t, Counts>> parts_;  // of jobs in several parts; may come before their job
  std::uint64_t unreadable_ = 0;
};

}  // namespace foxshunt::record_cache
