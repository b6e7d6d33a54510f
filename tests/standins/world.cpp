#include "standins/world.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "control/times.h"

namespace foxshunt::standins {

using control::from_seconds;

namespace {

constexpr std::size_t kPlacesPerStep = 8;  // so that most passes take several steps
constexpr std::size_t kLargeFleet = 200;   // machines; a larger one takes longer steps, so that its day is bearable
constexpr Millis kLargeFleetStep{250};     // of its workers
constexpr std::int64_t kWallStart = 1'800'000'000'000;

}  // namespace

World::World(config::Settings settings, std::vector<Supply> supplies, std::size_t nodes, unsigned seed)
    : settings_(std::move(settings)),
      supplies_(std::move(supplies)),
      random_(seed),
      users_luck_(seed + 1),
      copies_luck_(seed + 2),
      words_luck_(seed + 3),
      troubles_luck_(seed + 4),
      now_(Millis(1'000'000)),
      balancer_(nodes),
      rules_(settings_),
      served_(settings_.teams) {
  store_.record_to(traffic_);
  if (traffic_ != nullptr) traffic_->set_now(now_);
  rules_.on_types(types());
  nodes_.resize(nodes);
  std::size_t most = 0;
  for (const Supply& supply : supplies_) {
    most += (supply.each_zone + supply.spot_each_zone) * supply.type.zones.size();
  }
  worker_step_ = most > kLargeFleet ? kLargeFleetStep : kStep;
  places_per_step_ = std::max(kPlacesPerStep, most > kLargeFleet ? most : 0);
  for (std::size_t node = 0; node < nodes; ++node) {
    begin_life(node);
    after(Millis(10 * (node + 1)), [this, node] { duties(node, 0); });
  }
  after(Millis(100), [this] { probe_nodes(); });
  after(Millis(500), [this] { poll_users(); });
}

config::Settings World::settings_of(std::size_t node) const {
  const auto zone_of = [this](std::size_t one) {
    return settings_.zones.empty() ? std::string() : settings_.zones[one % settings_.zones.size()];
  };
  config::Settings own = settings_;
  own.name = NodeName("node-" + std::to_string(node));
  own.zone = zone_of(node);
  for (std::size_t other = 0; other < nodes_.size(); ++other) {
    if (other == node) continue;
    own.siblings.push_back(
        {.name = NodeName("node-" + std::to_string(other)), .zone = zone_of(other), .endpoint = "127.0.0.1:1"});
  }
  return own;
}

void World::begin_life(std::size_t node) {
  const config::Settings own = settings_of(node);
  Node& self = nodes_[node];
  self.zone = own.zone;
  self.holder = zone::DelegatedLease(own.name, own.zone, static_cast<std::uint64_t>(wall_ms()),
                                     control::delegation_spans(settings_));
  self.controller = std::make_unique<control::Controller>(own);
  self.controller->on_machine_types(types());
  self.finals = std::make_unique<user_api::FinalStates>();
  self.publisher = std::make_unique<standby::Publisher>(self.life * 100 + node + 1);
  self.subscriber = std::make_unique<standby::Subscriber>(own.name);
  self.asking_standby = false;
  self.hints_wanted_until.reset();
  if (set_.version != catalog::Version{}) self.pools = std::make_unique<PoolSide>(*this);
  if (catalog_) self.controller->on_catalog(*catalog_, wall_ms(), time_of(node));
}

bool World::parted(const std::string& one, const std::string& other) const {
  return one != other && (cut_zones_.contains(one) || cut_zones_.contains(other));
}

bool World::apart(std::size_t one, std::size_t other) const {
  const bool alone = now_ < nodes_[one].alone_until || now_ < nodes_[other].alone_until;
  return (one != other && alone) || parted(nodes_[one].zone, nodes_[other].zone);
}

bool World::hears(std::size_t node, std::size_t sibling) const {
  return !siblings_cut_ && nodes_[node].alive && !apart(node, sibling);
}

double World::control_seconds(Instant when) { return control::to_seconds(when.time_since_epoch()) - 1000; }

std::int64_t World::wall_ms_at(double when_s) {
  return kWallStart + (Instant(Millis(1'000'000)) + from_seconds(when_s)).time_since_epoch().count();
}

void World::let_clocks_drift(double share) {
  drift_ = share;
  for (Node& node : nodes_) node.drift = lucky(0.5) ? share : -share;
  for (auto& [unused, machine] : machines_) machine.drift = lucky(0.5) ? share : -share;
}

Instant World::by_clock(double drift, Instant when) {
  const auto since = static_cast<double>((when - Instant(Millis(1'000'000))).count());
  return when + Millis(std::llround(since * drift));
}

double World::clocks_apart_s() const {
  std::set<Instant> clocks;
  for (std::size_t node = 0; node < nodes_.size(); ++node) clocks.insert(time_of(node));
  for (const auto& [unused, machine] : machines_) clocks.insert(time_of(machine));
  return control::to_seconds(*clocks.rbegin() - *clocks.begin());
}

std::int64_t World::wall_ms() const { return kWallStart + now_.time_since_epoch().count(); }

void World::at(double when_s, std::function<void()> what) {
  agenda_.emplace(Instant(Millis(1'000'000)) + from_seconds(when_s), std::move(what));
}

void World::after(Millis span, std::function<void()> what) { agenda_.emplace(now_ + span, std::move(what)); }

void World::repeat(Millis span, std::function<bool()> what) {
  after(span, [this, what = std::move(what)] {
    if (!what()) repeat(kStep, what);
  });
}

void World::reached(Moment moment, std::size_t node) {
  const auto armed = crashes_during_.find(moment);
  if (armed == crashes_during_.end() || !nodes_[node].alive) return;
  const double for_s = armed->second;
  crashes_during_.erase(armed);
  crash(node, for_s);
}

void World::copy_late(std::function<void()> what) {
  if (!late_copies_ || std::uniform_int_distribution<int>(0, 3)(copies_luck_) != 0) return;
  // From 10 ms to two minutes, short spans as often as long ones.
  after(from_seconds(std::pow(10.0, std::uniform_real_distribution<double>(-2, 2.08)(copies_luck_))), std::move(what));
}

Millis World::delay() { return Millis(std::uniform_int_distribution<int>(1, 12)(random_)); }

void World::run_until(double when_s) {
  const Instant end = Instant(Millis(1'000'000)) + from_seconds(when_s);
  while (!agenda_.empty() && agenda_.begin()->first <= end) {
    const auto next = agenda_.extract(agenda_.begin());
    now_ = std::max(now_, next.key());
    if (traffic_ != nullptr) traffic_->set_now(now_);
    if (!state_out_) store_.expire(now_);
    next.mapped()();
  }
  now_ = end;
  rules_.check(now_);
}

std::vector<wire::MachineType> World::types() const {
  std::vector<wire::MachineType> found;
  for (const Supply& supply : supplies_) found.push_back(supply.type);
  return found;
}

std::optional<std::size_t> World::leader() const {
  std::optional<std::size_t> best;
  for (std::size_t node = 0; node < nodes_.size(); ++node) {
    if (!nodes_[node].alive || !nodes_[node].controller->is_leader()) continue;
    if (!best || nodes_[node].controller->term() > nodes_[*best].controller->term()) best = node;
  }
  return best;
}

std::size_t World::machines_up() const {
  return static_cast<std::size_t>(std::ranges::count_if(machines_, [](const auto& entry) {
    return !entry.second.gone && entry.second.worker && entry.second.worker->alive;
  }));
}

std::vector<MachineId> World::machine_names() const {
  std::vector<MachineId> names;
  for (const auto& [id, machine] : machines_) {
    if (!machine.gone && machine.worker && machine.worker->alive) names.push_back(id);
  }
  return names;
}

std::size_t World::killed_by_lease() const {
  std::size_t killed = 0;
  for (const auto& [unused, machine] : machines_) killed += machine.worker ? machine.worker->killed_by_lease() : 0;
  return killed;
}

std::optional<double> World::first_start_s(const JobId& job) const {
  const auto found = first_start_.find(job);
  return found == first_start_.end() ? std::nullopt : std::optional(control_seconds(found->second));
}

std::vector<MachineId> World::where(const TaskKey& task) const {
  const auto found = where_.find(task);
  if (found == where_.end()) return {};
  return {found->second.begin(), found->second.end()};
}

std::size_t World::starts_of(const TaskKey& task) const {
  const auto found = task_starts_.find(task);
  return found == task_starts_.end() ? 0 : found->second;
}

}  // namespace foxshunt::standins
