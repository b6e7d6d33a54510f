// WarmPoolController: how many machines a pool wants, and which kind it rents next.
#include <algorithm>
#include <cmath>
#include <stdexcept>
#include <tuple>

#include "config/constants.h"
#include "pools/keeper.h"

namespace foxshunt::pools {

using accounts::kMillisPerHour;

namespace {

std::uint64_t micros_of(double money) { return money <= 0 ? 0 : static_cast<std::uint64_t>(std::llround(money * 1e6)); }

bool among(const std::vector<std::string>& names, const std::string& name) {
  return names.empty() || std::ranges::find(names, name) != names.end();
}

}  // namespace

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

bool WarmPoolController::has_all_images(const catalog::PoolDef& pool, const MachineObservation& observation) {
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

}  // namespace foxshunt::pools
