// What a node holds of the leader's soft state: words applied in order. A word that does not fit is refused as a whole and
// changes nothing; then all is asked for again. The last whole picture stays until a newer one is whole. Pure.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "standby/words.h"

namespace foxshunt::standby {

class Subscriber {
 public:
  explicit Subscriber(NodeName self) : self_(std::move(self)) {}

  // `told_by`: whom it will ask; another one than before tells all from the start.
  [[nodiscard]] SnapshotRequest next_request(const NodeName& told_by);
  // The bytes of the answer to the newest ask. Nothing if it was taken, else why not.
  std::optional<std::string> on_answer(std::string_view bytes, Instant now);
  // What siblings and records tell of terms: words of older ones are refused from now on.
  void observe_term(Term term);

  // Whether there has ever been a whole picture.
  [[nodiscard]] bool holds() const { return whole_since_.has_value(); }
  // Whether what it was last told was all that there was to tell.
  [[nodiscard]] bool caught_up() const { return caught_up_; }
  // A copy of the last whole picture, by this node's clock; nothing if there is none, or if it is older than hints may be.
  [[nodiscard]] std::optional<SoftStateSnapshot> snapshot(Instant now) const;
  [[nodiscard]] std::optional<Millis> age(Instant now) const;
  [[nodiscard]] Term term() const { return held_.term; }
  [[nodiscard]] std::uint64_t sequence() const { return held_.sequence; }
  [[nodiscard]] std::size_t entries() const { return held_.entries.size(); }

  struct Counts {
    std::uint64_t words = 0;
    std::uint64_t bytes = 0;
    std::uint64_t refused = 0;
    std::uint64_t wholes = 0;  // begun from nothing
  };
  [[nodiscard]] const Counts& counts() const { return counts_; }

 private:
  struct Held {
    NodeName from;
    std::uint64_t life = 0;
    std::uint64_t sequence = 0;
    Term term;
    Instant taken;
    double starts_s = 0;
    std::map<Key, EntryValue> entries;
  };
  void take(const Message& word, Instant now);

  NodeName self_;
  std::uint64_t asked_ = 0;
  NodeName asked_of_;
  bool answered_ = true;
  Term least_;
  bool caught_up_ = false;
  std::optional<Instant> whole_since_;
  Held held_;                   // the last whole picture, and what followed it
  std::optional<Held> coming_;  // one that is not whole yet
  Counts counts_;
};

}  // namespace foxshunt::standby
