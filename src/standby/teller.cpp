#include "standby/teller.h"

#include "config/constants.h"

namespace foxshunt::standby {

bool Publisher::wants_snapshot(Instant now) const {
  return !shown_ || now - *shown_ >= constants::kStandbyCheckInterval;
}

void Publisher::change(const Key& key, std::optional<EntryValue> what) {
  Known& known = entries_[key];
  if (known.changed != 0) order_.erase(known.changed);
  if (!what) ended_.push_back(last_ + 1);
  known = {.what = std::move(what), .changed = ++last_};
  order_.emplace(last_, key);
}

void Publisher::show(SoftStateSnapshot snapshot) {
  shown_ = snapshot.taken;
  taken_ = snapshot.taken;
  term_ = snapshot.term;
  starts_s_ = snapshot.starts_s;
  std::ranges::sort(snapshot.entries, {}, &SoftStateEntry::key);
  auto known = entries_.begin();
  std::vector<Key> ended;
  std::vector<SoftStateEntry> changed;
  const auto pass = [&] {
    if (known->second.what) ended.push_back(known->first);
    ++known;
  };
  for (SoftStateEntry& fact : snapshot.entries) {
    while (known != entries_.end() && known->first < fact.key) pass();
    const bool same = known != entries_.end() && known->first == fact.key;
    if (!same || known->second.what != fact.what) changed.push_back(std::move(fact));
    if (same) ++known;
  }
  while (known != entries_.end()) pass();
  for (SoftStateEntry& fact : changed) change(fact.key, std::move(fact.what));
  for (const Key& key : ended) change(key, std::nullopt);
  forget_ended();
}

void Publisher::forget_ended() {
  while (ended_.size() > constants::kMaxStandbyEnded) {
    const std::uint64_t sequence = ended_.front();
    ended_.pop_front();
    const auto entry = order_.find(sequence);
    if (entry == order_.end()) continue;  // it came back
    entries_.erase(entry->second);
    order_.erase(entry);
    forgotten_ = sequence;
  }
}

std::optional<Message> Publisher::tell(const SnapshotRequest& ask, Instant now) {
  if (!shown_) return std::nullopt;
  while (!told_.empty() && now - told_.front() >= Millis(1000)) told_.pop_front();
  if (told_.size() >= constants::kMaxStandbyMessagesPerSecond) {
    ++counts_.put_off;
    return std::nullopt;
  }
  told_.push_back(now);
  const bool continues = ask.life == life_ && ask.sequence >= forgotten_ && ask.sequence <= last_;
  Message word{.number = ask.number,
               .life = life_,
               .term = term_,
               .at = now,
               .taken = std::min(taken_, now),
               .starts_s = starts_s_,
               .after = continues ? ask.sequence : 0,
               .last = last_,
               .changes = {}};
  word.upto = word.after;
  std::size_t bytes = 0;
  auto next = order_.upper_bound(word.after);
  for (; next != order_.end(); ++next) {
    const Known& known = entries_.at(next->second);
    // Who begins from nothing need not hear what is over.
    if (word.after == 0 && !known.what) continue;
    Change change{.key = next->second, .what = known.what};
    bytes += bytes_of(change);
    if (bytes > constants::kMaxStandbyMessageBytes && !word.changes.empty()) break;
    word.changes.push_back(std::move(change));
    word.upto = next->first;
  }
  if (next == order_.end()) word.upto = last_;
  ++counts_.words;
  counts_.entries += word.changes.size();
  if (word.after == 0) ++counts_.wholes;
  return word;
}

}  // namespace foxshunt::standby
