#include "pools/desk.h"

#include <algorithm>
#include <utility>

#include "config/constants.h"

namespace foxshunt::pools {

using accounts::MachineUse;

void PoolAdmission::take(PoolDirectives directives) {
  directives_ = std::move(directives);
  by_image_.clear();
  for (std::size_t pool = 0; pool < directives_.pools.size(); ++pool) {
    for (const catalog::PoolImage& image : directives_.pools[pool].pool.images) by_image_[image.image].push_back(pool);
  }
  std::erase_if(answers_, [this](const RentAnswer& answer) {
    return std::ranges::none_of(directives_.asks, [&answer](const wire::ScaleOutRequest& ask) {
      return ask.request == answer.request.request;
    });
  });
  if (on()) return;
  caches_.clear();
  placed_.clear();
  starts_.clear();
}

std::map<std::string, accounts::StartCounts> PoolAdmission::take_starts() { return std::exchange(starts_, {}); }

const std::vector<std::size_t>* PoolAdmission::pools_of(const std::string& image) const {
  const auto found = by_image_.find(image);
  return found == by_image_.end() ? nullptr : &found->second;
}

bool PoolAdmission::uses(std::size_t pool, const wire::JobSpec& spec) const {
  const std::vector<std::size_t>* const wanted = pools_of(spec.image);
  if (wanted == nullptr || std::ranges::find(*wanted, pool) == wanted->end()) return false;
  const std::vector<catalog::JobMatch>& users = directives_.pools[pool].pool.users;
  return users.empty() ||
         std::ranges::any_of(users, [&spec](const catalog::JobMatch& match) { return match.matches(spec); });
}

void PoolAdmission::look(MachineObservation& observation, const wire::JobSpec& spec) const {
  if (const std::vector<std::size_t>* const wanted = pools_of(spec.image); wanted != nullptr) {
    for (const std::size_t pool : *wanted) {
      const bool known = std::ranges::find(observation.users_of, pool) != observation.users_of.end();
      const std::optional<catalog::JobMatch>& warming = directives_.pools[pool].pool.warming;
      if (!known && uses(pool, spec) && !(warming && warming->matches(spec))) observation.users_of.push_back(pool);
    }
  }
  const auto member = directives_.members.find(observation.id);
  if (member == directives_.members.end()) return;
  const std::optional<catalog::JobMatch>& warming = directives_.pools[member->second].pool.warming;
  const bool of_pool = pools_of(spec.image) != nullptr && uses(member->second, spec);
  MachineUse use = of_pool ? MachineUse::own : MachineUse::borrowed;
  if (warming && pools_of(spec.image) != nullptr && warming->matches(spec)) use = MachineUse::warming;
  // Each moment counts once: the pool's users first, then by the team's name.
  if (use > observation.use || (use == observation.use && (observation.team.empty() || spec.team < observation.team))) {
    observation.use = use;
    observation.team = spec.team;
  }
}

bool PoolAdmission::of_interest(const Cache& cache) const {
  return std::ranges::any_of(cache.images(), [this](const CachedImage& one) { return pools_of(one.image) != nullptr; });
}

void PoolAdmission::become_leader(Instant now) {
  led_since_ = now;
  caches_.clear();
  answers_.clear();
  placed_.clear();
  starts_.clear();
}

bool PoolAdmission::settled(Instant now) const { return now - led_since_ > constants::kPoolMachineLostTimeout; }

std::optional<std::set<std::string>> PoolAdmission::first_seen(const MachineId& machine, double cache_gb,
                                                               const std::set<std::string>& images) {
  if (!on()) return std::nullopt;
  const auto [entry, fresh] = caches_.try_emplace(machine);
  Cache& cache = entry->second;
  if (cache.room_mb() == 0) cache.set_room(mb_of(cache_gb));
  if (!fresh) return std::nullopt;
  if (const auto told = directives_.holds.find(machine); told != directives_.holds.end()) cache.set(told->second);
  std::set<std::string> all;
  for (const CachedImage& one : cache.images()) all.insert(one.image);
  for (const std::string& image : images) {
    if (all.contains(image)) continue;
    std::vector<CachedImage> more = cache.images();
    more.insert(more.begin(), {.image = image, .mb = 0});
    cache.set(std::move(more));
    all.insert(image);
  }
  return all;
}

const Cache* PoolAdmission::cache(const MachineId& machine) const {
  const auto found = caches_.find(machine);
  return found == caches_.end() ? nullptr : &found->second;
}

std::vector<std::string> PoolAdmission::used(const MachineId& machine, const wire::JobSpec& spec) {
  if (!on()) return {};
  return caches_[machine].use(spec.image, mb_of(spec.image_gb));
}

void PoolAdmission::was_missing(const MachineId& machine, const std::string& image) {
  if (const auto found = caches_.find(machine); found != caches_.end()) found->second.drop(image);
}

bool PoolAdmission::allows(const wire::JobSpec& spec, Millis estimate, Millis stuck, const MachineId& machine) const {
  const auto member = directives_.members.find(machine);
  if (member == directives_.members.end() || uses(member->second, spec)) return true;
  // Nobody waits without end for a pool's sake: the only machines that fit may all be held.
  if (stuck >= constants::kPoolYields) return true;
  const catalog::PoolDef& pool = directives_.pools[member->second].pool;
  if (pool.warming && pool.warming->matches(spec)) return true;
  if (!pool.lends) return false;
  if (pool.gives_way_s > 0 && std::chrono::duration<double>(estimate).count() > pool.gives_way_s) return false;
  const Cache* const there = cache(machine);
  if (there == nullptr || there->holds(spec.image)) return true;
  std::vector<std::string> wanted;
  for (const catalog::PoolImage& image : pool.images) wanted.push_back(image.image);
  return !there->would_lose(spec.image, mb_of(spec.image_gb), wanted);
}

std::optional<std::size_t> PoolAdmission::warms(const wire::JobSpec& spec, Millis waited) const {
  // Only an array's tasks start one by one.
  if (!on() || spec.kind != wire::JobKind::array || waited >= constants::kMaxWarming) return std::nullopt;
  const std::vector<std::size_t>* const wanted = pools_of(spec.image);
  if (wanted == nullptr) return std::nullopt;
  for (const std::size_t pool : *wanted) {
    const PoolOrder& order = directives_.pools[pool];
    if (!order.pool.warming || !order.pool.warming->matches(spec)) continue;
    const bool useful = order.filling || std::ranges::any_of(directives_.members, [&](const auto& member) {
                          return member.second == pool && lacks(pool, member.first, spec.image);
                        });
    if (useful) return pool;
  }
  return std::nullopt;
}

bool PoolAdmission::lacks(std::size_t pool, const MachineId& machine, const std::string& image) const {
  const auto member = directives_.members.find(machine);
  if (member == directives_.members.end() || member->second != pool) return false;
  const Cache* const there = cache(machine);
  return there == nullptr || !there->holds(image);
}

bool PoolAdmission::wants(const MachineId& machine, const std::string& image) const {
  const auto member = directives_.members.find(machine);
  if (member == directives_.members.end()) return false;
  const std::vector<std::size_t>* const pools = pools_of(image);
  return pools != nullptr && std::ranges::find(*pools, member->second) != pools->end();
}

std::optional<wire::ScaleOutRequest> PoolAdmission::next_request() const {
  const auto open = std::ranges::find_if(directives_.asks, [this](const wire::ScaleOutRequest& ask) {
    return std::ranges::none_of(answers_,
                                [&ask](const RentAnswer& answer) { return answer.request.request == ask.request; });
  });
  return open == directives_.asks.end() ? std::nullopt : std::optional(*open);
}

bool PoolAdmission::asks(const wire::ScaleOutRequest& request) const {
  return std::ranges::any_of(directives_.asks,
                             [&request](const wire::ScaleOutRequest& ask) { return ask.request == request.request; });
}

void PoolAdmission::answered(const wire::ScaleOutRequest& request, const std::vector<MachineId>& machines) {
  if (asks(request)) answers_.push_back({.request = request, .machines = machines});
}

void PoolAdmission::placed(const TaskKey& task, const wire::JobSpec& spec, bool found) {
  if (pools_of(spec.image) != nullptr) placed_.insert_or_assign(task, found);
}

void PoolAdmission::began(const TaskKey& task, const wire::JobSpec& spec, Millis wait) {
  const auto known = placed_.find(task);
  if (known == placed_.end()) return;
  const bool found = known->second;
  placed_.erase(known);
  const std::vector<std::size_t>* const pools = pools_of(spec.image);
  if (pools == nullptr) return;
  for (const std::size_t pool : *pools) {
    const catalog::PoolDef& def = directives_.pools[pool].pool;
    if (!uses(pool, spec) || (def.warming && def.warming->matches(spec))) continue;
    accounts::StartCounts& starts = starts_[def.name];
    const auto wait_ms = static_cast<std::uint64_t>(std::max<Millis::rep>(0, wait.count()));
    ++(found ? starts.warm : starts.cold);
    (found ? starts.warm_wait_ms : starts.cold_wait_ms) += wait_ms;
    return;
  }
}

}  // namespace foxshunt::pools
