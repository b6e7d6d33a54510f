#include "zone/delegated_lease.h"

#include <tuple>

#include "config/constants.h"
#include "config/guards.h"

namespace foxshunt::zone {

using guards::Guard;
using guards::kept;

Holder::Holder(const NodeName& self, const std::string& zone, std::uint64_t life, const Spans& spans)
    : self_(self), zone_(zone), life_(life), spans_(spans) {}

Ask Holder::next_ask(Term leaders, Instant now) {
  hear_of(leaders);
  std::erase_if(used_, [&](const auto& used) { return now - used.second > spans_.lease; });
  Ask ask{.node = self_,
          .life = life_,
          .sequence = ++sequence_,
          .term = leaders,
          .holds = grant_ ? grant_->number : GrantNo{},
          .uses = {}};
  for (const auto& [machine, when] : used_) ask.uses.push_back({.machine = machine, .ago = now - when});
  return ask;
}

bool Holder::on_grant(const Grant& grant, Instant asked) {
  if (grant.zone != zone_ || grant.number == GrantNo{}) return false;
  if (grant_ && std::tie(grant.term, grant.number) <= std::tie(grant_->term, grant_->number)) return false;
  grant_ = grant;
  except_ = {grant.except.begin(), grant.except.end()};
  // From when it was asked for, which was before it was given, however long the answer took.
  until_ = asked - grant.age + spans_.grant;
  return true;
}

void Holder::hear_of(Term term) {
  if (kept(Guard::holder_older) && grant_ && grant_->term < term) grant_.reset();
}

std::optional<Term> Holder::answers(const MachineId& machine, const std::string& zone, Term seen, Instant now) {
  if (!grant_ || (kept(Guard::holder_clock) && now >= until_) || zone != zone_ ||
      (kept(Guard::holder_term) && seen > grant_->term) || (kept(Guard::holder_except) && except_.contains(machine))) {
    return std::nullopt;
  }
  // All uses have to fit a word.
  if (used_.size() >= constants::kGrantMachinesMost && !used_.contains(machine)) return std::nullopt;
  used_[machine] = now;
  return grant_->term;
}

std::optional<Instant> Holder::until() const { return grant_ ? std::optional(until_) : std::nullopt; }

}  // namespace foxshunt::zone
