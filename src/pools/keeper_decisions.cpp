// WarmPoolController: the changes of a pool's records, one kind a function, each empty if nothing is to be written.
#include <algorithm>
#include <tuple>
#include <utility>

#include "config/constants.h"
#include "pools/keeper.h"

namespace foxshunt::pools {

using accounts::kMillisPerDay;
using accounts::kMillisPerHour;
using accounts::MachineUse;
using kv::Txn;
using wire::Value;

namespace {

// What `pool/next` holds after a rental or a taking.
Value number_after(std::uint64_t number) { return Value::Map{{"v", kForm}, {"next", number + 1}}; }

}  // namespace

std::optional<Txn> WarmPoolController::take_answer(std::uint64_t wall_ms) const {
  for (const RentAnswer& answer : observation_.answers) {
    const auto known = rents_.find(answer.request.request);
    if (known == rents_.end()) continue;
    const Rent& rent = known->second.data;
    if (!may_write(rent.pool)) continue;
    Draft draft{.pool = rent.pool};
    const std::string key = kRentPrefix + rent.request.request;
    draft.txn.preconditions.push_back({.key = key, .revision = known->second.revision});
    draft.txn.changes.push_back({.key = key, .data = {}, .lease = {}});
    // Of a pool that is no more nobody pays: its machines are as all others.
    if (pool(rent.pool) == nullptr) return finish(std::move(draft));
    std::vector<Member> members;
    for (const MachineId& id : answer.machines) {
      members.push_back({.id = id,
                         .type = rent.request.type,
                         .zone = rent.request.zone,
                         .spot = rent.request.spot,
                         .from_ms = rent.asked_ms,
                         .until_ms = rent.asked_ms,
                         .micros_hour = price_of(rent.request.type, rent.request.spot)});
    }
    if (!members.empty()) join(draft, members);
    const std::string kind = kind_text(rent.request.type, rent.request.zone, rent.request.spot);
    // A rental that is filled ends no pause: a kind whose machines fail each time would be rented on and on.
    if (answer.machines.size() < rent.request.count) refuse(draft, kind, wall_ms);
    return finish(std::move(draft));
  }
  return std::nullopt;
}

// What is gone leaves the pool; then what is more than wanted, cold and idle machines first.
std::optional<Txn> WarmPoolController::let_go(const std::string& name, std::uint64_t wall_ms) const {
  const catalog::PoolDef* const def = pool(name);
  const Wish wished = def == nullptr ? Wish{} : wish(*def, wall_ms);
  std::uint32_t left = members_of(name);
  struct Choice {
    std::tuple<bool, bool, std::uint64_t, MachineId> rank;
    std::uint64_t chunk;
  };
  std::vector<Choice> more;
  std::map<std::uint64_t, std::set<MachineId>> leave;
  std::vector<std::string> lost;
  for (const auto& [number, chunk] : held_.at(name)) {
    for (const Member& member : chunk.data.members) {
      const MachineObservation* const observation = sight_of(member.id);
      const bool gone = observation_.gone.contains(member.id) || (observation == nullptr && observation_.settled) ||
                        (observation != nullptr && observation->leaving);
      if (gone) {
        leave[number].insert(member.id);
        --left;
        if (wall_ms < member.from_ms + ms(constants::kPoolEarlyLoss)) {
          lost.push_back(kind_text(member.type, member.zone, member.spot));
        }
        continue;
      }
      const MachineUse use = observation == nullptr ? member.use : observation->use;
      const bool idle = use == MachineUse::idle;
      if (!idle && wished.in_use_only) continue;
      const bool is_warm = observation == nullptr || def == nullptr ? member.warm : has_all_images(*def, *observation);
      more.push_back({.rank = {!idle, is_warm, UINT64_MAX - member.micros_hour, member.id}, .chunk = number});
    }
  }
  if (leave.empty() && left > wished.wanted) {
    std::ranges::sort(more, {}, &Choice::rank);
    for (const Choice& choice : more) {
      if (left <= wished.wanted) break;
      leave[choice.chunk].insert(std::get<MachineId>(choice.rank));
      --left;
    }
  }
  if (leave.empty()) return std::nullopt;
  // One record at a time.
  const auto& [number, machines] = *leave.begin();
  Draft draft{.pool = name};
  std::vector<Member>& members = held_in(draft, number).members;
  for (Member& member : members) {
    if (machines.contains(member.id)) charge(draft, member, wall_ms);
  }
  std::erase_if(members, [&machines = machines](const Member& member) { return machines.contains(member.id); });
  std::ranges::sort(lost);
  lost.erase(std::unique(lost.begin(), lost.end()), lost.end());
  if (def != nullptr) {
    for (const std::string& kind : lost) refuse(draft, kind, wall_ms);
  }
  return finish(std::move(draft));
}

// Machines that are there and have nothing to do: those with the images first.
std::optional<Txn> WarmPoolController::adopt(const catalog::PoolDef& pool, std::uint64_t wall_ms) const {
  const Wish wished = wish(pool, wall_ms);
  std::uint32_t there = members_of(pool.name) + outstanding(pool.name, "");
  if (there >= wished.wanted || foreign_.contains(kNextKey)) return std::nullopt;
  std::set<MachineId> taken;
  std::map<std::string, std::uint32_t> in_zone;
  for (const auto& [name, chunks] : held_) {
    for (const auto& [unused, chunk] : chunks) {
      for (const Member& member : chunk.data.members) {
        taken.insert(member.id);
        if (name == pool.name) ++in_zone[member.zone];
      }
    }
  }
  // It may be one of a rental whose answer is in no record yet, which would make it a member a second time.
  const auto perhaps_rented = [this](const MachineObservation& observation) {
    return std::ranges::any_of(rents_, [&observation](const auto& entry) {
      const wire::ScaleOutRequest& request = entry.second.data.request;
      return std::tie(request.type, request.zone, request.spot) ==
             std::tie(observation.type, observation.zone, observation.spot);
    });
  };
  std::vector<std::pair<bool, const MachineObservation*>> fit;
  for (const MachineObservation& observation : observation_.machines) {
    if (!observation.spare || observation.leaving || taken.contains(observation.id) || perhaps_rented(observation))
      continue;
    if (takes(pool, observation.type, observation.zone, observation.spot))
      fit.emplace_back(!has_all_images(pool, observation), &observation);
  }
  std::vector<Member> members;
  while (there < wished.wanted && !fit.empty() && members.size() < constants::kPoolMembersPerRecord) {
    const auto best = std::ranges::min_element(fit, {}, [&in_zone](const auto& entry) {
      const MachineObservation& observation = *entry.second;
      return std::tuple(entry.first, in_zone[observation.zone], observation.id);
    });
    const MachineObservation& observation = *best->second;
    members.push_back({.id = observation.id,
                       .type = observation.type,
                       .zone = observation.zone,
                       .spot = observation.spot,
                       .from_ms = wall_ms,
                       .until_ms = wall_ms,
                       .warm = !best->first,
                       .micros_hour = price_of(observation.type, observation.spot)});
    ++in_zone[observation.zone];
    ++there;
    fit.erase(best);
  }
  if (members.empty()) return std::nullopt;
  Draft draft{.pool = pool.name};
  // Each taking of machines, by whatever pool, changes the same record. Otherwise one that the state service carries out
  // late would count when another pool has taken the machine meanwhile: its record alone says nothing of that.
  draft.txn.preconditions.push_back({.key = kNextKey, .revision = next_.revision});
  draft.txn.changes.push_back({.key = kNextKey, .data = number_after(next_.data), .lease = {}});
  join(draft, members);
  return finish(std::move(draft));
}

// The record first, then the cloud. The name is used once: who takes the next number makes it impossible for others.
std::optional<Txn> WarmPoolController::rent(const catalog::PoolDef& pool, std::uint64_t wall_ms) const {
  // What nobody asks for would stay unanswered, and keep the pool from taking machines that are there.
  if (foreign_.contains(kNextKey) || !observation_.can_scale_out) return std::nullopt;
  const auto request = choose(pool, wish(pool, wall_ms).wanted, wall_ms);
  if (!request) return std::nullopt;
  const std::string key = kRentPrefix + request->request;
  Txn txn;
  txn.preconditions = {{.key = kNextKey, .revision = next_.revision}, {.key = key, .revision = Revision{}}};
  txn.changes = {
      {.key = kNextKey, .data = number_after(next_.data), .lease = {}},
      {.key = key, .data = to_value(Rent{.pool = pool.name, .request = *request, .asked_ms = wall_ms}), .lease = {}}};
  return txn;
}

bool WarmPoolController::rested(const std::string& key, record_cache::Moment now,
                                std::chrono::milliseconds span) const {
  const auto written = written_.find(key);
  return written == written_.end() || now.steady - written->second >= span;
}

std::optional<Txn> WarmPoolController::charge_due(const std::string& name, record_cache::Moment now) const {
  const auto wall = static_cast<std::uint64_t>(now.wall_ms);
  const catalog::PoolDef* const def = pool(name);
  for (const auto& [number, chunk] : held_.at(name)) {
    bool due = false;
    bool changed = false;
    std::uint64_t first = wall;
    for (const Member& member : chunk.data.members) {
      due = due || wall >= member.until_ms + ms(constants::kPoolChargeInterval);
      first = std::min(first, member.until_ms);
      Member now_is = member;
      if (def != nullptr) refresh(*def, now_is);
      changed = changed || now_is != member;
    }
    if (!due && !(changed && rested(held_key(name, number), now, constants::kPoolCoalesce))) continue;
    // A transaction holds two days at most; after a long outage it takes several.
    const std::uint64_t to = std::min(wall, (first / kMillisPerDay + 2) * kMillisPerDay);
    Draft draft{.pool = name};
    for (Member& member : held_in(draft, number).members) {
      charge(draft, member, to);
      if (def != nullptr) refresh(*def, member);
    }
    if (const auto starts = starts_.find(name); starts != starts_.end() && starts->second != accounts::StartCounts{}) {
      account_in(draft, wall / kMillisPerDay).starts += starts->second;
    }
    return finish(std::move(draft));
  }
  return std::nullopt;
}

std::optional<Txn> WarmPoolController::tell_state(const catalog::PoolDef& pool, record_cache::Moment now) const {
  if (!rested(state_key(pool.name), now, constants::kPoolCoalesce)) return std::nullopt;
  const auto wall = static_cast<std::uint64_t>(now.wall_ms);
  const Wish wished = wish(pool, wall);
  Draft draft{.pool = pool.name};
  PoolState& state = state_in(draft);
  state.wanted = wished.wanted;
  state.why = wished.why;
  const std::uint32_t held = members_of(pool.name);
  const bool short_of = held + outstanding(pool.name, "") < wished.wanted;
  if (state.why.empty() && (short_of || (held < wished.wanted && !state.refusals.empty()))) {
    state.why = observation_.can_scale_out
                    ? "the cloud has no more, or they were lost early; it is asked again after a pause"
                    : "nothing may be rented, by the settings, and no more machines are idle";
  }
  std::erase_if(state.refusals, [wall](const auto& entry) {
    return wall >= entry.second.until_ms + ms(constants::kMaxPoolRefusalBackoff);
  });
  if (pool.peak_days > 0) {
    if (const auto seen = peaks_.find(pool.name); seen != peaks_.end()) {
      for (const auto& [hour, most] : seen->second) state.peaks[hour] = std::max(state.peaks[hour], most);
    }
  } else {
    state.peaks.clear();
  }
  std::erase_if(state.peaks, [hour = wall / kMillisPerHour](const auto& entry) {
    return entry.first + constants::kMaxPoolPeakDays * 24 < hour;
  });
  if (state == state_of(pool.name) && states_.contains(pool.name)) return std::nullopt;
  return finish(std::move(draft));
}

// What machines hold. Those that were not seen for a while may be back with their zone.
std::optional<Txn> WarmPoolController::tell_holds(record_cache::Moment now) {
  std::map<std::string, Holds> told;
  std::set<std::string> images;
  for (const catalog::PoolDef& def : defs_) {
    for (const catalog::PoolImage& image : def.images) images.insert(image.image);
  }
  std::set<MachineId> members;
  for (const auto& [unused, chunks] : held_) {
    for (const auto& [number, chunk] : chunks) {
      for (const Member& member : chunk.data.members) members.insert(member.id);
    }
  }
  for (const MachineObservation& observation : observation_.machines) {
    if (observation.images.empty() || defs_.empty()) continue;
    std::vector<CachedImage> held;
    for (const CachedImage& image : observation.images) {
      const bool kept = members.contains(observation.id) || images.contains(image.image);
      if (kept && held.size() < constants::kMaxPoolImages) held.push_back(image);
    }
    if (!held.empty()) told[holds_key(observation.id)].machines[observation.id] = std::move(held);
  }
  for (const auto& [key, known] : holds_) {
    for (const auto& [machine, held] : known.data.machines) {
      if (observations_.contains(machine) || observation_.gone.contains(machine) || defs_.empty()) {
        unseen_.erase(machine);
        continue;
      }
      const auto since = unseen_.try_emplace(machine, now.steady).first->second;
      if (now.steady - since < constants::kPoolCacheRecordInterval) told[key].machines[machine] = held;
    }
    told[key];  // nothing is left of it
  }
  std::optional<std::pair<std::chrono::steady_clock::time_point, std::string>> next;
  for (const auto& [key, holds] : told) {
    const auto known = holds_.find(key);
    const bool same = known == holds_.end() ? holds.machines.empty() : known->second.data == holds;
    if (same || foreign_.contains(key) || !rested(key, now, constants::kPoolCoalesce)) continue;
    // Whose turn was longest ago: one that changes often does not keep the others back.
    const auto written = written_.find(key);
    const std::pair turn(written == written_.end() ? std::chrono::steady_clock::time_point{} : written->second, key);
    if (!next || turn < *next) next = turn;
  }
  if (!next) return std::nullopt;
  const std::string& key = next->second;
  Holds& holds = told.at(key);
  // What other machines hold is left out first when a record grows too long.
  while (!holds.machines.empty() && wire::json_length(to_value(holds)) > value_bytes_) {
    const auto other =
        std::ranges::find_if(holds.machines, [&members](const auto& entry) { return !members.contains(entry.first); });
    holds.machines.erase(other == holds.machines.end() ? holds.machines.begin() : other);
  }
  const auto known = holds_.find(key);
  if (known != holds_.end() && known->second.data == holds) return std::nullopt;
  Txn txn;
  txn.preconditions.push_back({.key = key, .revision = known == holds_.end() ? Revision{} : known->second.revision});
  txn.changes.push_back(
      {.key = key, .data = holds.machines.empty() ? std::nullopt : std::optional(to_value(holds)), .lease = {}});
  return txn;
}

// Old accounts, and the state of pools that are no more.
std::optional<Txn> WarmPoolController::clear_away(std::uint64_t wall_ms) const {
  for (const auto& [name, days] : accounts_) {
    const auto& [day, account] = *days.begin();
    if (day + constants::kAccountDays >= wall_ms / kMillisPerDay) continue;
    const std::string key = accounts::account_key(name, day);
    return Txn{.preconditions = {{.key = key, .revision = account.revision}},
               .changes = {{.key = key, .data = {}, .lease = {}}}};
  }
  for (const auto& [name, state] : states_) {
    if (pool(name) != nullptr || held_.contains(name) || outstanding(name, "") > 0 || !may_write(name)) continue;
    return Txn{.preconditions = {{.key = state_key(name), .revision = state.revision}},
               .changes = {{.key = state_key(name), .data = {}, .lease = {}}}};
  }
  return std::nullopt;
}

}  // namespace foxshunt::pools
