// The words that siblings exchange about soft state, as CBOR. Moments travel as counts of the teller's own clock beside its
// present one, so that the same fact is always the same bytes; the listener reckons them by its own.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "standby/picture.h"
#include "wire/value.h"

namespace foxshunt::standby {

// What a node asks of a sibling, with what it holds of it.
struct SnapshotRequest {
  NodeName node;
  std::uint64_t number = 0;    // grows within the asker's life; the answer repeats it
  std::uint64_t life = 0;      // of the teller whose words it holds; 0: of none
  std::uint64_t sequence = 0;  // up to which it holds them
  friend bool operator==(const SnapshotRequest&, const SnapshotRequest&) = default;
};

struct Change {
  Key key;
  std::optional<EntryValue> what;  // none: it is no longer so
  friend bool operator==(const Change&, const Change&) = default;
};

struct Message {
  std::uint64_t number = 0;  // of the ask
  std::uint64_t life = 0;    // of the teller's process
  Term term;                 // of the leader whose state it is
  Instant at;                // by the teller's clock: now,
  Instant taken;             // and when the leader's state was looked at
  double starts_s = 0;
  std::uint64_t after = 0;  // it tells the changes after this, from nothing if 0,
  std::uint64_t upto = 0;   // up to this,
  std::uint64_t last = 0;   // of all up to this
  std::vector<Change> changes;
  friend bool operator==(const Message&, const Message&) = default;
};

// An upper bound of what the change takes in a word.
[[nodiscard]] std::size_t bytes_of(const Change& change);

// Both directions throw wire::Malformed, naming the field.
[[nodiscard]] wire::Value to_value(const SnapshotRequest& ask);
[[nodiscard]] SnapshotRequest snapshot_request_from(const wire::Value& value);
[[nodiscard]] wire::Value to_value(const Message& word);
[[nodiscard]] Message message_from(const wire::Value& value);

}  // namespace foxshunt::standby
