// Machines, teams and bookings.
#include "plan/planner.h"

#include <algorithm>

namespace foxshunt::plan {

void Planner::set_team(const std::string& team, const TeamLimit& limit) { limits_[team] = limit; }

std::size_t Planner::zone_number(const std::string& zone) {
  const auto known = std::ranges::find(zones_, zone);
  if (known != zones_.end()) return static_cast<std::size_t>(known - zones_.begin());
  zones_.push_back(zone);
  return zones_.size() - 1;
}

void Planner::set_machine(const PlanMachine& machine) {
  Amounts total = fleet_.capacity();
  const auto [entry, fresh] = nodes_.try_emplace(machine.id);
  if (!fresh) total -= entry->second.info.capacity;
  total += machine.capacity;
  entry->second.info = machine;
  entry->second.use.set_capacity(machine.capacity);
  entry->second.zone = zone_number(machine.zone);
  fleet_.set_capacity(total);
  // After a takeover what runs on a machine is known from its record before the machine is. Left out of the machine's use,
  // it would be taken from it all the same when it is revoked: the machine then seemed to have more room than it has, work
  // was booked there that could not be placed, and machines that were really free went back to the cloud as idle.
  const auto waiting = homeless_.find(machine.id);
  if (waiting == homeless_.end()) return;
  for (const BookingId id : waiting->second) {
    if (const Booking* kept = booking(id)) entry->second.use.book(kept->amounts, kept->start, kept->stop);
  }
  homeless_.erase(waiting);
}

void Planner::remove_machine(const MachineId& machine) {
  const auto entry = nodes_.find(machine);
  if (entry == nodes_.end()) return;
  Amounts total = fleet_.capacity();
  total -= entry->second.info.capacity;
  fleet_.set_capacity(total);
  nodes_.erase(entry);
}

const PlanNode* Planner::node(const MachineId& machine) const {
  const auto entry = nodes_.find(machine);
  return entry == nodes_.end() ? nullptr : &entry->second;
}

BookingId Planner::book(const Booking& booking) {
  const BookingId id = next_booking_++;
  fleet_.book(booking.amounts, booking.start, booking.stop);
  teams_[booking.team].book(booking.amounts, booking.start, booking.stop);
  if (const auto node = nodes_.find(booking.machine); node != nodes_.end()) {
    node->second.use.book(booking.amounts, booking.start, booking.stop);
  } else {
    homeless_[booking.machine].push_back(id);
  }
  bookings_.emplace(id, booking);
  return id;
}

void Planner::revoke(BookingId id) {
  const auto entry = bookings_.find(id);
  if (entry == bookings_.end()) return;
  const Booking& booking = entry->second;
  fleet_.revoke(booking.amounts, booking.start, booking.stop);
  teams_[booking.team].revoke(booking.amounts, booking.start, booking.stop);
  if (const auto node = nodes_.find(booking.machine); node != nodes_.end()) {
    node->second.use.revoke(booking.amounts, booking.start, booking.stop);
  }
  bookings_.erase(entry);
}

void Planner::extend(BookingId id, Instant stop) {
  const auto entry = bookings_.find(id);
  if (entry == bookings_.end() || stop <= entry->second.stop) return;
  Booking& booking = entry->second;
  fleet_.book(booking.amounts, booking.stop, stop);
  teams_[booking.team].book(booking.amounts, booking.stop, stop);
  if (const auto node = nodes_.find(booking.machine); node != nodes_.end()) {
    node->second.use.book(booking.amounts, booking.stop, stop);
  }
  booking.stop = stop;
}

const Booking* Planner::booking(BookingId id) const {
  const auto entry = bookings_.find(id);
  return entry == bookings_.end() ? nullptr : &entry->second;
}

void Planner::forget_before(Instant when) {
  fleet_.forget_before(when);
  for (auto& [unused, node] : nodes_) node.use.forget_before(when);
  for (auto& [unused, use] : teams_) use.forget_before(when);
}

}  // namespace foxshunt::plan
