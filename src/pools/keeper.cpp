#include "pools/keeper.h"

#define XXH_INLINE_ALL  // header only: no library to be loaded at the start
#include <spdlog/spdlog.h>
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <stdexcept>
#include <tuple>
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

std::uint64_t micros_of(double money) { return money <= 0 ? 0 : static_cast<std::uint64_t>(std::llround(money * 1e6)); }

std::uint64_t ms(std::chrono::milliseconds span) { return static_cast<std::uint64_t>(span.count()); }

bool among(const std::vector<std::string>& names, const std::string& name) {
  return names.empty() || std::ranges::find(names, name) != names.end();
}

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

// What `pool/next` holds after a rental or a taking.
Value number_after(std::uint64_t number) { return Value::Map{{"v", kForm}, {"next", number + 1}}; }

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

// ---- the rule ----

bool WarmPoolController::has_room(const catalog::PoolDef& pool, const std::string& type) const {
  const auto kind = std::ranges::find(observation_.types, type, &wire::MachineType::name);
  std::uint64_t mb = 0;
  for (const catalog::PoolImage& image : pool.images) mb += mb_of(image.gb);
  return kind != observation_.types.end() && mb <= mb_of(kind->cache_gb);
}

bool WarmPoolController::takes(const catalog::PoolDef& pool, const std::string& type, const std::string& zone,
                               bool spot) const {
  return among(pool.types, type) && among(pool.zones, zone) && (!spot || pool.spot) && has_room(pool, type) &&
         !observation_.left_zones.contains(zone);
}

bool WarmPoolController::warm(const catalog::PoolDef& pool, const MachineObservation& observation) const {
  return std::ranges::all_of(pool.images, [&observation](const catalog::PoolImage& image) {
    return std::ranges::find(observation.images, image.image, &CachedImage::image) != observation.images.end();
  });
}

std::uint64_t WarmPoolController::price_of(const std::string& type, bool spot) const {
  const auto kind = std::ranges::find(observation_.types, type, &wire::MachineType::name);
  return kind == observation_.types.end() ? 0 : micros_of(spot ? kind->spot_price : kind->price);
}

WarmPoolController::Wish WarmPoolController::wish(const catalog::PoolDef& pool, std::uint64_t wall_ms) const {
  Wish wish;
  const auto step = static_cast<std::int64_t>(wall_ms) / constants::kPoolStepMs * constants::kPoolStepMs;
  try {
    if (!pool.windows.empty() && !open_now_(pool, step)) return wish;
  } catch (const std::runtime_error& error) {
    wish.why = std::string("its windows can't be reckoned here: ") + error.what();
    return wish;
  }
  const PoolState& state = state_of(pool.name);
  wish.wanted = pool.least;
  const auto hour = static_cast<std::uint64_t>(step) / kMillisPerHour;
  if (pool.peak_days > 0) {
    const auto days =
        std::min<std::uint64_t>(static_cast<std::uint64_t>(std::ceil(pool.peak_days)), constants::kMaxPoolPeakDays);
    for (const auto& [then, most] : state.peaks) {
      if (then % 24 == hour % 24 && then <= hour && hour - then <= days * 24) wish.wanted = std::max(wish.wanted, most);
    }
  }
  wish.wanted = std::min(wish.wanted, pool.most);
  if (!pool.ceiling_hour) return wish;
  const std::uint64_t ceiling = micros_of(*pool.ceiling_hour);
  std::uint64_t least_price = 0;
  for (const wire::MachineType& type : observation_.types) {
    for (const bool spot : {false, true}) {
      if (!among(pool.types, type.name) || (spot && !pool.spot) || !has_room(pool, type.name)) continue;
      const std::uint64_t price = price_of(type.name, spot);
      if (least_price == 0 || price < least_price) least_price = price;
    }
  }
  if (least_price > 0 && ceiling / least_price < wish.wanted) {
    wish.wanted = static_cast<std::uint32_t>(ceiling / least_price);
    wish.in_use_only = true;
    wish.why = "the ceiling pays for no more";
  }
  if (state.hour == wall_ms / kMillisPerHour && state.spent.micros >= ceiling) {
    wish.in_use_only = true;
    wish.why = "the ceiling of this hour is reached";
    wish.wanted = 0;
  }
  return wish;
}

// Where the pool has the fewest machines, then what is cheapest.
std::optional<wire::ScaleOutRequest> WarmPoolController::choose(const catalog::PoolDef& pool, std::uint32_t wanted,
                                                                std::uint64_t wall_ms) const {
  std::map<std::string, std::uint32_t> in_zone;
  std::uint32_t there = 0;
  if (const auto found = held_.find(pool.name); found != held_.end()) {
    for (const auto& [unused, chunk] : found->second) {
      for (const Member& member : chunk.data.members) {
        ++in_zone[member.zone];
        ++there;
      }
    }
  }
  const PoolState& state = state_of(pool.name);
  const std::uint32_t asked = outstanding(pool.name, "");
  if (there + asked >= wanted) return std::nullopt;
  using Rank = std::tuple<std::uint32_t, std::uint64_t, std::string, std::string, bool>;
  std::optional<Rank> best;
  std::set<std::string> zones;
  for (const wire::MachineType& type : observation_.types) {
    for (const std::string& zone : type.zones) {
      for (const bool spot : {false, true}) {
        if (!takes(pool, type.name, zone, spot)) continue;
        const auto refused = state.refusals.find(kind_text(type.name, zone, spot));
        if (refused != state.refusals.end() && refused->second.until_ms > wall_ms) continue;
        zones.insert(zone);
        Rank rank{in_zone[zone] + outstanding(pool.name, zone), price_of(type.name, spot), zone, type.name, spot};
        if (!best || rank < *best) best = std::move(rank);
      }
    }
  }
  if (!best) return std::nullopt;
  const auto& [zone_has, unused, zone, type, spot] = *best;
  const auto each = static_cast<std::uint32_t>(wanted / zones.size());  // what is over goes one by one
  const std::uint32_t count = std::min({wanted - there - asked, std::max(1U, each > zone_has ? each - zone_has : 0U),
                                        static_cast<std::uint32_t>(constants::kMaxScaleOutCount)});
  return wire::ScaleOutRequest{
      .request = "warm-" + std::to_string(next_.data), .type = type, .zone = zone, .spot = spot, .count = count};
}

// ---- drafts ----

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
  member.warm = warm(pool, *observation);
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

// ---- decisions ----

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
      const bool is_warm = observation == nullptr || def == nullptr ? member.warm : warm(*def, *observation);
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
      fit.emplace_back(!warm(pool, observation), &observation);
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
