// What any node answers about the order of waiting jobs.
#pragma once

#include <string>
#include <vector>

#include "classes/classes.h"

namespace foxshunt::classes {

// What an answer was decided from: the same gives the same digest on any node.
struct Basis {
  catalog::Version version;   // of the catalog in force
  Revision catalog_revision;  // from which on it is
  Revision revision;          // of the records
  TimeStep step;
};

struct QueueAsk {
  std::string class_name;  // empty: all
  std::string team;        // empty: all
  std::size_t from = 1;    // place, among all that wait
};

// {basis…, "digest", "jobs", "tasks", "lines": [{"place", "job", "team", "class", "standing", "waited_s", "tasks",
// "reason", …}], "next": place or null}: at most kQueuePage lines, shorter than kMaxBodyBytes. Digest and counts are of
// the whole queue, whatever is asked for.
[[nodiscard]] wire::Value queue_answer(const std::vector<Rank>& ranks, const Table& table, const Basis& basis,
                                       const QueueAsk& ask);

}  // namespace foxshunt::classes
