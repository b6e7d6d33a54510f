// The deadline calendar: opens an occurrence of each entry ahead of its window, gathers the jobs that count for it, tells
// when it is at risk and closes it. All it knows for good is in the occurrences' records; what it keeps besides
// is what it heard of jobs that no record lists yet. Not for several threads at once.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "calendar/civil.h"
#include "calendar/judge.h"
#include "calendar/occurrence.h"
#include "catalog/model.h"
#include "ledger/keeper.h"

namespace foxshunt::calendar {

struct Limits {
  std::size_t value_bytes = 0;  // of one record, as PROTOCOL counts them
  std::int64_t skew_ms = 0;     // the time of day is off by up to this
};

// What this node told as the leader, and what it can't do.
struct Counts {
  std::uint64_t at_risk = 0;
  std::uint64_t cannot_hold = 0;  // of these, by the plan
  std::uint64_t met = 0;
  std::uint64_t missed = 0;
  std::uint64_t waived = 0;
  std::uint64_t unknown_entries = 0;  // that can't be reckoned on this machine
  std::uint64_t unreadable = 0;       // records of a newer form, or malformed: kept as they are
};

// Reads the zone files that the entries need, so that no caller of the keeper has to wait for it. For any thread.
void warm(const catalog::Set& set);

class DeadlineController final : public record_cache::RecordController {
 public:
  // The set in force; never null. The same pointer as long as it is the same set.
  using InForce = std::function<std::shared_ptr<const catalog::Set>()>;
  struct Known {
    Occurrence seen;
    Revision revision;
  };

  DeadlineController(InForce in_force, Limits limits);

  [[nodiscard]] std::string prefix() const override { return kPrefix; }
  void on_change(const std::string& key, const wire::Value* data, Revision revision) override;
  [[nodiscard]] std::optional<kv::Txn> next_write(const record_cache::Jobs& jobs, record_cache::Moment now,
                                                  std::size_t changes_most) override;
  void on_written(const kv::Txn& txn, const kv::TxnResult& result) override;

  // On every node, after each word of the watch: all that was told before was told by then.
  void look(record_cache::Moment now);
  // On every node, after each cold read: what was only heard may have gone on unheard.
  void cold_read();

  // On the leader: a key to be read, over/<job>, and what came of it. Without an answer it is asked for again.
  [[nodiscard]] std::optional<std::string> next_read();
  void on_read(const std::string& key, const kv::GetResult& result);

  // On the leader: what its plan says of jobs.
  struct Plan {
    std::optional<std::int64_t> end_ms;        // by the time of day; nothing: it has no booking
    std::optional<foresight::Shortfall> need;  // what lacks for its deadline
  };
  void planned(std::map<JobId, Plan> plans);

  // Of a job listed in an open occurrence, from records alone: the same on every node at the same revision.
  [[nodiscard]] std::optional<int> slack_step(const JobId& job) const;
  [[nodiscard]] std::optional<std::int64_t> deadline_ms(const JobId& job) const;
  [[nodiscard]] std::vector<JobId> listed() const;

  [[nodiscard]] const std::map<std::string, Known>& occurrences() const { return known_; }
  [[nodiscard]] const catalog::Set& in_force() const { return *index().set; }
  // Of keys and contents: equal on any node at the same revision.
  [[nodiscard]] std::uint64_t digest() const;
  [[nodiscard]] const Counts& counts() const { return counts_; }
  [[nodiscard]] const Limits& limits() const { return limits_; }

 private:
  // A job that some entry takes.
  struct Heard {
    std::int64_t submitted_ms = 0;
    std::optional<std::int64_t> own_deadline_ms;
    std::uint64_t tasks = 0;
    std::int64_t estimate_ms = 0;
    std::vector<std::string> entries;
    std::set<std::string> listed;  // keys of occurrences that list it, or did
    End end = End::open;
    std::int64_t seen_ms = 0;  // of its end; 0: told, but not yet stamped
  };
  struct Listing {
    int step = 0;
    std::int64_t deadline_ms = 0;
  };
  // The entries of one set, as they are looked for: there may be hundreds, and many jobs.
  struct Index {
    std::shared_ptr<const catalog::Set> set;
    std::map<std::string, const catalog::CalendarDef*> by_name;
    std::unordered_map<std::string, std::vector<const catalog::CalendarDef*>> by_class;
    std::vector<const catalog::CalendarDef*> any_class;
  };
  struct Dues {  // of one entry
    std::vector<Due> all;
    bool reckoned = false;  // by this machine's zone files
  };
  struct Opening {
    std::int64_t from_ms = 0;  // when it may be opened
    std::string entry;
    Due due;
  };
  struct Proposal {
    std::string key;
    Occurrence next;
    Revision revision;  // of what it was decided from; 0: it is opened
    int order = 0;      // lower ones are written first
    bool remove = false;
  };

  [[nodiscard]] const Index& index() const;
  [[nodiscard]] std::vector<std::string> entries_for(const wire::JobSpec& spec) const;
  void on_occurrence(const std::string& key, const wire::Value* data, Revision revision);
  void unlist(const std::string& key);
  void on_live(const JobId& job, const wire::Value* data);
  void hear(const JobId& job, const wire::JobSpec& spec, std::int64_t submitted_ms);
  void forget(const JobId& job);
  void stamp(std::int64_t now_ms);
  void rescan(const record_cache::Jobs& jobs);
  void reckon(std::int64_t now_ms);
  void touch(const std::string& key) { look_at_.insert_or_assign(key, 0); }
  void touch_entry(const std::string& entry);
  void touch_all();
  [[nodiscard]] const catalog::CalendarDef* entry_of(const std::string& name) const;
  [[nodiscard]] Occurrence plain(const catalog::CalendarDef& entry, const Due& due) const;
  [[nodiscard]] std::vector<Counted> fresh_for(const Occurrence& one, const std::string& key,
                                               const record_cache::Jobs& jobs) const;
  // Jobs of an occurrence that this one takes the place of, whose end is known.
  void take_over(std::vector<Counted>& fresh, const Occurrence& one, std::int64_t now_ms) const;
  [[nodiscard]] std::optional<std::string> out_of_catalog(const Occurrence& one, std::int64_t now_ms) const;
  void follow_entry(Occurrence& one) const;
  [[nodiscard]] bool busy(const std::string& key) const { return awaited_.contains(key) || pending_.contains(key); }
  void propose_openings(std::vector<Proposal>& proposals, const record_cache::Jobs& jobs,
                        const EvaluationContext& outlook);
  void propose_changes(std::vector<Proposal>& proposals, const record_cache::Jobs& jobs,
                       const EvaluationContext& outlook, std::chrono::steady_clock::time_point now);
  void propose_removals(std::vector<Proposal>& proposals, std::int64_t now_ms) const;
  [[nodiscard]] EvaluationContext outlook(const record_cache::Jobs& jobs, record_cache::Moment now) const;
  void say_all(std::int64_t now_ms);
  void say(const std::string& key, const Occurrence& one, std::int64_t now_ms);
  [[nodiscard]] kv::Txn txn_of(std::vector<Proposal> proposals, std::size_t changes_most);

  InForce in_force_;
  mutable Index index_;  // of the set that was last in force
  Limits limits_;
  // From records.
  std::map<std::string, Known> known_;
  std::map<std::string, Revision> strange_;  // records that this program can't read; never opened, never written
  std::unordered_map<JobId, std::map<std::string, Listing>> listed_;  // in open occurrences
  // Heard of.
  std::unordered_map<JobId, Heard> heard_;
  std::unordered_set<JobId> others_;                                // live jobs that no entry takes
  std::optional<std::pair<catalog::Version, Revision>> others_of_;  // the catalog they were matched by
  std::map<std::string, std::set<std::pair<std::int64_t, JobId>>> by_entry_;
  std::vector<JobId> unstamped_;
  std::optional<std::pair<catalog::Version, Revision>> matched_;  // the catalog that jobs were matched by
  std::int64_t pruned_ms_ = 0;
  // The leader's.
  std::map<std::string, std::int64_t> look_at_;  // occurrences to be looked at, from when on
  std::map<std::string, Dues> dues_;
  std::optional<std::pair<catalog::Version, Revision>> reckoned_;
  std::int64_t reckoned_ms_ = 0;
  std::vector<Opening> openings_;   // that may have to be opened yet, by time
  std::set<std::string> unopened_;  // entries with an occurrence that has still to be opened
  std::optional<std::chrono::steady_clock::time_point> rescanned_;
  std::optional<std::chrono::steady_clock::time_point> decided_;
  std::map<JobId, std::chrono::steady_clock::time_point> to_read_;  // since when
  JobId last_read_;
  std::map<JobId, Plan> planned_;
  std::set<std::string> pending_;            // keys of the write under way
  std::map<std::string, Revision> awaited_;  // written; not heard of yet
  std::set<std::string> unsaid_;             // keys of records that changed since the leader last looked
  std::map<std::string, std::pair<State, std::vector<std::string>>> said_;
  std::set<std::string> unknown_said_;
  std::set<std::string> sunless_said_;
  Counts counts_;
};

}  // namespace foxshunt::calendar
