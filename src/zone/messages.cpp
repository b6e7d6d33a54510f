#include "zone/messages.h"

#include <algorithm>

#include "config/constants.h"

namespace foxshunt::zone {

using wire::Malformed;
using wire::Value;

namespace {

// Field names of the messages between controllers. They must not change, so that controllers of different releases can
// exchange them.
constexpr const char* kNodeField = "node";
constexpr const char* kLifeField = "life";
constexpr const char* kSequenceField = "sequence";
constexpr const char* kTermField = "term";
constexpr const char* kHeldField = "holds";
constexpr const char* kUsesField = "uses";
constexpr const char* kMachineField = "machine";
constexpr const char* kAgoField = "ago";
constexpr const char* kNumberField = "number";
constexpr const char* kZoneField = "zone";
constexpr const char* kAgeField = "age";
constexpr const char* kExceptField = "except";

// One day, which is longer than any valid duration in these messages.
constexpr std::uint64_t kMaxDurationMs = 86'400'000;

Millis read_duration(const Value& value, const char* field) {
  const std::uint64_t ms = value.count(field);
  if (ms > kMaxDurationMs) throw Malformed(std::string(field) + ": duration is longer than one day");
  return Millis(static_cast<Millis::rep>(ms));
}

const Value::List& read_machines(const Value& value, const char* field) {
  const Value::List& list = value.list(field);
  if (list.size() > constants::kMaxDelegationMachines) throw Malformed(std::string(field) + ": too many machines");
  return list;
}

std::uint64_t count_ms(Millis span) { return static_cast<std::uint64_t>(std::max(Millis(0), span).count()); }

}  // namespace

Value to_value(const DelegationRequest& request) {
  Value::List uses;
  for (const DelegationUse& use : request.uses) {
    uses.push_back(Value::Map{{kMachineField, use.machine.text()}, {kAgoField, count_ms(use.ago)}});
  }
  return Value::Map{{kNodeField, request.node.text()},    {kLifeField, request.life},
                    {kSequenceField, request.sequence},   {kTermField, request.term.number()},
                    {kHeldField, request.holds.number()}, {kUsesField, std::move(uses)}};
}

DelegationRequest delegation_request_from(const Value& value) {
  DelegationRequest request{.node = NodeName(value.text(kNodeField)),
                            .life = value.count(kLifeField),
                            .sequence = value.count(kSequenceField),
                            .term = Term(value.count(kTermField)),
                            .holds = DelegationNumber(value.count(kHeldField)),
                            .uses = {}};
  if (request.sequence == 0) throw Malformed(std::string(kSequenceField) + ": must be above 0");
  for (const Value& use : read_machines(value, kUsesField)) {
    request.uses.push_back({.machine = MachineId(use.text(kMachineField)), .ago = read_duration(use, kAgoField)});
  }
  return request;
}

Value to_value(const LeaseDelegation& delegation) {
  Value::List except;
  for (const MachineId& machine : delegation.except) except.emplace_back(machine.text());
  return Value::Map{{kNumberField, delegation.number.number()},
                    {kTermField, delegation.term.number()},
                    {kZoneField, delegation.zone},
                    {kAgeField, count_ms(delegation.age)},
                    {kExceptField, std::move(except)}};
}

LeaseDelegation delegation_from(const Value& value) {
  LeaseDelegation delegation{.number = DelegationNumber(value.count(kNumberField)),
                             .term = Term(value.count(kTermField)),
                             .zone = value.text(kZoneField),
                             .age = read_duration(value, kAgeField),
                             .except = {}};
  if (delegation.number == DelegationNumber{}) throw Malformed(std::string(kNumberField) + ": must be above 0");
  for (const Value& machine : read_machines(value, kExceptField)) {
    const std::string* name = machine.as_text();
    if (name == nullptr || name->empty()) throw Malformed(std::string(kExceptField) + ": must be names of machines");
    delegation.except.emplace_back(*name);
  }
  return delegation;
}

}  // namespace foxshunt::zone
