#include "catalog/records.h"

#define XXH_INLINE_ALL  // header only: no library to be loaded at the start
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <limits>

#include "config/constants.h"

namespace foxshunt::catalog {
namespace {

using wire::Malformed;
using wire::Value;

constexpr std::array<std::string_view, 4> kPriorityNames = {"best_effort", "standard", "high", "production"};
constexpr std::array<std::string_view, 3> kJobKindNames = {"array", "gang", "service"};

std::optional<std::uint64_t> number_from(std::string_view text) {
  std::uint64_t number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  const bool leading_zero = text.size() > 1 && text.front() == '0';
  if (error != std::errc{} || end != text.data() + text.size() || leading_zero) return std::nullopt;
  return number;
}

void judge_form(const Value& value, std::uint64_t newest = kForm) {
  const std::uint64_t form = value.count("form");
  if (form > newest) throw NewerForm("form " + std::to_string(form) + " is newer than " + std::to_string(newest));
  if (form == 0) throw Malformed("form: must be at least 1");
}

Value texts_value(const std::vector<std::string>& texts) {
  Value::List list;
  for (const std::string& text : texts) list.emplace_back(text);
  return list;
}

template <typename Number>
Value numbers_value(const std::vector<Number>& numbers) {
  Value::List list;
  for (const Number number : numbers) list.emplace_back(static_cast<std::uint64_t>(number));
  return list;
}

std::uint32_t small(std::uint64_t number, std::string_view field) {
  if (number > std::numeric_limits<std::uint32_t>::max()) throw Malformed(std::string(field) + ": is too large");
  return static_cast<std::uint32_t>(number);
}

std::uint32_t small(const Value& value, std::string_view key) { return small(value.count(key), key); }

std::vector<std::string> texts(const Value& value, std::string_view key) {
  std::vector<std::string> found;
  if (value[key].is_null()) return found;
  for (const Value& entry : value.list(key)) {
    if (entry.as_text() == nullptr) throw Malformed(std::string(key) + ": must hold texts");
    found.push_back(*entry.as_text());
  }
  return found;
}

std::vector<std::uint32_t> weekdays(const Value& value, std::string_view key) {
  std::vector<std::uint32_t> found;
  if (value[key].is_null()) return found;
  for (const Value& entry : value.list(key)) {
    const std::uint64_t* number = entry.as_count();
    if (number == nullptr || *number < 1 || *number > 7) throw Malformed(std::string(key) + ": must hold 1 to 7");
    found.push_back(static_cast<std::uint32_t>(*number));
  }
  return found;
}

// Lists that are empty and numbers that are left out are not written: most items say little.
void put(Value::Map& map, const char* key, const std::vector<std::string>& list) {
  if (!list.empty()) map.emplace_back(key, texts_value(list));
}

Value match_value(const JobMatch& match) {
  Value::Map map;
  put(map, "job_classes", match.job_classes);
  put(map, "teams", match.teams);
  put(map, "images", match.images);
  if (!match.priorities.empty()) {
    Value::List list;
    for (const wire::Priority one : match.priorities) list.emplace_back(kPriorityNames[static_cast<std::size_t>(one)]);
    map.emplace_back("priorities", std::move(list));
  }
  if (match.kind) map.emplace_back("kind", kJobKindNames[static_cast<std::size_t>(*match.kind)]);
  if (match.tasks_least) map.emplace_back("tasks_least", std::uint64_t{*match.tasks_least});
  if (match.tasks_most) map.emplace_back("tasks_most", std::uint64_t{*match.tasks_most});
  if (match.has_deadline) map.emplace_back("has_deadline", *match.has_deadline);
  return map;
}

JobMatch match_from(const Value& value) {
  if (value.as_map() == nullptr) throw Malformed("match: must be a map");
  JobMatch match;
  match.job_classes = texts(value, "job_classes");
  match.teams = texts(value, "teams");
  match.images = texts(value, "images");
  for (const std::string& name : texts(value, "priorities")) {
    const auto priority = priority_from(name);
    if (!priority) throw Malformed("priorities: " + name + " is none");
    match.priorities.push_back(*priority);
  }
  if (!value["kind"].is_null()) {
    match.kind = job_kind_from(value.text("kind"));
    if (!match.kind) throw Malformed("kind: " + value.text("kind") + " is none");
  }
  if (!value["tasks_least"].is_null()) match.tasks_least = small(value, "tasks_least");
  if (!value["tasks_most"].is_null()) match.tasks_most = small(value, "tasks_most");
  if (!value["has_deadline"].is_null()) match.has_deadline = value.flag("has_deadline");
  return match;
}

Value matches_value(const std::vector<JobMatch>& matches) {
  Value::List list;
  for (const JobMatch& match : matches) list.push_back(match_value(match));
  return list;
}

std::vector<JobMatch> matches_from(const Value& value, std::string_view key) {
  std::vector<JobMatch> found;
  for (const Value& entry : value.list(key)) found.push_back(match_from(entry));
  return found;
}

Value::Map edition_map(const Edition& edition) {
  return {{"version", edition.version.number()},
          {"author", edition.author},
          {"wall_ms", static_cast<std::uint64_t>(std::max<std::int64_t>(0, edition.wall_ms))},
          {"digest", edition.digest},
          {"classes", edition.classes},
          {"calendar", edition.calendar},
          {"pools", edition.pools}};
}

Edition edition_from(const Value& value) {
  Edition edition;
  edition.version = Version(value.count("version"));
  edition.author = value.text("author");
  edition.wall_ms = static_cast<std::int64_t>(value.count("wall_ms"));
  edition.digest = value.text("digest");
  edition.classes = value.count("classes");
  edition.calendar = value.count("calendar");
  edition.pools = value.count("pools");
  if (edition.version.number() == 0) throw Malformed("version: must be at least 1");
  const auto hexadecimal = [](char one) { return (one >= '0' && one <= '9') || (one >= 'a' && one <= 'f'); };
  if (edition.digest.size() != 32 || !std::ranges::all_of(edition.digest, hexadecimal)) {
    throw Malformed("digest: must be 32 hexadecimal digits");
  }
  if (edition.classes > constants::kMaxCatalogClasses || edition.calendar > constants::kMaxCatalogCalendar ||
      edition.pools > constants::kMaxCatalogPools) {
    throw Malformed("counts: are beyond the limits");
  }
  return edition;
}

}  // namespace

std::string_view name_of(wire::Priority priority) { return kPriorityNames[static_cast<std::size_t>(priority)]; }
std::string_view name_of(wire::JobKind kind) { return kJobKindNames[static_cast<std::size_t>(kind)]; }

std::optional<wire::Priority> priority_from(std::string_view name) {
  const auto* const found = std::ranges::find(kPriorityNames, name);
  if (found == std::end(kPriorityNames)) return std::nullopt;
  return static_cast<wire::Priority>(found - std::begin(kPriorityNames));
}

std::optional<wire::JobKind> job_kind_from(std::string_view name) {
  const auto* const found = std::ranges::find(kJobKindNames, name);
  if (found == std::end(kJobKindNames)) return std::nullopt;
  return static_cast<wire::JobKind>(found - std::begin(kJobKindNames));
}

std::string_view name_of(Kind kind) {
  switch (kind) {
    case Kind::job_class: return "class";
    case Kind::calendar: return "calendar";
    case Kind::pool: return "pool";
  }
  return "";
}

std::optional<Kind> kind_from(std::string_view name) {
  for (const Kind kind : kKinds) {
    if (name_of(kind) == name) return kind;
  }
  return std::nullopt;
}

std::string Edition::stage() const { return std::to_string(version.number()) + "-" + digest; }

std::uint64_t Edition::count(Kind kind) const {
  return kind == Kind::job_class ? classes : kind == Kind::calendar ? calendar : pools;
}

bool Head::keeps(std::string_view stage) const {
  return now.stage() == stage ||
         std::ranges::any_of(former, [stage](const Edition& edition) { return edition.stage() == stage; });
}

const Edition* Head::find(Version version) const {
  if (now.version == version) return &now;
  const auto found = std::ranges::find(former, version, &Edition::version);
  return found == former.end() ? nullptr : &*found;
}

Value to_value(const ClassDef& one) {
  Value::Map map{{"form", kForm}, {"name", one.name}, {"order", std::uint64_t{one.order}}};
  map.emplace_back("takes", matches_value(one.takes));
  map.emplace_back("standing", std::uint64_t{one.standing});
  if (one.wait_most_s) map.emplace_back("wait_most_s", *one.wait_most_s);
  map.emplace_back("age_every_s", one.age_every_s);
  map.emplace_back("age_most", std::uint64_t{one.age_most});
  put(map, "never_passes", one.never_passes);
  if (!one.cpus_most.empty()) {
    Value::Map caps;
    for (const auto& [team, cpus] : one.cpus_most) caps.emplace_back(team, cpus);
    map.emplace_back("cpus_most", std::move(caps));
  }
  return map;
}

ClassDef class_from(const Value& value) {
  judge_form(value);
  ClassDef one;
  one.name = value.text("name");
  one.order = small(value, "order");
  one.takes = matches_from(value, "takes");
  one.standing = small(value, "standing");
  if (!value["wait_most_s"].is_null()) one.wait_most_s = value.amount("wait_most_s");
  one.age_every_s = value.amount("age_every_s");
  one.age_most = small(value, "age_most");
  one.never_passes = texts(value, "never_passes");
  const Value& caps = value["cpus_most"];
  if (!caps.is_null()) {
    if (caps.as_map() == nullptr) throw Malformed("cpus_most: must be a map");
    for (const auto& [team, unused] : *caps.as_map()) one.cpus_most[team] = caps.amount(team);
  }
  return one;
}

Value to_value(const CalendarDef& one) {
  Value::Map map{{"form", one.sunrise ? kFormSunrise : kForm}, {"name", one.name}};
  map.emplace_back("jobs", matches_value(one.jobs));
  map.emplace_back("time_zone", one.time_zone);
  if (one.sunrise) {
    map.emplace_back("sunrise", Value::List{one.sunrise->latitude, one.sunrise->longitude});
    map.emplace_back("minus_s", one.minus_s);
  } else {
    map.emplace_back("at", one.at);
  }
  if (!one.weekdays.empty()) map.emplace_back("weekdays", numbers_value(one.weekdays));
  put(map, "dates", one.dates);
  put(map, "except", one.except);
  map.emplace_back("expected_jobs", std::uint64_t{one.expected_jobs});
  map.emplace_back("expected_tasks", one.expected_tasks);
  map.emplace_back("opens_before_s", one.opens_before_s);
  map.emplace_back("lead_s", one.lead_s);
  put(map, "tell", one.tell);
  return map;
}

CalendarDef calendar_from(const Value& value) {
  judge_form(value, newest_form(Kind::calendar));
  CalendarDef one;
  one.name = value.text("name");
  one.jobs = matches_from(value, "jobs");
  one.time_zone = value.text("time_zone");
  if (!value["sunrise"].is_null()) {
    const Value::List& place = value.list("sunrise");
    const auto degrees = [&place](std::size_t at, double most) {
      const double found = place.size() == 2 ? Value(Value::Map{{"it", place[at]}}).amount("it") : NAN;
      if (!(std::abs(found) <= most)) throw Malformed("sunrise: must be a latitude and a longitude");
      return found;
    };
    one.sunrise = Place{.latitude = degrees(0, 90), .longitude = degrees(1, 180)};
    one.minus_s = value.amount("minus_s");
  } else {
    one.at = value.text("at");
  }
  one.weekdays = weekdays(value, "weekdays");
  one.dates = texts(value, "dates");
  one.except = texts(value, "except");
  one.expected_jobs = small(value, "expected_jobs");
  one.expected_tasks = value.count("expected_tasks");
  one.opens_before_s = value.amount("opens_before_s");
  one.lead_s = value.amount("lead_s");
  one.tell = texts(value, "tell");
  return one;
}

Value to_value(const PoolDef& one) {
  Value::Map map{{"form", kForm}, {"name", one.name}};
  Value::List images;
  for (const PoolImage& image : one.images) images.push_back(Value::Map{{"image", image.image}, {"gb", image.gb}});
  map.emplace_back("images", std::move(images));
  put(map, "types", one.types);
  put(map, "zones", one.zones);
  map.emplace_back("spot", one.spot);
  map.emplace_back("least", std::uint64_t{one.least});
  map.emplace_back("most", std::uint64_t{one.most});
  map.emplace_back("peak_days", one.peak_days);
  if (!one.windows.empty()) {
    Value::List windows;
    for (const PoolWindow& window : one.windows) {
      Value::Map entry{{"time_zone", window.time_zone}, {"from", window.from}, {"to", window.to}};
      if (!window.weekdays.empty()) entry.emplace_back("weekdays", numbers_value(window.weekdays));
      windows.push_back(std::move(entry));
    }
    map.emplace_back("windows", std::move(windows));
  }
  map.emplace_back("payer", one.payer);
  if (one.ceiling_hour) map.emplace_back("ceiling_hour", *one.ceiling_hour);
  map.emplace_back("users", matches_value(one.users));
  if (one.warming) map.emplace_back("warming", matches_value({*one.warming}));
  map.emplace_back("lends", one.lends);
  map.emplace_back("gives_way_s", one.gives_way_s);
  return map;
}

PoolDef pool_from(const Value& value) {
  judge_form(value);
  PoolDef one;
  one.name = value.text("name");
  for (const Value& entry : value.list("images")) {
    one.images.push_back({.image = entry.text("image"), .gb = entry.amount("gb")});
  }
  one.types = texts(value, "types");
  one.zones = texts(value, "zones");
  one.spot = value.flag("spot");
  one.least = small(value, "least");
  one.most = small(value, "most");
  one.peak_days = value.amount("peak_days");
  if (!value["windows"].is_null()) {
    for (const Value& entry : value.list("windows")) {
      one.windows.push_back({.time_zone = entry.text("time_zone"),
                             .from = entry.text("from"),
                             .to = entry.text("to"),
                             .weekdays = weekdays(entry, "weekdays")});
    }
  }
  one.payer = value.text("payer");
  if (!value["ceiling_hour"].is_null()) one.ceiling_hour = value.amount("ceiling_hour");
  one.users = matches_from(value, "users");
  if (!value["warming"].is_null()) {
    const std::vector<JobMatch> means = matches_from(value, "warming");
    if (means.size() != 1) throw Malformed("warming: must be one meaning of jobs");
    one.warming = means.front();
  }
  one.lends = value.flag("lends");
  one.gives_way_s = value.amount("gives_way_s");
  return one;
}

Value to_value(const Head& head) {
  Value::Map map = edition_map(head.now);
  map.emplace(map.begin(), "form", kForm);
  Value::List former;
  for (const Edition& edition : head.former) {
    Value::Map entry = edition_map(edition);
    entry.emplace_back("mark", edition.revision.number());
    former.push_back(std::move(entry));
  }
  map.emplace_back("former", std::move(former));
  return map;
}

Head head_from(const Value& value, Revision revision) {
  judge_form(value);
  Head head;
  head.now = edition_from(value);
  head.now.revision = revision;
  for (const Value& entry : value.list("former")) {
    Edition edition = edition_from(entry);
    edition.revision = Revision(entry.count("mark"));
    const Edition& newer = head.former.empty() ? head.now : head.former.back();
    if (edition.version >= newer.version) throw Malformed("former: must be newest first");
    head.former.push_back(std::move(edition));
  }
  return head;
}

Value to_value(const StageRecord& stage) {
  return Value::Map{{"form", kForm},
                    {"author", stage.author},
                    {"wall_ms", static_cast<std::uint64_t>(std::max<std::int64_t>(0, stage.wall_ms))}};
}

StageRecord stage_from(const Value& value) {
  judge_form(value);
  return {.author = value.text("author"), .wall_ms = static_cast<std::int64_t>(value.count("wall_ms"))};
}

std::string item_key(const ItemKey& key) {
  return kItemPrefix + key.stage + "/" + std::string(name_of(key.kind)) + "/" + std::to_string(key.number);
}

std::optional<ItemKey> item_key_from(std::string_view key) {
  const std::string_view prefix = kItemPrefix;
  if (!key.starts_with(prefix)) return std::nullopt;
  key.remove_prefix(prefix.size());
  const std::size_t first = key.find('/');
  const std::size_t second = first == std::string_view::npos ? first : key.find('/', first + 1);
  if (second == std::string_view::npos || first == 0) return std::nullopt;
  const auto kind = kind_from(key.substr(first + 1, second - first - 1));
  const auto number = number_from(key.substr(second + 1));
  if (!kind || !number || !version_of_stage(key.substr(0, first))) return std::nullopt;
  return ItemKey{.stage = std::string(key.substr(0, first)), .kind = *kind, .number = *number};
}

std::string stage_key(std::string_view stage) { return kStagePrefix + std::string(stage); }

std::optional<Version> version_of_stage(std::string_view stage) {
  const std::size_t dash = stage.find('-');
  if (dash == std::string_view::npos) return std::nullopt;
  const auto number = number_from(stage.substr(0, dash));
  return number ? std::optional(Version(*number)) : std::nullopt;
}

std::vector<Item> items_of(const Set& set) {
  std::vector<Item> items;
  const auto add = [&items](Kind kind, const auto& defs) {
    std::uint64_t number = 0;
    for (const auto& one : defs) {
      items.push_back({.kind = kind, .number = number++, .name = one.name, .data = to_value(one)});
    }
  };
  add(Kind::job_class, set.classes);
  add(Kind::calendar, set.calendar);
  add(Kind::pool, set.pools);
  return items;
}

std::string digest_of(const Set& set) {
  std::string all;
  for (const Item& item : items_of(set)) {
    const std::string bytes = wire::encode(item.data);
    all += std::string(name_of(item.kind)) + " " + std::to_string(bytes.size()) + " " + bytes;
  }
  const XXH128_hash_t hash = XXH3_128bits(all.data(), all.size());
  std::string text;
  for (const std::uint64_t half : {hash.high64, hash.low64}) {
    for (int shift = 60; shift >= 0; shift -= 4) text += "0123456789abcdef"[(half >> shift) & 15];
  }
  return text;
}

void sort_set(Set& set) {
  const auto by_name = [](const auto& left, const auto& right) { return left.name < right.name; };
  std::ranges::stable_sort(set.classes, {}, &ClassDef::order);
  std::ranges::stable_sort(set.calendar, by_name);
  std::ranges::stable_sort(set.pools, by_name);
}

}  // namespace foxshunt::catalog
