#include "standby/listener.h"

#include "config/constants.h"

namespace foxshunt::standby {

namespace {

// By the listener's clock. What is said to be further away than any span that matters is taken as that far.
struct Reckoning {
  Millis ahead{};  // of this clock

  Instant operator()(Instant when) const { return when + ahead; }
  EntryValue operator()(const EntryValue& what) const {
    return std::visit([this](const auto& one) -> EntryValue { return reckon(one); }, what);
  }

 private:
  EntryValue reckon(const Shared<Machine>& machine) const {
    Machine here = *machine;
    here.since += ahead;
    here.ready += ahead;
    return Shared(std::move(here));
  }
  EntryValue reckon(Task task) const {
    if (task.began) *task.began += ahead;
    return task;
  }
  EntryValue reckon(const Shared<JobFailures>& trouble) const {
    JobFailures here = *trouble;
    here.not_before += ahead;
    return Shared(std::move(here));
  }
  EntryValue reckon(const Shared<Refusal>& refusal) const {
    Refusal here = *refusal;
    here.not_before += ahead;
    return Shared(std::move(here));
  }
  EntryValue reckon(Arrivals arrivals) const {
    arrivals.from += ahead;
    return arrivals;
  }
  EntryValue reckon(const Shared<Sample>& sample) const { return sample; }
  EntryValue reckon(const Shared<GpuDemand>& demand) const {
    GpuDemand here = *demand;
    for (auto& [when, unused] : here.peaks) when += ahead;
    return Shared(std::move(here));
  }
};

}  // namespace

SnapshotRequest Subscriber::next_request(const NodeName& told_by) {
  asked_of_ = told_by;
  answered_ = false;
  const Held& of = coming_ ? *coming_ : held_;
  const bool same = of.from == told_by;
  return {.node = self_, .number = ++asked_, .life = same ? of.life : 0, .sequence = same ? of.sequence : 0};
}

void Subscriber::observe_term(Term term) { least_ = std::max(least_, term); }

std::optional<std::string> Subscriber::on_answer(std::string_view bytes, Instant now) {
  const auto refuse = [this](std::string why) {
    ++counts_.refused;
    // Whatever is wrong with it, what comes next is asked for from the start.
    coming_.reset();
    held_.life = 0;
    caught_up_ = false;
    return why;
  };
  if (answered_) {
    ++counts_.refused;
    return "nothing was asked";
  }
  if (bytes.size() > constants::kMaxStandbyAnswerBytes) return refuse("it is too long");
  try {
    const Message word = message_from(wire::decode(bytes));
    if (word.number != asked_) {
      ++counts_.refused;
      return "it answers an earlier ask";
    }
    answered_ = true;
    if (word.term < least_) return refuse("it is of an older term");
    if (word.at - word.taken > constants::kMaxSoftStateAge) return refuse("it is too old");
    const Held& of = coming_ ? *coming_ : held_;
    const bool continues = word.after != 0;
    if (continues && (of.from != asked_of_ || of.life != word.life || of.sequence != word.after)) {
      return refuse("there is a gap before it");
    }
    if ((continues ? of.entries.size() : 0) + word.changes.size() > constants::kMaxStandbyFacts) {
      return refuse("it tells too much");
    }
    take(word, now);
    ++counts_.words;
    counts_.bytes += bytes.size();
    return std::nullopt;
  } catch (const wire::Malformed& error) {
    return refuse(error.what());
  }
}

void Subscriber::take(const Message& word, Instant now) {
  if (word.after == 0) {
    ++counts_.wholes;
    coming_ = Held{};
    coming_->from = asked_of_;
    coming_->life = word.life;
  }
  Held& of = coming_ ? *coming_ : held_;
  const Reckoning reckon{now - word.at};
  for (const Change& change : word.changes) {
    if (change.what) {
      of.entries.insert_or_assign(change.key, reckon(*change.what));
    } else {
      of.entries.erase(change.key);
    }
  }
  of.sequence = word.upto;
  of.term = word.term;
  of.taken = reckon(word.taken);
  of.starts_s = word.starts_s;
  caught_up_ = word.upto == word.last;
  if (!caught_up_) return;
  if (coming_) {
    held_ = std::move(*coming_);
    coming_.reset();
  }
  whole_since_ = now;
}

std::optional<Millis> Subscriber::age(Instant now) const {
  if (!whole_since_) return std::nullopt;
  return now - held_.taken;
}

std::optional<SoftStateSnapshot> Subscriber::snapshot(Instant now) const {
  if (!whole_since_ || now - held_.taken > constants::kMaxSoftStateAge) return std::nullopt;
  SoftStateSnapshot snapshot{.term = held_.term, .taken = held_.taken, .starts_s = held_.starts_s, .entries = {}};
  snapshot.entries.reserve(held_.entries.size());
  for (const auto& [key, what] : held_.entries) snapshot.entries.push_back({.key = key, .what = what});
  return snapshot;
}

}  // namespace foxshunt::standby
