// The parts of Planner that keep machines, team limits and bookings.
#include "plan/planner.h"

#include <algorithm>

namespace foxshunt::plan {

void Planner::set_team_limit(const std::string& team, const TeamLimit& limit) { team_limits_[team] = limit; }

std::size_t Planner::find_or_add_zone(const std::string& zone) {
  const auto known = std::ranges::find(zones_, zone);
  if (known != zones_.end()) return static_cast<std::size_t>(known - zones_.begin());
  zones_.push_back(zone);
  return zones_.size() - 1;
}

void Planner::set_fleet_capacity(const ResourceAmounts& total) {
  fleet_.set_capacity(total);
  whole_fleet_capacity_ = total.to_whole_amounts();
}

void Planner::set_machine(const MachineSpec& machine) {
  ResourceAmounts total = fleet_.capacity();
  const auto [entry, inserted] = machines_.try_emplace(machine.id);
  if (!inserted) total -= entry->second.spec.capacity;
  total += machine.capacity;
  entry->second.spec = machine;
  entry->second.usage.set_capacity(machine.capacity);
  entry->second.zone_index = find_or_add_zone(machine.zone);
  entry->second.whole_capacity = machine.capacity.to_whole_amounts();
  set_fleet_capacity(total);
  // After a takeover, running tasks are known from their records before their machine is known. Their bookings have to
  // enter the machine's usage now, because revoke() subtracts them later. Otherwise the machine appeared to have more
  // room than it has: work was booked there that could not be placed, and machines that were really free were returned
  // to the cloud as idle.
  const auto pending = bookings_without_machine_.find(machine.id);
  if (pending == bookings_without_machine_.end()) return;
  for (const BookingId id : pending->second) {
    if (const Booking* found = find_booking(id)) entry->second.usage.book(found->amounts, found->start, found->stop);
  }
  bookings_without_machine_.erase(pending);
}

void Planner::remove_machine(const MachineId& machine_id) {
  const auto entry = machines_.find(machine_id);
  if (entry == machines_.end()) return;
  ResourceAmounts total = fleet_.capacity();
  total -= entry->second.spec.capacity;
  set_fleet_capacity(total);
  machines_.erase(entry);
}

const PlannedMachine* Planner::find_machine(const MachineId& machine_id) const {
  const auto entry = machines_.find(machine_id);
  return entry == machines_.end() ? nullptr : &entry->second;
}

BookingId Planner::book(const Booking& booking) {
  const BookingId id = next_booking_++;
  fleet_.book(booking.amounts, booking.start, booking.stop);
  usage_by_team_[booking.team].book(booking.amounts, booking.start, booking.stop);
  if (const auto machine = machines_.find(booking.machine); machine != machines_.end()) {
    machine->second.usage.book(booking.amounts, booking.start, booking.stop);
  } else {
    bookings_without_machine_[booking.machine].push_back(id);
  }
  bookings_.emplace(id, booking);
  return id;
}

void Planner::revoke(BookingId id) {
  const auto entry = bookings_.find(id);
  if (entry == bookings_.end()) return;
  const Booking& booking = entry->second;
  fleet_.revoke(booking.amounts, booking.start, booking.stop);
  usage_by_team_[booking.team].revoke(booking.amounts, booking.start, booking.stop);
  if (const auto machine = machines_.find(booking.machine); machine != machines_.end()) {
    machine->second.usage.revoke(booking.amounts, booking.start, booking.stop);
  }
  bookings_.erase(entry);
}

void Planner::extend(BookingId id, Instant stop) {
  const auto entry = bookings_.find(id);
  if (entry == bookings_.end() || stop <= entry->second.stop) return;
  Booking& booking = entry->second;
  fleet_.book(booking.amounts, booking.stop, stop);
  usage_by_team_[booking.team].book(booking.amounts, booking.stop, stop);
  if (const auto machine = machines_.find(booking.machine); machine != machines_.end()) {
    machine->second.usage.book(booking.amounts, booking.stop, stop);
  }
  booking.stop = stop;
}

const Booking* Planner::find_booking(BookingId id) const {
  const auto entry = bookings_.find(id);
  return entry == bookings_.end() ? nullptr : &entry->second;
}

void Planner::forget_before(Instant when) {
  fleet_.forget_before(when);
  for (auto& [unused, machine] : machines_) machine.usage.forget_before(when);
  for (auto& [unused, usage] : usage_by_team_) usage.forget_before(when);
}

}  // namespace foxshunt::plan
