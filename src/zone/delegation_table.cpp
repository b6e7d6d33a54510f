#include "zone/delegation_table.h"

#include <algorithm>
#include <tuple>

#include "config/guards.h"

namespace foxshunt::zone {

using guards::Guard;
using guards::kept;

DelegationTable::DelegationTable(const std::vector<config::Sibling>& siblings, const DelegationTimeouts& timeouts)
    : timeouts_(timeouts) {
  for (const config::Sibling& sibling : siblings) siblings_[sibling.name].zone = sibling.zone;
}

bool DelegationTable::apply_request(const DelegationRequest& request, Term term, Instant now) {
  const auto entry = siblings_.find(request.node);
  if (entry == siblings_.end() || request.term != term) return false;
  Sibling& sibling = entry->second;
  // A delayed request describes an outdated state. If it counted as the request of a new process, delegations that are
  // in use would be voided.
  if (kept(Guard::ask_order) && std::tie(request.life, request.sequence) <= std::tie(sibling.life, sibling.sequence))
    return false;
  if (request.life != sibling.life) {
    // The earlier process has ended and cannot tell any more which machines it answered last.
    for (IssuedDelegation& issued : sibling.issued) {
      issued.until = std::min(issued.until, now);
      if (kept(Guard::ask_life)) sibling.issued_to_earlier_processes.push_back(std::move(issued));
    }
    sibling.issued.clear();
  } else {
    std::erase_if(sibling.issued, [&](const IssuedDelegation& issued) { return issued.number < request.holds; });
  }
  sibling.life = request.life;
  sibling.sequence = request.sequence;
  sibling.heard = now;
  sibling.holds = request.holds;
  for (const DelegationUse& use : request.uses) {
    Instant& last = sibling.used[use.machine];
    last = std::max(last, now - use.ago);
  }
  update_older_terms_ended();
  return true;
}

LeaseDelegation DelegationTable::issue_delegation(const NodeName& node, Term term, std::optional<Instant> known,
                                                  const std::vector<MachineId>& except, Instant now) {
  Sibling& sibling = siblings_.at(node);
  last_number_ = last_number_.next();
  if (!known)
    return LeaseDelegation{
        .number = last_number_, .term = term, .zone = sibling.zone, .age = timeouts_.delegation, .except = {}};
  if (kept(Guard::grant_counted))
    sibling.issued.push_back(
        {.number = last_number_, .until = *known + timeouts_.bound, .except = {except.begin(), except.end()}});
  return LeaseDelegation{.number = last_number_,
                         .term = term,
                         .zone = sibling.zone,
                         .age = kept(Guard::grant_known) ? std::max(Millis(0), now - *known) : Millis(0),
                         .except = except};
}

// Once every sibling has sent a request in this term, none of them leads in an older term, so no delegation of an older
// term is issued any more. A sibling that then holds a delegation with a higher number requested it after that point,
// and had dropped any delegation of an older term by then.
void DelegationTable::update_older_terms_ended() {
  if (older_terms_ended_) return;
  if (!number_when_all_heard_) {
    if (std::ranges::all_of(siblings_, [](const auto& entry) { return entry.second.heard.has_value(); })) {
      number_when_all_heard_ = last_number_;
      if (!kept(Guard::older_terms_twice)) older_terms_ended_ = true;
    }
    return;
  }
  older_terms_ended_ = std::ranges::all_of(
      siblings_, [this](const auto& entry) { return entry.second.holds > *number_when_all_heard_; });
}

Instant DelegationTable::renewed_until(const std::string& zone, const MachineId& machine) const {
  Instant until{};
  for (const auto& [unused, sibling] : siblings_) {
    if (!zone.empty() && sibling.zone != zone) continue;
    for (const std::vector<IssuedDelegation>* all : {&sibling.issued, &sibling.issued_to_earlier_processes}) {
      for (const IssuedDelegation& issued : *all) {
        if (!issued.except.contains(machine)) until = std::max(until, issued.until);
      }
    }
    if (const auto used = sibling.used.find(machine); used != sibling.used.end()) until = std::max(until, used->second);
  }
  return until;
}

bool DelegationTable::used_within(const std::string& zone, const MachineId& machine, Millis span, Instant now) const {
  return std::ranges::any_of(siblings_, [&](const auto& entry) {
    if (entry.second.zone != zone) return false;
    const auto used = entry.second.used.find(machine);
    return used != entry.second.used.end() && now - used->second <= span;
  });
}

std::optional<Millis> DelegationTable::silence_of(const std::string& zone, Instant now) const {
  std::optional<Millis> least;
  for (const auto& [unused, sibling] : siblings_) {
    if (sibling.zone != zone || !sibling.heard) continue;
    const Millis silent = now - *sibling.heard;
    if (!least || silent < *least) least = silent;
  }
  return least;
}

bool DelegationTable::has_sibling(const std::string& zone) const {
  return std::ranges::any_of(siblings_, [&](const auto& entry) { return entry.second.zone == zone; });
}

void DelegationTable::prune_expired(Instant now) {
  const auto over = [&](Instant until) { return until + timeouts_.lease < now; };
  for (auto& [unused, sibling] : siblings_) {
    std::erase_if(sibling.issued, [&](const IssuedDelegation& issued) { return over(issued.until); });
    std::erase_if(sibling.issued_to_earlier_processes,
                  [&](const IssuedDelegation& issued) { return over(issued.until); });
    std::erase_if(sibling.used, [&](const auto& used) { return over(used.second); });
  }
}

std::vector<DelegationTable::Standing> DelegationTable::standings() const {
  std::vector<Standing> found;
  for (const auto& [name, sibling] : siblings_) {
    Standing standing{.node = name, .zone = sibling.zone, .heard = sibling.heard, .machines_used = sibling.used.size()};
    for (const IssuedDelegation& issued : sibling.issued) standing.until = std::max(standing.until, issued.until);
    found.push_back(std::move(standing));
  }
  return found;
}

}  // namespace foxshunt::zone
