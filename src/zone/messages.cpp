#include "zone/messages.h"

#include <algorithm>

#include "config/constants.h"

namespace foxshunt::zone {

using wire::Malformed;
using wire::Value;

namespace {

// A day: no span that zones hang on is as long.
constexpr std::uint64_t kSpanMostMs = 86'400'000;

Millis span(const Value& value, const char* field) {
  const std::uint64_t ms = value.count(field);
  if (ms > kSpanMostMs) throw Malformed(std::string(field) + ": too long a span");
  return Millis(static_cast<Millis::rep>(ms));
}

const Value::List& machines(const Value& value, const char* field) {
  const Value::List& list = value.list(field);
  if (list.size() > constants::kGrantMachinesMost) throw Malformed(std::string(field) + ": too many machines");
  return list;
}

std::uint64_t count_ms(Millis span) { return static_cast<std::uint64_t>(std::max(Millis(0), span).count()); }

}  // namespace

Value to_value(const Ask& ask) {
  Value::List uses;
  for (const Use& use : ask.uses) {
    uses.push_back(Value::Map{{"machine", use.machine.text()}, {"ago", count_ms(use.ago)}});
  }
  return Value::Map{{"node", ask.node.text()},     {"life", ask.life},
                    {"sequence", ask.sequence},    {"term", ask.term.number()},
                    {"holds", ask.holds.number()}, {"uses", std::move(uses)}};
}

Ask ask_from(const Value& value) {
  Ask ask{.node = NodeName(value.text("node")),
          .life = value.count("life"),
          .sequence = value.count("sequence"),
          .term = Term(value.count("term")),
          .holds = GrantNo(value.count("holds")),
          .uses = {}};
  if (ask.sequence == 0) throw Malformed("sequence: must be above 0");
  for (const Value& use : machines(value, "uses")) {
    ask.uses.push_back({.machine = MachineId(use.text("machine")), .ago = span(use, "ago")});
  }
  return ask;
}

Value to_value(const Grant& grant) {
  Value::List except;
  for (const MachineId& machine : grant.except) except.emplace_back(machine.text());
  return Value::Map{{"number", grant.number.number()},
                    {"term", grant.term.number()},
                    {"zone", grant.zone},
                    {"age", count_ms(grant.age)},
                    {"except", std::move(except)}};
}

Grant grant_from(const Value& value) {
  Grant grant{.number = GrantNo(value.count("number")),
              .term = Term(value.count("term")),
              .zone = value.text("zone"),
              .age = span(value, "age"),
              .except = {}};
  if (grant.number == GrantNo{}) throw Malformed("number: must be above 0");
  for (const Value& machine : machines(value, "except")) {
    const std::string* name = machine.as_text();
    if (name == nullptr || name->empty()) throw Malformed("except: must be names of machines");
    grant.except.emplace_back(*name);
  }
  return grant;
}

}  // namespace foxshunt::zone
