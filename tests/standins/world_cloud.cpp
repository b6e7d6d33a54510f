// The cloud of the emulated world, and direct commands to its machines.
#include "standins/world.h"

#include <algorithm>
#include <utility>

#include "config/constants.h"
#include "control/times.h"

namespace foxshunt::standins {

using control::from_seconds;

namespace {

constexpr double kQuickBootLeast = 0.2;  // s
constexpr double kQuickBootMost = 2;     // s

}  // namespace

std::vector<wire::ListedMachine> World::listing() const {
  const Instant then = now_ - from_seconds(settings_.cloud_list_delay_s);
  std::vector<wire::ListedMachine> listed;
  for (const auto& [id, machine] : machines_) {
    if (machine.rented > then || (machine.gone && *machine.gone <= then)) continue;
    listed.push_back({.id = id,
                      .address = "127.0.0.1:1",
                      .type = machine.type,
                      .zone = machine.zone,
                      .spot = machine.spot,
                      .state = machine.failed   ? wire::ListedState::failed
                               : machine.worker ? wire::ListedState::running
                                                : wire::ListedState::starting,
                      .age_s = control::to_seconds(then - machine.rented)});
  }
  return listed;
}

MachineId World::add_machine(const std::string& type, const std::string& zone, bool spot, Millis boot) {
  std::string number = std::to_string(next_machine_++);
  const MachineId id("m-" + std::string(6 - number.size(), '0') + number);
  machines_[id] = Rented{.type = type, .zone = zone, .spot = spot, .rented = now_};
  if (drift_ > 0) machines_.at(id).drift = lucky(0.5) ? drift_ : -drift_;
  after(boot, [this, id] {
    Rented& machine = machines_.at(id);
    if (machine.gone) return;
    const auto supply = std::ranges::find(supplies_, machine.type, [](const Supply& s) { return s.type.name; });
    machine.worker = std::make_unique<Worker>(id, supply->type, machine.zone, machine.spot,
                                              from_seconds(settings_.lease_s * worker_rate_), *this, time_of(machine));
    machine.worker->gang_wait = from_seconds(settings_.gang_wait_s);
    machine.worker->shares_fetch = fetches_share_;
    machine.worker->gang_ready = [this](const JobId& job_id, AttemptNumber attempt) {
      const wire::JobSpec* spec = job(job_id);
      std::size_t ready = 0;
      for (std::uint32_t index = 0; index < spec->tasks; ++index) {
        const TaskKey task{job_id, index};
        if (done_.contains(task)) ++ready;
        for (const MachineId& at : where(task)) {
          const Rented& other = machines_.at(at);
          if (!other.worker->alive || other.cut) continue;
          const auto held = other.worker->attempts().find({task, attempt});
          if (held == other.worker->attempts().end()) continue;
          const wire::TaskState state = held->second.state;
          if (state == wire::TaskState::waiting || state == wire::TaskState::running) ++ready;
        }
      }
      return ready >= spec->tasks;
    };
    machine.node = std::uniform_int_distribution<std::size_t>(0, nodes_.size() - 1)(random_);
    machine.next_heartbeat = now_;
    worker_step(id);
  });
  return id;
}

void World::withdraw_type(const std::string& type) {
  for (const auto& [id, machine] : machines_) {
    if (machine.type == type) throw std::logic_error("a machine of the type: " + id.text());
  }
  std::erase_if(supplies_, [&type](const Supply& supply) { return supply.type.name == type; });
  rules_.on_types(types());
  for (const Node& node : nodes_) node.controller->on_machine_types(types());
}

void World::start_up(const std::string& type, const std::string& zone, std::size_t count) {
  for (std::size_t i = 0; i < count; ++i) add_machine(type, zone, false, Millis(0));
}

std::vector<MachineId> World::rent(const wire::ScaleOutRequest& request) {
  if (const auto known = rentals_.find(request.request); known != rentals_.end()) return known->second;
  const auto supply = std::ranges::find(supplies_, request.type, [](const Supply& s) { return s.type.name; });
  const auto held = static_cast<std::size_t>(std::ranges::count_if(machines_, [&](const auto& entry) {
    const Rented& machine = entry.second;
    return !machine.gone && machine.type == request.type && machine.zone == request.zone &&
           machine.spot == request.spot;
  }));
  const std::size_t most = request.spot ? supply->spot_each_zone : supply->each_zone;
  std::vector<MachineId> rented;
  for (std::size_t i = 0; i < std::min<std::size_t>(most > held ? most - held : 0, request.count); ++i) {
    const double boot_s = supply->type.boot_s * std::uniform_real_distribution<double>(0.6, 1.5)(random_);
    const bool quick = now_ < quick_boots_until_;
    if (quick) ++struck_["quick_boots"];
    rented.push_back(add_machine(request.type, request.zone, request.spot,
                                 from_seconds(quick ? between(kQuickBootLeast, kQuickBootMost) : boot_s)));
  }
  if (!rented.empty()) rentals_[request.request] = rented;
  rented_ += rented.size();
  return rented;
}

void World::give_back(const std::vector<MachineId>& names) {
  for (const MachineId& id : names) {
    const auto machine = machines_.find(id);
    if (machine == machines_.end() || machine->second.gone) continue;
    machine->second.gone = now_;
    if (machine->second.worker) machine->second.worker->kill(time_of(machine->second));
  }
}

void World::cloud_duty(std::size_t node) {
  Node& self = nodes_[node];
  if (self.calling_cloud || cloud_out_ || cut_zones_.contains(self.zone)) return;
  const auto answer_after = [this, node, life = self.life](std::function<void(control::Controller&, Instant)> then) {
    nodes_[node].calling_cloud = true;
    after(Millis(200) + delay(), [this, node, life, then = std::move(then)] {
      Node& me = nodes_[node];
      if (!me.alive || me.life != life) return;
      me.calling_cloud = false;
      then(*me.controller, time_of(node));
    });
  };
  if (const std::vector<MachineId> names = self.controller->next_scale_in(time_of(node)); !names.empty()) {
    record_returns(node, names);
    give_back(names);
    copy_late([this, names] { give_back(names); });
    return answer_after([names](control::Controller& controller, Instant at) { controller.on_scaled_in(names, at); });
  }
  if (self.hints_wanted_until && now_ < *self.hints_wanted_until) return;
  if (const auto request = self.controller->next_scale_out(time_of(node))) {
    const std::vector<MachineId> rented = rent(*request);
    record_rental(node, *request, rented);
    copy_late([this, request] { (void)rent(*request); });
    reached(Moment::rental, node);
    if (rented.empty()) {
      return answer_after(
          [request](control::Controller& controller, Instant at) { controller.on_scale_out_refused(*request, at); });
    }
    return answer_after([request, rented](control::Controller& controller, Instant at) {
      controller.on_scaled_out(*request, rented, at);
    });
  }
  if (now_ >= self.next_list) {
    self.next_list = now_ + constants::kCloudListInterval;
    const std::vector<wire::ListedMachine> listed = listing();
    record_listing(node, listed);
    return answer_after([listed, requested = time_of(node)](control::Controller& controller, Instant at) {
      controller.on_machine_list(listed, requested, at);
    });
  }
}

void World::halt_duty(std::size_t node) {
  Node& self = nodes_[node];
  for (const control::DirectStop& direct_stop : self.controller->due_direct_stops(time_of(node))) {
    record_direct_commands(node, direct_stop);
    const auto machine = machines_.find(direct_stop.machine);
    if (machine == machines_.end() || !machine->second.worker || machine->second.gone) continue;
    const Millis way = late_command().value_or(delay() + slow_link());
    repeat(way, [this, direct_stop, node] {
      Rented& target = machines_.at(direct_stop.machine);
      if (target.gone || !target.worker->alive) return true;
      if (!reaches(node, target) || target.worker->hung) return !target.holds && !target.worker->hung;
      if (!is_heard(node, target)) return true;
      if (is_held(target)) return false;
      (void)target.worker->direct(direct_stop.term, direct_stop.incarnation, direct_stop.commands, time_of(target));
      target.changed = true;
      copy_late([this, direct_stop] {
        const Rented& again = machines_.at(direct_stop.machine);
        if (now_ < again.deaf_until) return;
        if (!again.gone && again.worker->alive)
          (void)again.worker->direct(direct_stop.term, direct_stop.incarnation, direct_stop.commands, time_of(again));
      });
      return true;
    });
  }
}

}  // namespace foxshunt::standins
