// Makes words of pictures: each tells what changed since what the asker holds, and all when it holds nothing of this
// teller. It keeps nothing of any asker, so that one that is slow, frozen or gone costs it nothing. Pure.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

#include "standby/words.h"

namespace foxshunt::standby {

class Publisher {
 public:
  // `life`: higher than that of earlier lives of the process. Never 0.
  explicit Publisher(std::uint64_t life) : life_(life) {}

  // Whether it is time to look again: pictures cost the leader, words do not.
  [[nodiscard]] bool wants_snapshot(Instant now) const;
  // The newest picture; facts that are as they were are not told again.
  void show(SoftStateSnapshot snapshot);
  // Nothing when there is no picture yet, or when it has told so much of late that this word has to wait.
  [[nodiscard]] std::optional<Message> tell(const SnapshotRequest& ask, Instant now);

  [[nodiscard]] std::uint64_t life() const { return life_; }
  [[nodiscard]] std::uint64_t last() const { return last_; }
  [[nodiscard]] std::size_t entries() const { return entries_.size(); }
  struct Counts {
    std::uint64_t words = 0;
    std::uint64_t wholes = 0;   // words that began from nothing
    std::uint64_t entries = 0;  // told, those that ended included
    std::uint64_t put_off = 0;
  };
  [[nodiscard]] const Counts& counts() const { return counts_; }

 private:
  struct Known {
    std::optional<EntryValue> what;  // none: it has ended, and askers may not know yet
    std::uint64_t changed = 0;
  };
  void change(const Key& key, std::optional<EntryValue> what);
  void forget_ended();

  std::uint64_t life_;
  std::uint64_t last_ = 0;
  std::uint64_t forgotten_ = 0;  // an asker that holds less may not know of all that ended
  std::optional<Instant> shown_;
  Term term_;
  double starts_s_ = 0;
  Instant taken_;
  std::map<Key, Known> entries_;
  std::map<std::uint64_t, Key> order_;  // by their latest change
  std::deque<std::uint64_t> ended_;     // in that order
  std::deque<Instant> told_;            // within the last second
  Counts counts_;
};

}  // namespace foxshunt::standby
