// The watch over all records, which every node has.
#pragma once

#include <optional>
#include <stop_token>
#include <vector>

#include "node/context.h"
#include "kv/client.h"

namespace foxshunt::node {

/// Lists all records once, then watches them: one watch over everything, so that changes come in order of revisions.
class CacheWatcher {
 public:
  explicit CacheWatcher(Context& context);
  /// The loop: returns when a stop is asked for.
  void run(const std::stop_token& stop);

 private:
  [[nodiscard]] bool read();
  void watch(const std::stop_token& stop);
  /// Now and then a full re-list is compared with the cache; the re-list wins. False when they differ.
  [[nodiscard]] bool compare(const std::stop_token& stop);
  struct Found {
    std::vector<kv::Entry> entries;
    Revision from;
  };
  [[nodiscard]] std::optional<Found> read_all(bool to_compare);

  Context& context_;
  kv::Client client_;
  net::Clock::time_point compared_;
};

}  // namespace foxshunt::node
