// WarmPoolController: builds transactions from the changed records of a pool, with the cost of its machines.
#include <algorithm>
#include <utility>

#include "config/constants.h"
#include "pools/keeper.h"

namespace foxshunt::pools {

using accounts::Account;
using accounts::MachineUse;
using kv::Txn;
using wire::Value;

PoolState& WarmPoolController::state_in(Draft& draft) const {
  if (!draft.state) draft.state = state_of(draft.pool);
  return *draft.state;
}

Held& WarmPoolController::held_in(Draft& draft, std::uint64_t number) const {
  const auto [entry, fresh] = draft.held.try_emplace(number);
  if (fresh) {
    const auto chunks = held_.find(draft.pool);
    if (chunks != held_.end() && chunks->second.contains(number)) entry->second = chunks->second.at(number).data;
  }
  return entry->second;
}

Account& WarmPoolController::account_in(Draft& draft, std::uint64_t day) const {
  const auto [entry, fresh] = draft.accounts.try_emplace(day);
  if (fresh) {
    const auto days = accounts_.find(draft.pool);
    if (days != accounts_.end() && days->second.contains(day)) entry->second = days->second.at(day).data;
    if (const catalog::PoolDef* def = pool(draft.pool); def != nullptr) entry->second.payer = def->payer;
  }
  return entry->second;
}

// From where the record ends to `to_ms`, whatever this leader has seen of it: no moment twice, none left out.
void WarmPoolController::charge(Draft& draft, Member& member, std::uint64_t to_ms) const {
  if (to_ms <= member.until_ms) return;
  if (const std::uint64_t price = price_of(member.type, member.spot); price > 0) member.micros_hour = price;
  std::uint64_t at = member.until_ms;
  const auto bill = [&](std::uint64_t to, MachineUse use, const std::string& team) {
    accounts::split_by_hour(at, to, [&](std::uint64_t hour, std::uint64_t span_ms) {
      Account& account = account_in(draft, hour / 24);
      account.add(use == MachineUse::idle ? account.payer : team, use, span_ms, member.micros_hour);
      PoolState& state = state_in(draft);
      if (hour > state.hour) {
        state.hour = hour;
        state.spent = {};
      }
      if (hour == state.hour) state.spent.add(span_ms, member.micros_hour);
    });
    at = to;
  };
  if (const auto spans = spans_.find(member.id); spans != spans_.end()) {
    for (const Span& span : spans->second) {
      const std::uint64_t from = std::max(span.from_ms, at);
      const std::uint64_t to = std::min(span.to_ms, to_ms);
      if (from >= to) continue;
      if (at < from) bill(from, member.use, member.team);
      bill(to, span.use, span.team);
    }
  }
  if (at < to_ms) bill(to_ms, member.use, member.team);
  member.until_ms = to_ms;
}

void WarmPoolController::join(Draft& draft, const std::vector<Member>& members) const {
  std::uint64_t number = 0;
  for (const Member& member : members) {
    while (held_in(draft, number).members.size() >= constants::kPoolMembersPerRecord) ++number;
    held_in(draft, number).members.push_back(member);
  }
}

void WarmPoolController::refuse(Draft& draft, const std::string& kind, std::uint64_t wall_ms) const {
  std::map<std::string, Refusal>& refusals = state_in(draft).refusals;
  Refusal& refusal = refusals[kind];
  refusal.pause_ms =
      std::clamp(refusal.pause_ms * 2, ms(constants::kPoolRefusalBackoff), ms(constants::kMaxPoolRefusalBackoff));
  refusal.until_ms = wall_ms + refusal.pause_ms;
  while (refusals.size() > constants::kMaxPoolRefusals) {
    refusals.erase(std::ranges::min_element(
        refusals, {}, [](const auto& entry) { return std::pair(entry.second.until_ms, entry.first); }));
  }
}

void WarmPoolController::refresh(const catalog::PoolDef& pool, Member& member) const {
  const MachineObservation* const observation = sight_of(member.id);
  if (observation == nullptr) return;
  member.use = observation->use;
  member.team = observation->team;
  member.warm = has_all_images(pool, *observation);
}

Txn WarmPoolController::finish(Draft draft) const {
  Txn txn = std::move(draft.txn);
  const auto put = [&txn](const std::string& key, Revision revision, std::optional<Value> data) {
    txn.preconditions.push_back({.key = key, .revision = revision});
    // What is not there need not be removed.
    if (data || revision != Revision{}) txn.changes.push_back({.key = key, .data = std::move(data), .lease = {}});
  };
  for (auto& [number, held] : draft.held) {
    const auto chunks = held_.find(draft.pool);
    const bool known = chunks != held_.end() && chunks->second.contains(number);
    if (known && chunks->second.at(number).data.members == held.members) {
      txn.preconditions.push_back(
          {.key = held_key(draft.pool, number), .revision = chunks->second.at(number).revision});
      continue;
    }
    put(held_key(draft.pool, number), known ? chunks->second.at(number).revision : Revision{},
        held.members.empty() ? std::nullopt : std::optional(to_value(held)));
  }
  for (const auto& [day, account] : draft.accounts) {
    const auto days = accounts_.find(draft.pool);
    const bool known = days != accounts_.end() && days->second.contains(day);
    put(accounts::account_key(draft.pool, day), known ? days->second.at(day).revision : Revision{},
        accounts::to_value(account));
  }
  if (draft.state && (*draft.state != state_of(draft.pool) || !states_.contains(draft.pool))) {
    const auto known = states_.find(draft.pool);
    put(state_key(draft.pool), known == states_.end() ? Revision{} : known->second.revision, to_value(*draft.state));
  }
  return txn;
}

}  // namespace foxshunt::pools
