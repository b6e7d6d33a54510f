#include "scenarios/scenario.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <fstream>
#include <sstream>
#include <stdexcept>

#include "calendar/civil.h"

namespace foxshunt::standins {

namespace {

constexpr std::size_t kJobDigits = 6;

std::vector<std::string> list(const std::string& text) {
  std::istringstream all(text);
  std::vector<std::string> names;
  for (std::string name; std::getline(all, name, ',');) names.push_back(name);
  return names;
}

JobId numbered_job(std::size_t number) {
  std::string digits = std::to_string(number);
  if (digits.size() < kJobDigits) digits.insert(0, kJobDigits - digits.size(), '0');
  return JobId("j-" + digits);
}

}  // namespace

Scenario::Scenario(const std::filesystem::path& path) : name_(path.filename().string()) {
  std::ifstream file(path);
  std::string line;
  int number = 0;
  while (std::getline(file, line)) {
    ++number;
    const Words words = split(line);
    if (words.empty()) continue;
    try {
      read(words, number);
    } catch (const std::exception& error) {
      throw std::runtime_error(name_ + ":" + std::to_string(number) + ": " + error.what());
    }
  }
  if (end_s_ <= 0) throw std::runtime_error(name_ + ": no end");
}

void Scenario::run() {
  world().run_until(end_s_);
  for (const std::string& broken : world().broken()) ADD_FAILURE() << broken;
  EXPECT_GT(expectations_, 0) << "a scenario expects something";
}

World& Scenario::world() {
  if (!world_) {
    settings_.nodes = nodes_;
    world_ = std::make_unique<World>(settings_, supplies_, nodes_, seed_);
    if (!pools_.empty()) world_->declare_pools(pools_);
  }
  return *world_;
}

void Scenario::read(const Words& words, int line) {
  const std::string& verb = words[0];
  if (verb == "seed")
    seed_ = static_cast<unsigned>(count_from(words.at(1), "seed"));
  else if (verb == "nodes")
    nodes_ = count_from(words.at(1), "nodes");
  else if (verb == "settings")
    read_settings(words);
  else if (verb == "type")
    read_type(words);
  else if (verb == "team")
    read_team(words);
  else if (verb == "objective")
    read_objective(words);
  else if (verb == "class")
    read_class(words);
  else if (verb == "shared_fetches")
    world().let_fetches_share();
  else if (verb == "drift")
    world().let_clocks_drift(number_from(words.at(1), "drift"));
  else if (verb == "calendar")
    read_calendar(words);
  else if (verb == "up")
    world().start_up(words.at(1), words.at(2), count_from(words.at(3), "machines"));
  else if (verb == "pool")
    pools_.push_back(read_pool(words));
  else if (verb == "end")
    end_s_ = number_from(words.at(1), "end");
  else if (verb == "at")
    read_event(number_from(words.at(1), "time"), Words(words.begin() + 2, words.end()), line);
  else if (verb == "stream")
    read_stream(words);
  else
    throw std::runtime_error("unknown command " + verb);
}

// stream FROM TO EVERY submit j-000100 ...: like jobs one after the other, numbered on from the first.
// stream FROM TO EVERY cancel j-000100 by 4: of such jobs each fourth.
void Scenario::read_stream(const Words& words) {
  Arguments arguments(words, 1);
  const double from_s = arguments.number("begin");
  const double to_s = arguments.number("end");
  const double every_s = arguments.number("interval");
  if (every_s <= 0) throw std::runtime_error("interval is not positive");
  const std::string verb = arguments.choice("event of a stream", {"submit", "cancel"});
  const std::string first = arguments.text("job");
  std::size_t number = count_from(first.substr(std::min<std::size_t>(2, first.size())), "number of the first job");
  if (verb == "cancel") {
    (void)arguments.choice("word", {"by"});
    const std::size_t step = arguments.count("step");
    arguments.finish();
    for (double at_s = from_s; at_s < to_s; at_s += every_s, number += step) {
      schedule(at_s, [this, id = numbered_job(number)] { world().cancel(id); });
    }
    return;
  }
  Submission submission = read_job(Words(words.begin() + 4, words.end()));
  for (double at_s = from_s; at_s < to_s; at_s += every_s) {
    submission.spec.id = numbered_job(number++);
    schedule(at_s, [this, submission] { world().submit(submission); });
  }
}

void Scenario::read_settings(const Words& words) {
  Options options(words, 1, {});
  settings_.heartbeat_interval_s = options.number("report", 1);
  settings_.lease_s = options.number("lease", 10);
  settings_.cancel_s = options.number("cancel", 40);
  settings_.gang_wait_s = options.number("gang_wait", 45);
  settings_.gang_peer_s = options.number("gang_peer", 4);
  settings_.state_txn_ops = static_cast<std::size_t>(options.number("txn_ops", 12));
  settings_.cloud_list_delay_s = options.number("list_lag", 5);
  settings_.operators.idle_return_s = options.number("idle_return", 0);
  settings_.operators.can_scale_out = options.enabled("may_rent", true);
  settings_.operators.preemption = options.enabled("preemption", false);
  settings_.operators.zone_lease_delegation = options.enabled("zone_grants", false);
  settings_.operators.zone_watch = options.enabled("zone_watch", false);
  settings_.operators.standby = options.enabled("standby", false);
  settings_.operators.zone_evacuation = options.enabled("zone_evacuation", false);
  if (const std::string zone = options.text("out_of_service"); !zone.empty()) settings_.operators.zones_out = {zone};
  options.finish();
  settings_.state_rps = 250;
  settings_.state_write_rps = 50;
  settings_.state_value_kb = 8;
  settings_.cloud_rps = 2;
  settings_.skew_ms = 50;
}

void Scenario::read_type(const Words& words) {
  Options options(words, 2, {});
  Supply supply;
  supply.type.name = words.at(1);
  supply.type.cpus = options.number("cpus");
  supply.type.gpus = options.number("gpus");
  supply.type.ram_gb = options.number("ram", 64);
  supply.type.cache_gb = 100;
  supply.type.fetch_gb_per_s = options.number("fetch", 0.5);
  supply.type.price = options.number("price", 1);
  supply.type.spot_price = options.number("spot_price", supply.type.price / 3);
  supply.type.boot_s = options.number("boot", 15);
  std::istringstream zones(options.text("zones", "a"));
  for (std::string zone; std::getline(zones, zone, ',');) supply.type.zones.push_back(zone);
  supply.each_zone = static_cast<std::size_t>(options.number("each_zone"));
  supply.spot_each_zone = static_cast<std::size_t>(options.number("spot_each_zone"));
  options.finish();
  settings_.zones = supply.type.zones;
  supplies_.push_back(supply);
}

void Scenario::read_team(const Words& words) {
  Options options(words, 2, {});
  settings_.teams.push_back({.name = words.at(1),
                             .cpus = options.number("cpus"),
                             .cpus_max = options.number("cpus_max"),
                             .gpus = options.number("gpus"),
                             .gpus_max = options.number("gpus_max")});
  options.finish();
}

void Scenario::read_objective(const Words& words) {
  Options options(words, 2, {});
  settings_.objectives.push_back({.kind = words.at(1),
                                  .job_class = options.text("class"),
                                  .within_s = options.number("within"),
                                  .share = options.number("share", 0.9)});
  options.finish();
}

catalog::PoolDef Scenario::read_pool(const Words& words) {
  Options options(words, 2, {"spot"});
  catalog::PoolDef pool{.name = words.at(1)};
  for (const std::string& image : list(options.text("images"))) {
    const std::size_t colon = image.find(':');
    pool.images.push_back(
        {.image = image.substr(0, colon), .gb = number_from(image.substr(colon + 1), "size of an image")});
  }
  pool.types = list(options.text("types"));
  pool.zones = list(options.text("zones"));
  pool.spot = options.flag("spot");
  pool.least = static_cast<std::uint32_t>(options.number("least"));
  pool.most = static_cast<std::uint32_t>(options.number("most", pool.least));
  pool.peak_days = options.number("peak_days");
  if (options.enabled("windows", false)) pool.windows.push_back({.time_zone = "UTC"});
  pool.payer = options.text("payer", "red");
  if (const double ceiling = options.number("ceiling"); ceiling > 0) pool.ceiling_hour = ceiling;
  for (const std::string& job_class : list(options.text("users"))) pool.users.push_back({.job_classes = {job_class}});
  if (const std::string warming = options.text("warming"); !warming.empty())
    pool.warming = catalog::JobMatch{.job_classes = {warming}};
  pool.lends = options.enabled("lends", true);
  pool.gives_way_s = options.number("gives_way");
  options.finish();
  return pool;
}

void Scenario::read_class(const Words& words) {
  Options options(words, 2, {});
  catalog::ClassDef one;
  one.name = words.at(1);
  one.order = static_cast<std::uint32_t>(catalog_.classes.size());
  one.takes = {{.job_classes = {options.text("takes", one.name)}}};
  one.standing = static_cast<std::uint32_t>(options.number("standing"));
  if (const double wait_s = options.number("wait_most"); wait_s > 0) one.wait_most_s = wait_s;
  one.age_every_s = options.number("age_every");
  one.age_most = static_cast<std::uint32_t>(options.number("age_most"));
  if (const std::string other = options.text("never_passes"); !other.empty()) one.never_passes = {other};
  if (const double cpus = options.number("cap"); cpus > 0) one.cpus_most["red"] = cpus;
  options.finish();
  catalog_.classes.push_back(one);
  catalog_.version = catalog_.version.next();
  world().declare(catalog_);
}

void Scenario::read_calendar(const Words& words) {
  Options options(words, 2, {});
  catalog::CalendarDef entry{.name = words.at(1), .time_zone = "Etc/UTC"};
  entry.jobs = {{.job_classes = {options.text("jobs", entry.name)}}};
  const std::int64_t due_ms = world().wall_ms_at(options.number("due"));
  if (due_ms % 60'000 != 0) throw std::runtime_error("due: 20, 80, 140, ... are whole minutes");
  const std::string due = calendar::utc_text(due_ms);  // 2027-03-28T02:30:00Z
  entry.dates = {due.substr(0, 10)};
  entry.at = due.substr(11, 5);
  entry.opens_before_s = options.number("opens");
  entry.lead_s = options.number("lead");
  entry.expected_jobs = static_cast<std::uint32_t>(options.number("expected"));
  options.finish();
  catalog_.calendar.push_back(entry);
  catalog_.version = catalog_.version.next();
  world().declare(catalog_);
}

Submission Scenario::read_job(const Words& words) {
  Options options(words, 2, {"one_zone", "spread", "spot"});
  Submission submission;
  wire::JobSpec& spec = submission.spec;
  spec.id = JobId(words.at(1));
  const std::string kind = options.choice("kind", {"array", "gang", "service"}, "array");
  spec.kind = kind == "gang" ? wire::JobKind::gang : kind == "service" ? wire::JobKind::service : wire::JobKind::array;
  const std::string priority = options.choice("priority", {"production", "high", "standard", "low"}, "standard");
  spec.priority = priority == "production" ? wire::Priority::production
                  : priority == "high"     ? wire::Priority::high
                  : priority == "low"      ? wire::Priority::best_effort
                                           : wire::Priority::standard;
  spec.team = options.text("team", "red");
  spec.job_class = options.text("class", "work");
  spec.tasks = static_cast<std::uint32_t>(options.number("tasks", 1));
  spec.cpus = options.number("cpus", 1);
  spec.gpus = options.number("gpus", 0);
  spec.ram_gb = options.number("ram", 1);
  spec.image = options.text("image", "img");
  spec.image_gb = options.number("image_gb", 0);
  if (const std::string types = options.text("types"); !types.empty()) spec.types = {types};
  spec.zone = options.text("zone");
  spec.one_zone = options.flag("one_zone");
  spec.spread = options.flag("spread");
  spec.spot = options.flag("spot");
  submission.run_s = options.number("run", 10);
  spec.estimate_s = spec.kind == wire::JobKind::service ? 0 : options.number("estimate", submission.run_s);
  spec.checkpoint_s = options.number("checkpoint", 0);
  spec.save_s = options.number("save", 0);
  if (const double deadline_s = options.number("deadline"); deadline_s > 0) spec.deadline_s = deadline_s;
  options.finish();
  return submission;
}

}  // namespace foxshunt::standins
