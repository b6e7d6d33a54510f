// The state service refuses the leader alone, another controller confirms cancellations, then nobody reaches the state
// service for longer than `cancel_s` while the workers keep reporting to the old leader: the tasks are gone in time all the
// same. The moments are swept against each other by half reports, on every path that renews a lease; docs/design.md,
// "Refused alone, then an outage", has the argument.
#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include <array>
#include <cstdlib>
#include <random>

#include "control/times.h"
#include "standins/world.h"

namespace foxshunt::standins {
namespace {

#ifdef FOXSHUNT_SMALL_DAYS
constexpr std::size_t kSamples = 40;  // of a seed
constexpr unsigned kDays = 10;
#else
constexpr std::size_t kSamples = 300;
constexpr unsigned kDays = 60;
#endif
constexpr double kRefused = 12;    // s; the first moment: all that is to run runs by then
constexpr double kSettles = 20;    // s after the outage
constexpr double kLook = 0.1;      // s between two looks at what runs
constexpr double kDrift = 0.0005;  // PROTOCOL: steady clocks drift apart by so much
const JobId kService("j-000001");  // both are cancelled
const JobId kArray("j-000002");

// How workers' reports come to be answered.
enum class Path : std::uint8_t {
  direct,  // by the leader, which siblings tell of a successor
  alone,   // by the leader, which hears of no sibling
  relay,   // by the leader, through siblings: it hears no worker itself
  holder,  // by siblings: neither they nor workers hear the leader
  heir,    // the same, but siblings hear it until half its fence is over: what it grants last is old by then
};
enum class Returns : std::uint8_t { before_outage, in_outage, after_outage };
enum class Restart : std::uint8_t { none, quick_in_refusal, slow_in_refusal, quick_in_outage, slow_in_outage };

// One case of a refusal followed by an outage. Moments are counted in half reports.
struct RefusalCase {
  bool long_spans = false;
  int cancel = 1;                        // after the refusal began
  int outage = 0;                        // after the cancellations; 0: a tenth of a second
  Returns returns = Returns::in_outage;  // when the refusal ends
  int phase = 0;                         // of the refusal, against renewals of the leader's lease and reports
  Path path = Path::direct;
  bool delegations = false;
  Restart restart = Restart::none;  // of the old leader
  bool frozen = false;              // the old leader gets no turn while its fence ends
  int longer = 2;                   // the outage, than `cancel_s`
  bool standby = false;
  int drift = 0;          // of workers against controllers: -1, 0, 1
  bool hung = false;      // a machine with a cancelled task, over the cancellations
  std::size_t other = 1;  // which controller confirms, counted from the old leader

  [[nodiscard]] std::string text() const {
    static constexpr std::array kPaths{"direct", "alone", "relay", "holder", "heir"};
    static constexpr std::array kReturns{"before the outage", "in the outage", "after the outage"};
    static constexpr std::array kRestarts{"none", "quick in the refusal", "slow in the refusal", "quick in the outage",
                                          "slow in the outage"};
    return std::string(long_spans ? "long" : "short") + " spans, cancel " + std::to_string(cancel) + ", outage " +
           std::to_string(outage) + ", refusal ends " + kReturns[static_cast<std::size_t>(returns)] + ", phase " +
           std::to_string(phase) + ", path " + kPaths[static_cast<std::size_t>(path)] +
           (delegations ? " with grants" : "") + ", restart " + kRestarts[static_cast<std::size_t>(restart)] +
           (frozen ? ", frozen" : "") + ", longer " + std::to_string(longer) + (standby ? ", standby" : "") +
           ", drift " + std::to_string(drift) + (hung ? ", hung" : "") + ", confirmed by " + std::to_string(other);
  }
};

// Draws a number below its bound; the product of all bounds counts the cases.
using Draw = std::function<int(int)>;

// What is swept against each other comes first.
RefusalCase refusal(const Draw& swept, const Draw& drawn) {
  static constexpr std::array kCancels{1, 2, 3, 4, 5, 6, 8, 12};
  static constexpr std::array kOutages{0, 1, 2, 4};
  static constexpr std::array kLongers{2, 9};
  static constexpr std::array<std::pair<Path, bool>, 8> kPaths{{{Path::direct, false},
                                                                {Path::direct, true},
                                                                {Path::alone, false},
                                                                {Path::alone, true},
                                                                {Path::relay, false},
                                                                {Path::relay, true},
                                                                {Path::holder, true},
                                                                {Path::heir, true}}};
  const auto one_of = [](const Draw& draw, const auto& all) {
    return all[static_cast<std::size_t>(draw(static_cast<int>(all.size())))];
  };
  RefusalCase made;
  made.long_spans = swept(2) == 1;
  made.cancel = one_of(swept, kCancels);
  made.outage = one_of(swept, kOutages);
  made.returns = static_cast<Returns>(swept(3));
  made.phase = swept(2);
  std::tie(made.path, made.delegations) = one_of(swept, kPaths);
  made.restart = static_cast<Restart>(swept(5));
  made.frozen = drawn(3) == 0;
  made.longer = one_of(drawn, kLongers);
  made.standby = drawn(2) == 1;
  made.drift = drawn(3) - 1;
  made.hung = drawn(3) == 0;
  made.other = static_cast<std::size_t>(drawn(2)) + 1;
  return made;
}

config::Settings settings_of(const RefusalCase& refusal) {
  config::Settings settings;
  settings.zones = {"a", "b", "c"};
  settings.nodes = 3;
  settings.teams = {{.name = "red", .cpus = 32, .cpus_max = 64, .gpus = 0, .gpus_max = 0}};
  settings.heartbeat_interval_s = refusal.long_spans ? 3 : 1;
  settings.lease_s = refusal.long_spans ? 27 : 10;
  settings.cancel_s = refusal.long_spans ? 57 : 40;
  settings.gang_wait_s = 45;
  settings.gang_peer_s = 4;
  settings.state_rps = 250;
  settings.state_write_rps = 50;
  settings.state_value_kb = 8;
  settings.state_txn_ops = 12;
  settings.cloud_rps = 2;
  settings.cloud_list_delay_s = 5;
  settings.skew_ms = 50;
  settings.operators.zone_lease_delegation = settings.operators.zone_watch = refusal.delegations;
  settings.operators.standby = refusal.standby;
  return settings;
}

// What is played is watched with LOG_LEVEL=info.
void log_if_asked() {
  spdlog::set_level(std::getenv("LOG_LEVEL") == nullptr ? spdlog::level::off
                                                        : spdlog::level::from_str(std::getenv("LOG_LEVEL")));
}

std::vector<Supply> supplies() {
  return {{.type = {.name = "plain",
                    .cpus = 8,
                    .ram_gb = 64,
                    .cache_gb = 50,
                    .fetch_gb_per_s = 0.5,
                    .price = 1,
                    .spot_price = 0.3,
                    .boot_s = 15,
                    .zones = {"a", "b", "c"}},
           .each_zone = 4,
           .spot_each_zone = 0}};
}

void submit(World& world, double when_s, const JobId& id, wire::JobKind kind, std::uint32_t tasks, double run_s) {
  Submission submission;
  wire::JobSpec& spec = submission.spec;
  spec.id = id;
  spec.team = "red";
  spec.job_class = "bulk";
  spec.kind = kind;
  spec.tasks = tasks;
  spec.cpus = 8;
  spec.ram_gb = 8;
  spec.image = "img";
  spec.estimate_s = kind == wire::JobKind::service ? 0 : run_s;
  submission.run_s = run_s;
  world.at(when_s, [&world, submission] { world.submit(submission); });
}

// Seconds of the day.
double day_s(Instant when) { return control::to_seconds(when.time_since_epoch()) - 1000; }

struct Outcome {
  bool confirmed = false;       // before the outage began
  std::size_t tasks = 0;        // that ran when they were cancelled
  std::uint64_t answered = 0;   // reports, after the confirmation, by the old leader or by grants
  double least_margin_s = 1e9;  // between the end of the last task and the deadline
};

// Of one case, in seconds of the day.
struct Moments {
  double refused = 0;
  double cancelled = 0;
  double out = 0;
  double back = 0;
  explicit Moments(const RefusalCase& refusal, const config::Settings& settings) {
    const double half = settings.heartbeat_interval_s / 2;
    refused = kRefused + refusal.phase * 0.5;  // half of the time between two renewals of the leader's lease
    cancelled = refused + refusal.cancel * half;
    out = cancelled + std::max(0.1, refusal.outage * half);
    back = out + settings.cancel_s + refusal.longer * half;
  }
};

Outcome play(const RefusalCase& refusal, unsigned seed) {
  log_if_asked();
  SCOPED_TRACE(refusal.text() + ", seed " + std::to_string(seed));
  const config::Settings settings = settings_of(refusal);
  const Moments when(refusal, settings);
  World world(settings, supplies(), 3, seed);
  world.drift_workers(1 + refusal.drift * kDrift);
  for (const char* zone : {"a", "b", "c"}) world.start_up("plain", zone, 3);
  submit(world, 1, kService, wire::JobKind::service, 3, 1e6);
  submit(world, 1.2, kArray, wire::JobKind::array, 3, 300);
  submit(world, 1.4, JobId("j-000003"), wire::JobKind::array, 2, 45);
  // The team is at its limit: what waits starts where cancelled tasks are proved gone.
  submit(world, 8, JobId("j-000004"), wire::JobKind::array, 4, 10);
  submit(world, when.cancelled + 0.05, JobId("j-000005"), wire::JobKind::array, 1, 5);

  std::size_t old = 0;
  world.at(when.refused, [&] {
    old = world.leader().value_or(0);
    const double ends = refusal.returns == Returns::before_outage ? when.out - settings.heartbeat_interval_s / 2
                        : refusal.returns == Returns::in_outage   ? when.out + settings.heartbeat_interval_s
                                                                  : when.back + 3 * settings.heartbeat_interval_s;
    if (ends > when.refused) world.refuse_state(old, ends - when.refused);
    const double all_s = when.back - when.refused;
    if (refusal.path == Path::alone || refusal.path == Path::holder) world.cut_siblings(all_s);
    if (refusal.path == Path::relay || refusal.path == Path::holder) world.cut_node_from_workers(old, all_s);
  });
  const double fence_s = control::to_seconds(control::fencing_timeout(settings));
  if (refusal.path == Path::heir) {
    world.at(when.refused + fence_s / 2, [&] {
      world.cut_siblings(when.back - when.refused);
      world.cut_node_from_workers(old, when.back - when.refused);
    });
  }
  world.at(when.out, [&] { world.state_outage(when.back - when.out); });
  if (refusal.restart != Restart::none) {
    const bool in_refusal = refusal.restart == Restart::quick_in_refusal || refusal.restart == Restart::slow_in_refusal;
    const bool quick = refusal.restart == Restart::quick_in_refusal || refusal.restart == Restart::quick_in_outage;
    const double at = in_refusal ? (when.refused + when.cancelled) / 2 : when.out + settings.cancel_s / 4;
    world.at(at, [&world, &old, quick] { world.crash(old, quick ? 0.1 : 6); });
  }
  if (refusal.frozen) {
    // Over the last moment at which the old leader may answer, so that reports wait to be answered when it wakes.
    world.at(when.refused + fence_s - 5, [&] {
      for (std::size_t duty = 0; duty < kDutyNames.size(); ++duty) world.delay_duty(old, static_cast<Duty>(duty), 7);
    });
  }
  if (refusal.hung) {
    world.at(when.cancelled - 0.3, [&] {
      for (const MachineId& id : world.where({kService, 0})) world.hang(id, settings.lease_s * 0.8);
    });
  }

  Outcome outcome;
  world.at(when.cancelled, [&] {
    for (const JobId& job : {kService, kArray}) {
      for (std::uint32_t index = 0; index < 3; ++index) outcome.tasks += world.where({job, index}).size();
      world.cancel(job, (old + refusal.other) % 3);
    }
  });
  std::optional<std::uint64_t> heartbeats;
  std::size_t granted = 0;
  std::map<JobId, double> last_seen;
  for (double at = when.cancelled; at < when.back + kSettles; at += kLook) {
    world.at(at, [&, at] {
      const control::Controller& controller = world.controller(old);
      for (const JobId& job : {kService, kArray}) {
        for (std::uint32_t index = 0; index < 3; ++index) {
          if (!world.where({job, index}).empty()) last_seen[job] = at;
        }
      }
      if (!world.rules().cancelled_at(kService) || at >= when.back) return;
      if (!heartbeats) {
        heartbeats = controller.counters().heartbeats;
        granted = world.answered_by_delegation();
        outcome.confirmed = day_s(*world.rules().cancelled_at(kService)) < when.out;
      }
      const std::uint64_t more =
          controller.counters().heartbeats > *heartbeats ? controller.counters().heartbeats - *heartbeats : 0;
      outcome.answered = std::max(outcome.answered, more + world.answered_by_delegation() - granted);
    });
  }
  world.run_until(when.back + kSettles);

  for (const std::string& broken : world.broken()) ADD_FAILURE() << broken;
  for (const JobId& job : {kService, kArray}) {
    const auto told = world.rules().cancelled_at(job);
    if (!told) {
      ADD_FAILURE() << job.text() << " was never confirmed as cancelled";
      continue;
    }
    // By whatever clock is fastest.
    const double told_s = day_s(*told);
    const double margin_s = told_s + settings.cancel_s * (1 - kDrift) - last_seen[job];
    EXPECT_GT(margin_s, 0) << job.text() << " told at " << told_s << " s, seen at " << last_seen[job] << " s";
    outcome.least_margin_s = std::min(outcome.least_margin_s, margin_s);
    const auto status = world.ask(job);
    EXPECT_TRUE(status && status->state == wire::JobState::cancelled) << job.text();
  }
  return outcome;
}

// What was played by all, so that no path is swept in vain.
class Tally {
 public:
  void add(const RefusalCase& refusal, const Outcome& outcome) {
    ++played_;
    EXPECT_GT(outcome.tasks, 0U) << refusal.text();
    whole_ += outcome.tasks == 6 ? 1 : 0;
    confirmed_ += outcome.confirmed ? 1 : 0;
    if (outcome.confirmed && outcome.answered > 0) ++answered_[refusal.path];
    least_margin_s_ = std::min(least_margin_s_, outcome.least_margin_s);
  }
  void expect_met(std::size_t least) const {
    for (const Path path : {Path::direct, Path::alone, Path::relay, Path::holder, Path::heir}) {
      const auto found = answered_.find(path);
      EXPECT_GE(found == answered_.end() ? 0 : found->second, least) << "path " << static_cast<int>(path);
    }
    EXPECT_GE(confirmed_ * 10, played_ * 9);
    EXPECT_GE(whole_ * 10, played_ * 9);  // a submission is lost now and then, and its job begins too late
    if (testing::Test::HasFailure()) ADD_FAILURE() << text();
  }
  [[nodiscard]] std::string text() const {
    std::string found = std::to_string(played_) + " cases, " + std::to_string(confirmed_) +
                        " confirmed before the outage; reports were answered after it in";
    for (const auto& [path, count] : answered_) {
      found += " " + std::to_string(count) + " of path " + std::to_string(static_cast<int>(path));
    }
    return found + "; least margin " + std::to_string(least_margin_s_) + " s";
  }

 private:
  std::size_t played_ = 0;
  std::size_t confirmed_ = 0;
  std::size_t whole_ = 0;                 // in which all tasks of both jobs ran when they were cancelled
  std::map<Path, std::size_t> answered_;  // cases in which reports were, after the confirmation
  double least_margin_s_ = 1e9;
};

Draw by_luck(std::mt19937& random) {
  return [&random](int below) { return std::uniform_int_distribution<int>(0, below - 1)(random); };
}

// A day of refusals, outages and cancellations at any moments, on all paths, with other troubles among them.
void play_day(unsigned seed) {
  log_if_asked();
  SCOPED_TRACE("seed " + std::to_string(seed));
  std::mt19937 random(seed * 7919U);
  const auto pick = [&](int low, int high) { return std::uniform_int_distribution<int>(low, high)(random); };
  RefusalCase spans;
  spans.long_spans = pick(0, 1) == 1;
  spans.delegations = pick(0, 1) == 1;
  spans.standby = pick(0, 1) == 1;
  const config::Settings settings = settings_of(spans);
  World world(settings, supplies(), 3, seed);
  world.drift_workers(1 + pick(-1, 1) * kDrift);
  for (const char* zone : {"a", "b", "c"}) world.start_up("plain", zone, 3);
  struct Refusal {
    double at = 0;
    double gap = 0;  // before the outage
  };
  std::vector<Refusal> refusals;
  for (int i = pick(1, 2); i > 0; --i) refusals.push_back({.at = pick(300, 2000) / 20.0, .gap = pick(2, 80) / 10.0});
  std::vector<JobId> cancelled;
  for (int i = 0; i < 9; ++i) {
    const JobId id("j-00001" + std::to_string(i));
    const auto kind =
        std::array{wire::JobKind::service, wire::JobKind::array, wire::JobKind::gang}[static_cast<std::size_t>(i % 3)];
    const double began = pick(10, 100) / 10.0;
    submit(world, began, id, kind, static_cast<std::uint32_t>(pick(1, 3)), pick(20, 200));
    if (kind != wire::JobKind::service && pick(0, 1) == 0) continue;
    cancelled.push_back(id);
    const Refusal& near = refusals[static_cast<std::size_t>(i) % refusals.size()];
    world.at(near.at + near.gap * pick(0, 110) / 100.0,
             [&world, id, at = static_cast<std::size_t>(pick(0, 2))] { world.cancel(id, at); });
  }
  for (const Refusal& refusal : refusals) {
    const auto around = [&] { return refusal.at + pick(-20, 200) / 10.0; };
    world.at(refusal.at,
             [&world, for_s = pick(10, 900) / 10.0] { world.refuse_state(world.leader().value_or(0), for_s); });
    if (pick(0, 3) > 0) {
      world.at(refusal.at + refusal.gap,
               [&world, for_s = settings.cancel_s + pick(-100, 200) / 10.0] { world.state_outage(for_s); });
    }
    if (pick(0, 1) == 0) {
      world.at(around(), [&world, for_s = pick(10, 900) / 10.0] { world.cut_siblings(for_s); });
    }
    if (pick(0, 2) == 0) {
      world.at(around(), [&world, for_s = pick(10, 900) / 10.0] {
        world.cut_node_from_workers(world.leader().value_or(0), for_s);
      });
    }
  }
  for (int i = pick(0, 3); i > 0; --i) {
    const double at = pick(300, 2000) / 20.0;
    const auto node = static_cast<std::size_t>(pick(0, 2));
    const double for_s = pick(1, 300) / 10.0;
    switch (pick(0, 7)) {
      case 0: world.at(at, [&world, node, for_s] { world.crash(node, std::min(for_s, 6.0)); }); break;
      case 1: world.at(at, [&world] { world.crash(world.leader().value_or(0), 0.1); }); break;
      case 2: world.at(at, [&world, for_s] { world.late_writes(0.3, for_s, false); }); break;
      case 3: world.at(at, [&world, for_s] { world.late_reports(0.3, for_s, false); }); break;
      case 4: world.at(at, [&world, for_s] { world.late_reports(0.3, for_s, true); }); break;
      case 5:
        for (std::size_t duty = 0; duty < kDutyNames.size(); ++duty) {
          world.at(at, [&world, for_s, duty] {
            world.delay_duty(world.leader().value_or(0), static_cast<Duty>(duty), for_s);
          });
        }
        break;
      case 6:
        world.at(at, [&world, for_s] {
          for (const MachineId& id : world.some_machines(0.3)) world.hang(id, for_s);
        });
        break;
      default: world.at(at, [&world, for_s, hold = pick(0, 1) == 0] { world.cut_zone("b", for_s, hold); }); break;
    }
  }
  world.run_until(400);
  for (const std::string& broken : world.broken()) ADD_FAILURE() << broken;
  EXPECT_EQ(world.accepted().size(), 9U);
  for (const JobId& id : cancelled) {
    const auto status = world.ask(id);
    EXPECT_TRUE(status && (status->state == wire::JobState::cancelled || status->state == wire::JobState::done))
        << id.text();
  }
}

class RefusalDays : public testing::TestWithParam<unsigned> {};
TEST_P(RefusalDays, KeepTheRules) {
  for (unsigned seed = GetParam(); seed < GetParam() + kDays; ++seed) play_day(seed);
}

// For tests/long-days.sh.
TEST(ManyRefusalDays, DISABLED_KeepTheRules) {
  for (unsigned seed = 1001; seed <= 4000; ++seed) play_day(seed);
}

INSTANTIATE_TEST_SUITE_P(Seeds, RefusalDays, testing::Values(1U, 101U));

class RefusedAlone : public testing::TestWithParam<unsigned> {};
TEST_P(RefusedAlone, CancelledTasksAreGoneInTime) {
  std::mt19937 random(GetParam());
  Tally tally;
  for (std::size_t sample = 0; sample < kSamples; ++sample) {
    const RefusalCase made = refusal(by_luck(random), by_luck(random));
    tally.add(made, play(made, static_cast<unsigned>(random())));
  }
  tally.expect_met(kSamples / 40);
}

// For tests/long-days.sh: all moments against all paths; the rest is drawn.
TEST(RefusedAloneAtAllMoments, DISABLED_CancelledTasksAreGoneInTime) {
  std::mt19937 random(24);
  Tally tally;
  int count = 1;
  for (int index = 0; index < count; ++index) {
    int rest = index;
    int product = 1;
    const Draw next = [&](int below) {
      const int digit = rest % below;
      rest /= below;
      product *= below;
      return digit;
    };
    const RefusalCase made = refusal(next, by_luck(random));
    count = product;
    tally.add(made, play(made, static_cast<unsigned>(random())));
    if (testing::Test::HasFailure()) break;
  }
  tally.expect_met(100);
  std::printf("%s\n", tally.text().c_str());
}

INSTANTIATE_TEST_SUITE_P(Seeds, RefusedAlone, testing::Range(1U, 5U));

}  // namespace
}  // namespace foxshunt::standins
