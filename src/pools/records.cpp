#include "pools/records.h"

#include <algorithm>

#include "config/constants.h"

namespace foxshunt::pools {
namespace {

using wire::Malformed;
using wire::Value;

// The entry of a list, of the kind that is asked for.
std::uint64_t count_at(const Value::List& list, std::size_t at) {
  const std::uint64_t* count = at < list.size() ? list[at].as_count() : nullptr;
  if (count == nullptr) throw Malformed("entry: not a count");
  return *count;
}
const std::string& text_at(const Value::List& list, std::size_t at) {
  const std::string* text = at < list.size() ? list[at].as_text() : nullptr;
  if (text == nullptr) throw Malformed("entry: not a text");
  return *text;
}
const Value::List& list_of(const Value& value) {
  const Value::List* list = value.as_list();
  if (list == nullptr) throw Malformed("entry: not a list");
  return *list;
}

}  // namespace

std::string held_key(const std::string& pool, std::uint64_t number) {
  return kHeldPrefix + accounts::escape_key_part(pool) + "/" + std::to_string(number);
}

std::string state_key(const std::string& pool) { return kStatePrefix + accounts::escape_key_part(pool); }

std::string holds_key(const MachineId& machine) {
  // FNV-1a: the same on every node and in every program.
  std::uint64_t hash = 14695981039346656037ULL;
  for (const char sign : machine.text()) hash = (hash ^ static_cast<unsigned char>(sign)) * 1099511628211ULL;
  return kHoldsPrefix + std::to_string((hash ^ hash >> 32U) % constants::kPoolHoldsChunks);
}

std::string kind_text(const std::string& type, const std::string& zone, bool spot) {
  return type + "/" + zone + (spot ? "/spot" : "/ordinary");
}

Value to_value(const Held& held) {
  Value::List members;
  for (const Member& one : held.members) {
    members.emplace_back(Value::List{one.id.text(), one.type, one.zone, std::uint64_t{one.spot}, one.from_ms,
                                     one.until_ms, static_cast<std::uint64_t>(one.use), one.team,
                                     std::uint64_t{one.warm}, one.micros_hour});
  }
  return Value::Map{{"v", kForm}, {"members", std::move(members)}};
}

Held held_from(const Value& value) {
  Held held;
  for (const Value& entry : value.list("members")) {
    const Value::List& list = list_of(entry);
    const std::uint64_t use = count_at(list, 6);
    if (use > static_cast<std::uint64_t>(accounts::MachineUse::own)) throw Malformed("members: unknown use");
    held.members.push_back({.id = MachineId(text_at(list, 0)),
                            .type = text_at(list, 1),
                            .zone = text_at(list, 2),
                            .spot = count_at(list, 3) != 0,
                            .from_ms = count_at(list, 4),
                            .until_ms = count_at(list, 5),
                            .use = static_cast<accounts::MachineUse>(use),
                            .team = text_at(list, 7),
                            .warm = count_at(list, 8) != 0,
                            .micros_hour = count_at(list, 9)});
  }
  return held;
}

Value to_value(const Rent& rent) {
  return Value::Map{{"v", kForm},
                    {"pool", rent.pool},
                    {"name", rent.request.request},
                    {"type", rent.request.type},
                    {"zone", rent.request.zone},
                    {"spot", rent.request.spot},
                    {"count", rent.request.count},
                    {"at", rent.asked_ms}};
}

Rent rent_from(const Value& value) {
  return {.pool = value.text("pool"),
          .request = {.request = value.text("name"),
                      .type = value.text("type"),
                      .zone = value.text("zone"),
                      .spot = value.flag("spot"),
                      .count = value.count("count")},
          .asked_ms = value.count("at")};
}

Value to_value(const PoolState& state) {
  Value::List refusals;
  for (const auto& [kind, refusal] : state.refusals) {
    refusals.emplace_back(Value::List{kind, refusal.until_ms, refusal.pause_ms});
  }
  Value::List peaks;
  for (const auto& [hour, most] : state.peaks) peaks.emplace_back(Value::List{hour, std::uint64_t{most}});
  return Value::Map{{"v", kForm},
                    {"wanted", std::uint64_t{state.wanted}},
                    {"why", state.why},
                    {"hour", state.hour},
                    {"spent", to_value(state.spent)},
                    {"refused", std::move(refusals)},
                    {"peaks", std::move(peaks)}};
}

PoolState state_from(const Value& value) {
  PoolState state{.wanted = static_cast<std::uint32_t>(value.count("wanted")),
                  .why = value.text("why"),
                  .hour = value.count("hour"),
                  .spent = accounts::parse_usage_total(value["spent"])};
  for (const Value& entry : value.list("refused")) {
    const Value::List& list = list_of(entry);
    state.refusals[text_at(list, 0)] = {.until_ms = count_at(list, 1), .pause_ms = count_at(list, 2)};
  }
  for (const Value& entry : value.list("peaks")) {
    const Value::List& list = list_of(entry);
    state.peaks[count_at(list, 0)] = static_cast<std::uint32_t>(count_at(list, 1));
  }
  return state;
}

// Images by short numbers: most machines of a pool hold the same.
Value to_value(const Holds& holds) {
  std::vector<CachedImage> table;
  Value::List machines;
  for (const auto& [id, images] : holds.machines) {
    Value::List numbers;
    for (const CachedImage& image : images) {
      const auto known = std::ranges::find(table, image);
      numbers.emplace_back(static_cast<std::uint64_t>(known - table.begin()));
      if (known == table.end()) table.push_back(image);
    }
    machines.emplace_back(Value::List{id.text(), std::move(numbers)});
  }
  Value::List images;
  for (const CachedImage& image : table) images.emplace_back(Value::List{image.image, image.mb});
  return Value::Map{{"v", kForm}, {"images", std::move(images)}, {"machines", std::move(machines)}};
}

Holds holds_from(const Value& value) {
  std::vector<CachedImage> table;
  for (const Value& entry : value.list("images")) {
    const Value::List& list = list_of(entry);
    table.push_back({.image = text_at(list, 0), .mb = count_at(list, 1)});
  }
  Holds holds;
  for (const Value& entry : value.list("machines")) {
    const Value::List& list = list_of(entry);
    std::vector<CachedImage>& images = holds.machines[MachineId(text_at(list, 0))];
    if (list.size() != 2) throw Malformed("machines: entry is not a machine");
    const Value::List& numbers = list_of(list[1]);
    for (std::size_t at = 0; at < numbers.size(); ++at) {
      const std::uint64_t number = count_at(numbers, at);
      if (number >= table.size()) throw Malformed("machines: no such image");
      images.push_back(table[number]);
    }
  }
  return holds;
}

}  // namespace foxshunt::pools
