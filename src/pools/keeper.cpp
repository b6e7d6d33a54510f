#include "pools/keeper.h"

#define XXH_INLINE_ALL  // header only: no library to be loaded at the start
#include <spdlog/spdlog.h>
#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "config/constants.h"

namespace foxshunt::pools {

using accounts::Account;
using accounts::kMillisPerDay;
using accounts::kMillisPerHour;
using accounts::MachineUse;
using kv::Txn;
using wire::Value;

namespace {

const PoolState kNothing;

std::uint64_t number_of(std::string_view text) {
  if (text.empty() || text.size() > 15 || text.find_first_not_of("0123456789") != std::string_view::npos) {
    throw wire::Malformed("key: not a number");
  }
  return std::stoull(std::string(text));
}

// "name/number"
std::pair<std::string, std::uint64_t> name_and_number(std::string_view rest) {
  const std::size_t slash = rest.find('/');
  if (slash == std::string_view::npos) throw wire::Malformed("key: no number");
  return {accounts::unescape_key_part(rest.substr(0, slash)), number_of(rest.substr(slash + 1))};
}

}  // namespace

WarmPoolController::WarmPoolController(OpenNow open_now, std::size_t value_bytes)
    : open_now_(std::move(open_now)), value_bytes_(value_bytes) {}

void WarmPoolController::declare(const catalog::Set& set) {
  if (defs_.empty() && set.pools.empty()) return;
  ++changes_;
  defs_.clear();
  for (const catalog::PoolDef& def : set.pools) {
    // Its keys would be too long for the state service.
    if (accounts::escape_key_part(def.name).size() <= constants::kMaxPoolKey) defs_.push_back(def);
  }
  std::ranges::sort(defs_, {}, &catalog::PoolDef::name);
}

bool WarmPoolController::active() const {
  return !defs_.empty() || !held_.empty() || !rents_.empty() || !states_.empty() || !accounts_.empty() ||
         !holds_.empty();
}

// ---- records ----

void WarmPoolController::on_change(const std::string& key, const Value* data, Revision revision) {
  heard_ = std::max(heard_, revision);
  if (!key.starts_with(kPoolPrefix) && !key.starts_with(accounts::kAccountPrefix)) return;
  if (!key.starts_with(accounts::kAccountPrefix)) ++changes_;
  foreign_.erase(key);
  try {
    if (data != nullptr && data->count("v") > kForm) {
      spdlog::warn("pools: key={} form={} is newer than this program knows; it is left as it is", key,
                   data->count("v"));
      read(key, nullptr, revision);
      foreign_.insert(key);
      return;
    }
    read(key, data, revision);
  } catch (const wire::Malformed& error) {
    foreign_.insert(key);
    spdlog::error("pools: key={} cannot be read: {}", key, error.what());
  }
}

void WarmPoolController::read(const std::string& key, const Value* data, Revision revision) {
  const std::string_view whole(key);
  if (key == kNextKey) {
    next_ = data == nullptr ? Kept<std::uint64_t>{} : Kept<std::uint64_t>{data->count("next"), revision};
  } else if (key.starts_with(kRentPrefix)) {
    const std::string name = key.substr(std::string_view(kRentPrefix).size());
    rents_.erase(name);
    if (data != nullptr) rents_[name] = {rent_from(*data), revision};
  } else if (key.starts_with(kHeldPrefix)) {
    const auto [pool, number] = name_and_number(whole.substr(std::string_view(kHeldPrefix).size()));
    if (data != nullptr) {
      held_[pool][number] = {held_from(*data), revision};
      return;
    }
    held_[pool].erase(number);
    if (held_[pool].empty()) held_.erase(pool);
  } else if (key.starts_with(kStatePrefix)) {
    const std::string pool = accounts::unescape_key_part(whole.substr(std::string_view(kStatePrefix).size()));
    const std::string before = state_of(pool).why;
    if (data == nullptr) {
      states_.erase(pool);
      return;
    }
    states_[pool] = {state_from(*data), revision};
    const PoolState& state = states_[pool].data;
    if (state.why != before) {
      spdlog::warn("pools: pool={} wanted={} {}", pool, state.wanted, state.why.empty() ? "is not short" : state.why);
    }
  } else if (key.starts_with(kHoldsPrefix)) {
    if (data == nullptr) {
      holds_.erase(key);
    } else {
      holds_[key] = {holds_from(*data), revision};
    }
  } else if (key.starts_with(accounts::kAccountPrefix)) {
    const auto [pool, day] = name_and_number(whole.substr(std::string_view(accounts::kAccountPrefix).size()));
    if (data != nullptr) {
      accounts_[pool][day] = {accounts::parse_account(*data), revision};
      return;
    }
    accounts_[pool].erase(day);
    if (accounts_[pool].empty()) accounts_.erase(pool);
  }
}

const catalog::PoolDef* WarmPoolController::pool(const std::string& name) const {
  const auto found = std::ranges::find(defs_, name, &catalog::PoolDef::name);
  return found == defs_.end() ? nullptr : &*found;
}

bool WarmPoolController::may_write(const std::string& pool) const {
  const std::string name = accounts::escape_key_part(pool) + "/";
  return std::ranges::none_of(foreign_, [&](const std::string& key) {
    return key == state_key(pool) || key.starts_with(kHeldPrefix + name) ||
           key.starts_with(accounts::kAccountPrefix + name);
  });
}

const MachineObservation* WarmPoolController::sight_of(const MachineId& machine) const {
  const auto found = observations_.find(machine);
  return found == observations_.end() ? nullptr : found->second;
}

std::uint32_t WarmPoolController::members_of(const std::string& pool) const {
  std::size_t count = 0;
  if (const auto found = held_.find(pool); found != held_.end()) {
    for (const auto& [unused, chunk] : found->second) count += chunk.data.members.size();
  }
  return static_cast<std::uint32_t>(count);
}

const PoolState& WarmPoolController::state_of(const std::string& pool) const {
  const auto found = states_.find(pool);
  return found == states_.end() ? kNothing : found->second.data;
}

std::uint32_t WarmPoolController::outstanding(const std::string& pool, const std::string& zone) const {
  std::uint64_t count = 0;
  for (const auto& [unused, rent] : rents_) {
    if (rent.data.pool == pool && (zone.empty() || rent.data.request.zone == zone)) count += rent.data.request.count;
  }
  return static_cast<std::uint32_t>(count);
}

// ---- what the controller is told, and tells ----

PoolDirectives WarmPoolController::directives() const {
  PoolDirectives directives;
  for (std::size_t at = 0; at < defs_.size(); ++at) {
    const catalog::PoolDef& def = defs_[at];
    const std::uint32_t held = members_of(def.name);
    directives.pools.push_back({.pool = def, .filling = held < state_of(def.name).wanted});
    if (const auto found = held_.find(def.name); found != held_.end()) {
      for (const auto& [unused, chunk] : found->second) {
        for (const Member& member : chunk.data.members) directives.members.emplace(member.id, at);
      }
    }
  }
  for (const auto& [unused, holds] : holds_) {
    for (const auto& [machine, images] : holds.data.machines) directives.holds.emplace(machine, images);
  }
  for (const auto& [unused, rent] : rents_) directives.asks.push_back(rent.data.request);
  return directives;
}

void WarmPoolController::observe(FleetObservation observation, record_cache::Moment now) {
  // It did not lead for a while, or was frozen.
  const bool resumed = !seen_ || now.steady - seen_->steady > constants::kPoolObservationTtl;
  if (resumed) unseen_.clear();
  observation_ = std::move(observation);
  seen_ = now;
  observations_.clear();
  for (const MachineObservation& observation : observation_.machines)
    observations_.emplace(observation.id, &observation);
  for (auto& [pool, starts] : observation_.starts) starts_[pool] += starts;
  const auto wall = static_cast<std::uint64_t>(now.wall_ms);
  std::set<MachineId> members;
  for (const auto& [unused, chunks] : held_) {
    for (const auto& [number, chunk] : chunks) {
      for (const Member& member : chunk.data.members) {
        members.insert(member.id);
        std::vector<Span>& spans = spans_[member.id];
        std::erase_if(spans, [&member](const Span& span) { return span.to_ms <= member.until_ms; });
        const MachineObservation* const observation = sight_of(member.id);
        const MachineUse use = observation == nullptr ? member.use : observation->use;
        const std::string& team = observation == nullptr ? member.team : observation->team;
        const std::uint64_t from = spans.empty() ? member.until_ms : spans.back().to_ms;
        if (wall <= from) continue;
        if (resumed) {
          // Nobody saw what it was used for up to now: that is charged as it was last recorded.
          spans.push_back({.from_ms = wall, .to_ms = wall, .use = use, .team = team});
          continue;
        }
        if (!spans.empty() && spans.back().use == use && spans.back().team == team) {
          spans.back().to_ms = wall;
        } else {
          spans.push_back({.from_ms = from, .to_ms = wall, .use = use, .team = team});
        }
      }
    }
  }
  std::erase_if(spans_, [&members](const auto& entry) { return !members.contains(entry.first); });
  std::map<std::size_t, std::uint32_t> busy;
  for (const MachineObservation& observation : observation_.machines) {
    for (const std::size_t pool : observation.users_of) ++busy[pool];
  }
  for (const auto& [at, count] : busy) {
    if (at >= defs_.size() || defs_[at].peak_days <= 0) continue;
    std::map<std::uint64_t, std::uint32_t>& peaks = peaks_[defs_[at].name];
    peaks.erase(peaks.begin(), peaks.lower_bound(wall / kMillisPerHour - 1));
    std::uint32_t& peak = peaks[wall / kMillisPerHour];
    peak = std::max(peak, count);
  }
}

// ---- decisions ----

std::optional<Txn> WarmPoolController::decide(record_cache::Moment now) {
  const auto wall = static_cast<std::uint64_t>(now.wall_ms);
  if (auto txn = take_answer(wall)) return txn;
  // What is behind by days is charged before its machine leaves.
  for (const auto& [name, chunks] : held_) {
    const bool behind = std::ranges::any_of(chunks, [wall](const auto& chunk) {
      return std::ranges::any_of(chunk.second.data.members, [wall](const Member& member) {
        return wall / kMillisPerDay >= member.until_ms / kMillisPerDay + 2;
      });
    });
    if (!may_write(name)) continue;
    if (auto txn = behind ? charge_due(name, now) : let_go(name, wall)) return txn;
  }
  if (now.steady - last_write_ < constants::kPoolWriteInterval) return std::nullopt;
  for (const catalog::PoolDef& def : defs_) {
    if (!may_write(def.name)) continue;
    if (auto txn = adopt(def, wall)) return txn;
    if (auto txn = rent(def, wall)) return txn;
  }
  for (const catalog::PoolDef& def : defs_) {
    if (!may_write(def.name)) continue;
    if (auto txn = tell_state(def, now)) return txn;
  }
  for (const auto& [name, unused] : held_) {
    if (!may_write(name)) continue;
    if (auto txn = charge_due(name, now)) {
      if (const auto starts = starts_.find(name); starts != starts_.end()) {
        starts_sent_.insert(starts_.extract(starts));
      }
      return txn;
    }
  }
  if (auto txn = tell_holds(now)) return txn;
  return clear_away(wall);
}

std::optional<Txn> WarmPoolController::next_write(const record_cache::Jobs&, record_cache::Moment now,
                                                  std::size_t changes_most) {
  if (!active() || !seen_ || now.steady - seen_->steady > constants::kPoolObservationTtl || heard_ < awaited_) {
    return std::nullopt;
  }
  auto txn = decide(now);
  if (!txn || txn->changes.empty()) return std::nullopt;
  if (txn->changes.size() > changes_most) {
    spdlog::error("pools: {} changes do not fit one transaction of {}", txn->changes.size(), changes_most);
    return std::nullopt;
  }
  began_ = now.steady;
  return txn;
}

void WarmPoolController::on_written(const Txn& txn, const kv::TxnResult& result) {
  last_write_ = began_;
  const auto sent = std::exchange(starts_sent_, {});
  if (result.status == kv::Status::ok) {
    awaited_ = result.revision;
    for (const kv::Change& change : txn.changes) written_[change.key] = began_;
  } else if (result.status != kv::Status::unknown) {
    // Without an answer it may be written: rather not counted than twice.
    for (const auto& [pool, starts] : sent) starts_[pool] += starts;
  }
}

// ---- questions ----

std::vector<PoolView> WarmPoolController::pools() const {
  std::vector<PoolView> views;
  std::set<std::string> names;
  for (const catalog::PoolDef& def : defs_) names.insert(def.name);
  for (const auto& [name, unused] : held_) names.insert(name);
  for (const std::string& name : names) {
    const PoolState& state = state_of(name);
    const catalog::PoolDef* const def = pool(name);
    PoolView view{.name = name,
                  .payer = def == nullptr ? std::string() : def->payer,
                  .wanted = def == nullptr ? 0 : state.wanted,
                  .held = members_of(name),
                  .asked = outstanding(name, ""),
                  .why = def == nullptr ? "it is declared no more" : state.why,
                  .hour_micros = state.spent.micros};
    if (!may_write(name)) view.why = "its records are of a newer form";
    if (const auto chunks = held_.find(name); chunks != held_.end()) {
      for (const auto& [unused, chunk] : chunks->second) {
        for (const Member& member : chunk.data.members) {
          if (member.warm) ++view.warm;
          if (member.use == MachineUse::own) ++view.in_use;
          if (member.use == MachineUse::warming) ++view.warming;
          if (member.use == MachineUse::borrowed) ++view.lent;
        }
      }
    }
    if (const auto days = accounts_.find(name); days != accounts_.end()) {
      const Account& account = days->second.rbegin()->second.data;
      view.day_micros = account.total().micros;
      view.starts = account.starts;
    }
    views.push_back(std::move(view));
  }
  return views;
}

std::vector<AccountView> WarmPoolController::accounts() const {
  std::vector<AccountView> views;
  for (const auto& [name, days] : accounts_) {
    for (const auto& [day, account] : days) views.push_back({.pool = name, .day = day, .account = account.data});
  }
  return views;
}

std::uint64_t WarmPoolController::digest() const {
  std::string text;
  for (const catalog::PoolDef& def : defs_) text += wire::encode(Value(def.name));
  for (const auto& [name, chunks] : held_) {
    for (const auto& [number, chunk] : chunks) text += name + wire::encode(to_value(chunk.data));
  }
  for (const auto& [name, rent] : rents_) text += wire::encode(to_value(rent.data));
  for (const auto& [name, state] : states_) text += name + wire::encode(to_value(state.data));
  for (const auto& [key, holds] : holds_) text += key + wire::encode(to_value(holds.data));
  for (const AccountView& view : accounts()) {
    text += view.pool + std::to_string(view.day) + wire::encode(accounts::to_value(view.account));
  }
  return XXH3_64bits(text.data(), text.size());
}

}  // namespace foxshunt::pools
