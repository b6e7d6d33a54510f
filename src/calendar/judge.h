// What becomes of one occurrence: a pure function of its record, the entry in force, what is known of jobs, and the time.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "calendar/occurrence.h"
#include "foresight/foresight.h"

namespace foxshunt::calendar {

// What the leader knows of a job now.
struct JobNow {
  End end = End::open;
  std::int64_t seen_ms = 0;
  std::optional<std::int64_t> planned_end_ms;  // by the leader's plan
  std::int64_t best_end_ms = 0;                // if all of it began now
  std::optional<foresight::Shortfall> need;    // what lacks, where the plan can't hold its deadline
};

struct EvaluationContext {
  std::int64_t now_ms = 0;
  std::int64_t skew_ms = 0;  // clocks may be off by this
  std::size_t jobs_most = 0;
  // Of a listed job that was open: nothing while a read has to tell how it ended.
  std::function<std::optional<JobNow>(const JobId&)> job;
};

struct Verdict {
  Occurrence next;
  bool changed = false;
  bool urgent = false;         // to be written at once, before what only orders the queue
  std::int64_t again_ms = 0;   // to be looked at again by then, if nothing happens before
  std::vector<JobId> to_read;  // how they ended is in no record that the ledger keeps
};

// `fresh`: jobs that count for it and are not listed yet, by time of submission; their end may be known already.
// The occurrence must be open.
[[nodiscard]] Verdict evaluate(const Occurrence& seen, const std::vector<Counted>& fresh,
                               const EvaluationContext& outlook);

}  // namespace foxshunt::calendar
