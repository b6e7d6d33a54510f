// Rights to answer the workers of a zone in the leader's term, so that a zone that is cut off keeps its work for as
// long as no cancellation can be overrun. The leader's book of what it gave, and what a sibling holds. Pure.
//
// Why no rule hangs on whether a word arrives, and when, is in docs/design.md, "Zone grants". In short: what a holder
// may do ends a fence after the last moment up to which the giver knew all changes, reckoned from when the holder
// *asked*; the giver counts every grant as used to its end until the holder has asked with a newer one in hand.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "config/settings.h"
#include "plan/usage_vector.h"
#include "wire/ids.h"

namespace foxshunt::zone {

using plan::Instant;
using plan::Millis;

using GrantNo = CountId<struct GrantTag>;  // grows within a term; 0: none

// A machine that a holder has answered, and how long ago the last time was.
struct Use {
  MachineId machine;
  Millis ago{};
  friend bool operator==(const Use&, const Use&) = default;
};

// What a node that does not lead asks the leader, every second or so.
struct Ask {
  NodeName node;
  std::uint64_t life = 0;      // of its process: later ones have higher numbers
  std::uint64_t sequence = 0;  // grows within a life
  Term term;                   // in which the node that is asked leads
  GrantNo holds;               // the newest grant in hand; it has replaced all before
  std::vector<Use> uses;       // of grants, as long as a lease may last on them
  friend bool operator==(const Ask&, const Ask&) = default;
};

struct Grant {
  GrantNo number;
  Term term;
  std::string zone;
  Millis age{};                   // of the moment up to which the giver knew all changes
  std::vector<MachineId> except;  // machines that only the leader may answer
  friend bool operator==(const Grant&, const Grant&) = default;
};

// The three spans that grants hang on, by the settings' figures.
struct Spans {
  Millis grant{};  // from the giver's last known change to the grant's end, by the holder's clock
  Millis bound{};  // the same by the giver's clock at most, whatever the two clocks do
  Millis lease{};  // a worker's lease certainly ends within it
};

// The leader's side: what was given in this term, and what it may have been used for.
class Book {
 public:
  Book() = default;
  Book(const std::vector<config::Sibling>& siblings, const Spans& spans);

  // Takes note of a sibling's word in this term; false when it is stale, or no sibling's.
  bool hear(const Ask& ask, Term term, Instant now);
  // What is given to a sibling that was heard. `known`: up to when all changes are known here; nothing: what is given has
  // ended already, and only answers the word. `except`: machines of the zone that must not be answered by others.
  Grant give(const NodeName& node, Term term, std::optional<Instant> known, const std::vector<MachineId>& except,
             Instant now);

  // Up to when a holder may have renewed, or may yet renew, the lease of the machine; zone empty: not known.
  [[nodiscard]] Instant renewed_until(const std::string& zone, const MachineId& machine) const;
  // Whether a holder of the zone has answered the machine within the span, as far as it told.
  [[nodiscard]] bool used_within(const std::string& zone, const MachineId& machine, Millis span, Instant now) const;
  // How long ago the last word came from any sibling of the zone; nothing if none ever did in this term.
  [[nodiscard]] std::optional<Millis> silent_for(const std::string& zone, Instant now) const;
  [[nodiscard]] bool has_sibling(const std::string& zone) const;
  // Whether every sibling is known to hold nothing of an older term and to have been heard since all of them had left
  // older terms: nobody else can renew a lease of older terms any more.
  [[nodiscard]] bool older_terms_over() const { return older_over_; }
  void forget_before(Instant now);

  struct Standing {  // for operators
    NodeName node;
    std::string zone;
    std::optional<Instant> heard;
    Instant until;  // the latest end of its grants, by this clock
    std::size_t machines_used = 0;
  };
  [[nodiscard]] std::vector<Standing> standings() const;

 private:
  struct Given {
    GrantNo number;
    Instant until;
    std::set<MachineId> except;
  };
  struct Holder {
    std::string zone;
    std::uint64_t life = 0;
    std::uint64_t sequence = 0;
    std::optional<Instant> heard;
    GrantNo holds;
    std::vector<Given> given;    // not yet replaced, oldest first
    std::vector<Given> earlier;  // to processes that have ended, with what they can't tell any more
    std::map<MachineId, Instant> used;
  };
  void learn_older_over();

  Spans spans_;
  std::map<NodeName, Holder> holders_;
  GrantNo last_;
  std::optional<GrantNo> all_heard_at_;  // grants above it were given after every sibling had been heard
  bool older_over_ = false;
};

// A sibling's side: the newest grant in hand.
class Holder {
 public:
  Holder() = default;
  Holder(const NodeName& self, const std::string& zone, std::uint64_t life, const Spans& spans);

  // The next word to the leader of that term. What was given in an older term is dropped first.
  [[nodiscard]] Ask next_ask(Term leaders, Instant now);
  // The answer to the word that was sent at `asked`; false when it is not for this node and then nothing is taken.
  bool on_grant(const Grant& grant, Instant asked);
  // Ends what was given in a term before this one.
  void hear_of(Term term);
  // Whether the report of a machine that has seen the term `seen` may be answered, in the term that is given back;
  // counts as a use if so.
  [[nodiscard]] std::optional<Term> answers(const MachineId& machine, const std::string& zone, Term seen, Instant now);

  [[nodiscard]] std::optional<Instant> until() const;  // the grant's end
  [[nodiscard]] std::size_t machines_used() const { return used_.size(); }

 private:
  NodeName self_;
  std::string zone_;
  std::uint64_t life_ = 0;
  Spans spans_;
  std::uint64_t sequence_ = 0;
  std::optional<Grant> grant_;
  std::set<MachineId> except_;
  Instant until_;
  std::map<MachineId, Instant> used_;
};

}  // namespace foxshunt::zone
