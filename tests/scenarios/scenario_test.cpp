// Runs the scenarios of this folder: small text files, one command a line, told in README.md beside them.
#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>

#include "calendar/civil.h"
#include "standins/world.h"

namespace foxshunt::standins {
namespace {

using Words = std::vector<std::string>;

Words split(const std::string& line) {
  std::istringstream text(line.substr(0, line.find('#')));
  Words words;
  for (std::string word; text >> word;) words.push_back(word);
  return words;
}

// Reads `key value` pairs and lone flags from the rest of a line.
class Options {
 public:
  Options(const Words& words, std::size_t from, const std::set<std::string>& flags) {
    for (std::size_t at = from; at < words.size(); ++at) {
      if (flags.contains(words[at])) {
        values_[words[at]] = "yes";
      } else if (at + 1 < words.size()) {
        values_[words[at]] = words[at + 1];
        ++at;
      } else {
        throw std::runtime_error("no value for " + words[at]);
      }
    }
  }
  [[nodiscard]] std::string text(const std::string& key, const std::string& otherwise = "") {
    used_.insert(key);
    const auto found = values_.find(key);
    return found == values_.end() ? otherwise : found->second;
  }
  [[nodiscard]] double number(const std::string& key, double otherwise = 0) {
    const std::string found = text(key);
    return found.empty() ? otherwise : std::stod(found);
  }
  [[nodiscard]] bool flag(const std::string& key) { return !text(key).empty(); }
  void finish() const {
    for (const auto& [key, unused] : values_) {
      if (!used_.contains(key)) throw std::runtime_error("unknown word " + key);
    }
  }

 private:
  std::map<std::string, std::string> values_;
  std::set<std::string> used_;
};

class Scenario {
 public:
  explicit Scenario(const std::filesystem::path& path) {
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
        throw std::runtime_error(path.filename().string() + ":" + std::to_string(number) + ": " + error.what());
      }
    }
    if (end_s_ <= 0) throw std::runtime_error(path.filename().string() + ": no end");
  }

  void run() {
    world().run_until(end_s_);
    for (const std::string& broken : world().broken()) ADD_FAILURE() << broken;
    EXPECT_GT(expectations_, 0) << "a scenario expects something";
  }

 private:
  World& world() {
    if (!world_) {
      settings_.nodes = nodes_;
      world_ = std::make_unique<World>(settings_, supplies_, nodes_, seed_);
      if (!pools_.empty()) world_->declare_pools(pools_);
    }
    return *world_;
  }

  static MachineId machine(const std::string& name) { return MachineId(name); }
  static std::size_t node(const std::string& name) { return std::stoul(name); }

  // The machines of a trouble: `m-000001`, `share P` or `zone Z`.
  std::vector<MachineId> machines(const Words& words) {
    if (words.at(1) == "share") return world().some_machines(std::stod(words.at(2)));
    if (words[1] == "zone") return world().machines_in(words.at(2));
    return {machine(words[1])};
  }

  // The node of a trouble: its number, or `leader` at that moment.
  std::size_t which(const std::string& name) { return name == "leader" ? world().leader().value_or(0) : node(name); }

  void read(const Words& words, int line) {
    const std::string& verb = words[0];
    if (verb == "seed")
      seed_ = static_cast<unsigned>(std::stoul(words.at(1)));
    else if (verb == "nodes")
      nodes_ = node(words.at(1));
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
      world().let_clocks_drift(std::stod(words.at(1)));
    else if (verb == "calendar")
      read_calendar(words);
    else if (verb == "up")
      world().start_up(words.at(1), words.at(2), std::stoul(words.at(3)));
    else if (verb == "pool")
      pools_.push_back(read_pool(words));
    else if (verb == "end")
      end_s_ = std::stod(words.at(1));
    else if (verb == "at")
      read_event(std::stod(words.at(1)), Words(words.begin() + 2, words.end()), line);
    else if (verb == "stream")
      read_stream(words);
    else
      throw std::runtime_error("unknown command " + verb);
  }

  // stream FROM TO EVERY submit j-000100 ...: like jobs one after the other, numbered on from the first.
  // stream FROM TO EVERY cancel j-000100 by 4: of such jobs each fourth.
  void read_stream(const Words& words) {
    if (words.at(4) == "cancel") {
      unsigned long number = std::stoul(words.at(5).substr(2));
      for (double at_s = std::stod(words.at(1)); at_s < std::stod(words.at(2)); at_s += std::stod(words.at(3))) {
        char name[32];
        std::snprintf(name, sizeof name, "j-%06lu", number);
        number += std::stoul(words.at(7));
        world().at(at_s, [this, id = JobId(name)] { world().cancel(id); });
      }
      return;
    }
    Submission submission = read_job(Words(words.begin() + 4, words.end()));
    unsigned long number = std::stoul(submission.spec.id.text().substr(2));
    for (double at_s = std::stod(words.at(1)); at_s < std::stod(words.at(2)); at_s += std::stod(words.at(3))) {
      char name[32];
      std::snprintf(name, sizeof name, "j-%06lu", number++);
      submission.spec.id = JobId(name);
      world().at(at_s, [this, submission] { world().submit(submission); });
    }
  }

  void read_settings(const Words& words) {
    Options options(words, 1, {});
    settings_.report_s = options.number("report", 1);
    settings_.lease_s = options.number("lease", 10);
    settings_.cancel_s = options.number("cancel", 40);
    settings_.gang_wait_s = options.number("gang_wait", 45);
    settings_.gang_peer_s = options.number("gang_peer", 4);
    settings_.state_txn_ops = static_cast<std::size_t>(options.number("txn_ops", 12));
    settings_.cloud_list_lag_s = options.number("list_lag", 5);
    settings_.operators.idle_return_s = options.number("idle_return", 0);
    settings_.operators.may_rent = options.text("may_rent", "yes") == "yes";
    settings_.operators.preemption = options.text("preemption", "no") == "yes";
    settings_.operators.zone_grants = options.text("zone_grants", "no") == "yes";
    settings_.operators.zone_watch = options.text("zone_watch", "no") == "yes";
    settings_.operators.standby = options.text("standby", "no") == "yes";
    settings_.operators.zone_evacuation = options.text("zone_evacuation", "no") == "yes";
    if (const std::string zone = options.text("out_of_service"); !zone.empty()) settings_.operators.zones_out = {zone};
    options.finish();
    settings_.state_rps = 250;
    settings_.state_write_rps = 50;
    settings_.state_value_kb = 8;
    settings_.cloud_rps = 2;
    settings_.skew_ms = 50;
  }

  void read_type(const Words& words) {
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

  void read_team(const Words& words) {
    Options options(words, 2, {});
    settings_.teams.push_back({.name = words.at(1),
                               .cpus = options.number("cpus"),
                               .cpus_max = options.number("cpus_max"),
                               .gpus = options.number("gpus"),
                               .gpus_max = options.number("gpus_max")});
    options.finish();
  }

  void read_objective(const Words& words) {
    Options options(words, 2, {});
    settings_.objectives.push_back({.kind = words.at(1),
                                    .job_class = options.text("class"),
                                    .within_s = options.number("within"),
                                    .share = options.number("share", 0.9)});
    options.finish();
  }

  static std::vector<std::string> list(const std::string& text) {
    std::istringstream all(text);
    std::vector<std::string> names;
    for (std::string name; std::getline(all, name, ',');) names.push_back(name);
    return names;
  }

  static catalog::PoolDef read_pool(const Words& words) {
    Options options(words, 2, {"spot"});
    catalog::PoolDef pool{.name = words.at(1)};
    for (const std::string& image : list(options.text("images"))) {
      const std::size_t colon = image.find(':');
      pool.images.push_back({.image = image.substr(0, colon), .gb = std::stod(image.substr(colon + 1))});
    }
    pool.types = list(options.text("types"));
    pool.zones = list(options.text("zones"));
    pool.spot = options.flag("spot");
    pool.least = static_cast<std::uint32_t>(options.number("least"));
    pool.most = static_cast<std::uint32_t>(options.number("most", pool.least));
    pool.peak_days = options.number("peak_days");
    if (options.text("windows", "no") == "yes") pool.windows.push_back({.time_zone = "UTC"});
    pool.payer = options.text("payer", "red");
    if (const double ceiling = options.number("ceiling"); ceiling > 0) pool.ceiling_hour = ceiling;
    for (const std::string& job_class : list(options.text("users"))) pool.users.push_back({.job_classes = {job_class}});
    if (const std::string warming = options.text("warming"); !warming.empty())
      pool.warming = catalog::JobMatch{.job_classes = {warming}};
    pool.lends = options.text("lends", "yes") == "yes";
    pool.gives_way_s = options.number("gives_way");
    options.finish();
    return pool;
  }

  void read_class(const Words& words) {
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

  void read_calendar(const Words& words) {
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

  // `at_risk`, `met`, ...: its only occurrence, as the leader knows it; `why WORD`: a reason has the word.
  void expect_calendar(const Words& words) {
    if (words.at(2) == "alike") {
      EXPECT_TRUE(world().alike());
      return;
    }
    const calendar::Keeper* keeper = world().calendar(world().leader().value_or(0));
    ASSERT_NE(keeper, nullptr);
    for (const auto& [key, known] : keeper->occurrences()) {
      const calendar::Occurrence& one = known.seen;
      if (one.entry != words.at(2)) continue;
      std::string state(calendar::name_of(one.state));
      std::ranges::replace(state, ' ', '_');
      std::string reasons;
      for (const std::string& reason : one.reasons) reasons += reason + "; ";
      if (words.at(3) == "why") {
        std::string part = words.at(4);
        std::ranges::replace(part, '_', ' ');
        EXPECT_NE(reasons.find(part), std::string::npos) << part << " is not in: " << reasons;
      } else {
        EXPECT_EQ(state, words.at(3)) << reasons;
      }
      return;
    }
    ADD_FAILURE() << "no occurrence of " << words.at(2);
  }

  void read_event(double when_s, const Words& words, int line) {
    const std::string& verb = words.at(0);
    const auto does = [&](std::function<void()> what) { world().at(when_s, std::move(what)); };
    if (verb == "submit") {
      does([this, submission = read_job(words)] { world().submit(submission); });
    } else if (verb == "cancel") {
      does([this, id = JobId(words.at(1))] { world().cancel(id); });
    } else if (verb == "crash") {
      const bool repeated = words.size() > 3 && words[3] == "times";
      const double every_s = repeated ? std::stod(words.at(6)) : 0;
      for (int i = repeated ? std::stoi(words.at(4)) : 1; i > 0; --i, when_s += every_s) {
        does([this, words] {
          const std::size_t one = words.at(1) == "all" ? 0 : which(words.at(1));
          for (std::size_t each = 0; each < nodes_; ++each) {
            if (words.at(1) == "all" || one == each) world().crash(each, std::stod(words.at(2)));
          }
        });
      }
    } else if (verb == "crash_during") {
      const auto name = std::ranges::find_if(kMomentNames, [&](const char* one) { return words.at(1) == one; });
      if (name == kMomentNames.end()) throw std::runtime_error("no such moment: " + words.at(1));
      does([this, moment = static_cast<Moment>(name - kMomentNames.begin()), for_s = std::stod(words.at(2))] {
        world().crash_during(moment, for_s);
      });
    } else if (verb == "late_copies") {
      does([this, on = words.at(1) == "on"] { world().late_copies(on); });
    } else if (verb == "outage") {
      does([this, words] {
        if (words.at(1) == "state")
          world().state_outage(std::stod(words.at(2)));
        else
          world().cloud_outage(std::stod(words.at(2)));
      });
    } else if (verb == "cut_state") {  // of a node
      does([this, words] {
        const std::set<std::string> flags(words.begin() + 3, words.end());
        const std::size_t node = which(words.at(1));
        world().cut_node_from_state(node, std::stod(words.at(2)), flags.contains("hold"));
        if (flags.contains("peers")) world().cut_node_from_siblings(node, std::stod(words[2]));
      });
    } else if (verb == "late") {
      const auto name = std::ranges::find_if(kDutyNames, [&](const char* one) { return words.at(1) == one; });
      if (name == kDutyNames.end() && words.at(1) != "all") throw std::runtime_error("no such duty: " + words.at(1));
      does([this, words, name] {
        for (std::size_t duty = 0; duty < kDutyNames.size(); ++duty) {
          if (name != kDutyNames.end() && name != kDutyNames.begin() + duty) continue;
          world().delay_duty(which(words.at(2)), static_cast<Duty>(duty), std::stod(words.at(3)));
        }
      });
    } else if (verb == "cut_workers") {
      does([this, words] { world().cut_node_from_workers(which(words.at(1)), std::stod(words.at(2))); });
    } else if (verb == "cut_siblings") {
      does([this, words] { world().cut_siblings(std::stod(words.at(1))); });
    } else if (verb == "cut_zone") {
      does([this, words] {
        world().cut_zone(words.at(1), std::stod(words.at(2)), words.size() > 3 && words[3] == "hold");
      });
    } else if (verb == "lose_zone") {
      does([this, words] { world().lose_zone(words.at(1), std::stod(words.at(2))); });
    } else if (verb == "cut") {
      does([this, words] {
        world().cut_worker(machine(words.at(1)), std::stod(words.at(2)), words.size() > 3 && words[3] == "hold");
      });
    } else if (verb == "hang") {
      does([this, words] { world().hang(machine(words.at(1)), std::stod(words.at(2))); });
    } else if (verb == "die") {
      does([this, words] { world().die(machine(words.at(1))); });
    } else if (verb == "notice") {
      does([this, words] { world().notice(machine(words.at(1)), std::stod(words.at(2))); });
    } else if (verb == "faulty") {
      does([this, words] { world().make_faulty(machine(words.at(1))); });
    } else if (verb == "refuse_state") {
      does([this, words] { world().refuse_state(which(words.at(1)), std::stod(words.at(2))); });
    } else if (verb == "late_writes") {
      does([this, words] {
        world().late_writes(std::stod(words.at(1)), std::stod(words.at(2)), words.size() > 3 && words[3] == "at_once");
      });
    } else if (verb == "late_reports") {
      does([this, words] {
        world().late_reports(std::stod(words.at(1)), std::stod(words.at(2)),
                             words.size() > 3 && words[3] == "for_next");
      });
    } else if (verb == "late_commands") {
      does([this, words] { world().late_commands(std::stod(words.at(1)), std::stod(words.at(2))); });
    } else if (verb == "slow_state") {
      does([this, words] { world().slow_state(std::stod(words.at(1))); });
    } else if (verb == "slow_links") {
      does([this, words] { world().slow_links(std::stod(words.at(1))); });
    } else if (verb == "cancel_now") {
      does([this, words] {
        world().cancel_now(std::stoul(words.at(1)), words.size() > 3 && words[2] == "hang" ? std::stod(words[3]) : 0);
      });
    } else if (verb == "cancel_at_end") {
      does([this, words] { world().cancel_at_end(std::stod(words.at(1)), std::stod(words.at(2))); });
    } else if (verb == "odd_requests") {
      does([this, words] { world().odd_requests(std::stod(words.at(1))); });
    } else if (verb == "close_looks") {
      does([this, words] { world().close_looks(std::stod(words.at(1))); });
    } else if (verb == "quick_boots") {
      does([this, words] { world().quick_boots(std::stod(words.at(1))); });
    } else if (verb == "deaf" || verb == "mute" || verb == "hold_commands") {
      does([this, words, verb] {
        for (const MachineId& id : machines(words)) {
          if (verb == "hold_commands") world().hold_commands(id, std::stod(words.back()));
          if (verb == "deaf") world().make_deaf(id, std::stod(words.back()));
          if (verb == "mute") world().make_mute(id, std::stod(words.back()));
        }
      });
    } else if (verb == "withdraw_type") {
      does([this, type = words.at(1)] { world().withdraw_type(type); });
    } else if (verb == "windows") {
      does([this, words] { world().open_windows(words.at(1) == "open"); });
    } else if (verb == "expect") {
      ++expectations_;
      does([this, words, line] { expect(words, line); });
    } else {
      throw std::runtime_error("unknown event " + verb);
    }
  }

  Submission read_job(const Words& words) {
    Options options(words, 2, {"one_zone", "spread", "spot"});
    Submission submission;
    wire::JobSpec& spec = submission.spec;
    spec.id = JobId(words.at(1));
    const std::string kind = options.text("kind", "array");
    spec.kind = kind == "gang"      ? wire::JobKind::gang
                : kind == "service" ? wire::JobKind::service
                                    : wire::JobKind::array;
    const std::string priority = options.text("priority", "standard");
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

  void expect(const Words& words, int line) {
    SCOPED_TRACE("line " + std::to_string(line));
    const std::string& what = words.at(1);
    if (what.starts_with("j-") && what.find('/') == std::string::npos) {
      const JobId id(what);
      const std::string& verb = words.at(2);
      if (verb == "started") {  // before T | after T | never
        const auto start = world().first_start_s(id);
        if (words.at(3) == "never") {
          EXPECT_FALSE(start) << "started at " << start.value_or(0);
        } else {
          ASSERT_TRUE(start) << "not started";
          if (words[3] == "before") {
            EXPECT_LT(*start, std::stod(words.at(4)));
          } else {
            EXPECT_GE(*start, std::stod(words.at(4)));
          }
        }
        return;
      }
      const auto status = world().ask(id);
      ASSERT_TRUE(status) << "no such job";
      EXPECT_EQ(wire::name_of(status->state), verb);
      return;
    }
    if (what.starts_with("j-")) {
      const TaskKey task = *wire::task_key_from(what);
      if (words.at(2) == "on") {
        ASSERT_EQ(world().where(task).size(), 1U) << "is on no machine, or on several";
        EXPECT_EQ(world().where(task).front(), machine(words.at(3)));
      } else if (words.at(2) == "nowhere") {
        EXPECT_TRUE(world().where(task).empty());
      } else if (words.at(2) == "starts") {
        EXPECT_EQ(world().starts_of(task), std::stoul(words.at(3)));
      } else {
        throw std::runtime_error("unknown expectation " + words[2]);
      }
      return;
    }
    if (what == "calendar") {  // alike | NAME STATE | NAME why WORD
      expect_calendar(words);
      return;
    }
    if (what == "queue") {  // alike | order JOB…
      std::vector<World::Queue> seen;
      for (std::size_t each = 0; each < nodes_; ++each) {
        if (const auto queue = world().queue(each)) seen.push_back(*queue);
      }
      ASSERT_GE(seen.size(), 2U) << "too few nodes follow the records";
      for (const World::Queue& one : seen) {
        EXPECT_EQ(one.basis, seen.front().basis) << "not a quiet moment";
        EXPECT_EQ(one.digest, seen.front().digest);
      }
      if (words.at(2) != "order") return;
      std::vector<JobId> expected;
      for (std::size_t at = 3; at < words.size(); ++at) expected.emplace_back(words[at]);
      EXPECT_EQ(seen.front().jobs, expected);
      ASSERT_TRUE(world().leader());
      std::vector<JobId> planned;
      for (const classes::Rank& rank : world().engine(*world().leader()).ranking().order()) {
        if (rank.place > 0) planned.push_back(rank.job);
      }
      EXPECT_EQ(planned, expected) << "as the leader plans";
      return;
    }
    if (what == "served" && words.at(2) == "verdicts") {
      for (const std::string& verdict : world().served_verdicts()) ADD_FAILURE() << verdict;
    } else if (what == "served") {  // at_least SHARE, of each class, each team and each class's largest jobs
      for (const Served::Share& share : world().shares())
        EXPECT_GE(share.share(), std::stod(words.at(3))) << share.text();
    } else if (what == "crashes") {  // nothing waits for its moment any more
      EXPECT_EQ(world().crashes_left(), 0U);
    } else if (what == "zone") {  // NAME STATE, as the leader sees it
      ASSERT_TRUE(world().leader());
      std::string state = words.at(3);
      if (words.size() > 4) state += " " + words[4];
      EXPECT_EQ(zone::name_of(world().engine(*world().leader()).zones().of(words.at(2))), state);
    } else if (what == "pool") {  // NAME wanted/held/warm/in_use/warming/lent/asked exactly/at_least/at_most N
      expect_pool(words);
    } else if (what == "rentals") {  // of pools
      EXPECT_EQ(world().pool_rentals(), std::stoul(words.at(2)));
    } else if (what == "digests") {  // equal
      EXPECT_TRUE(world().digests_equal());
    } else if (what == "killed") {  // tasks, by their workers' leases so far
      EXPECT_EQ(world().killed_by_lease(), std::stoul(words.at(2)));
    } else if (what == "granted") {  // reports answered by what a node was granted: none | some
      EXPECT_EQ(world().answered_by_grant() > 0, words.at(2) == "some");
    } else if (what == "hints") {  // taken by new leaders: N
      EXPECT_EQ(world().hints_taken(), std::stoul(words.at(2)));
    } else if (what == "rented") {  // machines, by all leaders so far: N
      EXPECT_EQ(world().rented(), std::stoul(words.at(2)));
    } else if (what == "machines") {  // exactly | at_least | at_most N
      const std::size_t count = std::stoul(words.at(3));
      if (words.at(2) == "at_least") {
        EXPECT_GE(world().machines_up(), count);
      } else if (words[2] == "at_most") {
        EXPECT_LE(world().machines_up(), count);
      } else {
        EXPECT_EQ(world().machines_up(), count);
      }
    } else if (what == "struck") {  // TROUBLE at_least N, by its command
      EXPECT_GE(world().struck(words.at(2)), std::stoul(words.at(4)));
    } else if (what == "clocks") {  // apart SECONDS, at least
      EXPECT_GE(world().clocks_apart_s(), std::stod(words.at(3)));
    } else if (what == "leader") {
      ASSERT_TRUE(world().leader());
      if (words.at(2) != "any") {
        EXPECT_EQ(*world().leader(), node(words[2]));
      }
    } else {
      throw std::runtime_error("unknown expectation " + what);
    }
  }

  void expect_pool(const Words& words) {
    ASSERT_TRUE(world().leader());
    const std::vector<pools::PoolView> views = world().pools(*world().leader())->pools();
    const auto view = std::ranges::find(views, words.at(2), &pools::PoolView::name);
    ASSERT_NE(view, views.end()) << "no such pool";
    const std::string& figure = words.at(3);
    if (figure == "why") {
      const std::string& part = words.at(4);
      EXPECT_TRUE(part == "nothing" ? view->why.empty() : view->why.find(part) != std::string::npos) << view->why;
      return;
    }
    const std::map<std::string, std::uint32_t> figures{
        {"wanted", view->wanted},   {"held", view->held}, {"warm", view->warm},  {"in_use", view->in_use},
        {"warming", view->warming}, {"lent", view->lent}, {"asked", view->asked}};
    const std::uint32_t is = figures.at(figure);
    const auto most = static_cast<std::uint32_t>(std::stoul(words.at(5)));
    if (words.at(4) == "at_least") {
      EXPECT_GE(is, most);
    } else if (words[4] == "at_most") {
      EXPECT_LE(is, most);
    } else {
      EXPECT_EQ(is, most);
    }
  }

  unsigned seed_ = 1;
  std::size_t nodes_ = 3;
  double end_s_ = 0;
  int expectations_ = 0;
  config::Settings settings_;
  std::vector<Supply> supplies_;
  std::vector<catalog::PoolDef> pools_;
  catalog::Set catalog_;
  std::unique_ptr<World> world_;
};

std::vector<std::filesystem::path> scenario_files() {
  std::vector<std::filesystem::path> files;
  for (const auto& entry : std::filesystem::directory_iterator(FOXSHUNT_SCENARIOS)) {
    if (entry.path().extension() == ".txt") files.push_back(entry.path().filename());
  }
  std::ranges::sort(files);
  return files;
}

class Scenarios : public testing::TestWithParam<std::filesystem::path> {};

TEST_P(Scenarios, Holds) {
  const char* level = std::getenv("LOG_LEVEL");
  spdlog::set_level(level == nullptr ? spdlog::level::off : spdlog::level::from_str(level));
  Scenario(std::filesystem::path(FOXSHUNT_SCENARIOS) / GetParam()).run();
}

INSTANTIATE_TEST_SUITE_P(Files, Scenarios, testing::ValuesIn(scenario_files()), [](const auto& info) {
  std::string name = info.param.stem().string();
  std::ranges::replace(name, '-', '_');
  return name;
});

}  // namespace
}  // namespace foxshunt::standins
