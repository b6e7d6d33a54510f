// What the leader's duties cost, by time and by work that repeats (allocations). Not part of any test's verdict:
// build with -DFOXSHUNT_TESTS=ON and run target/tests/benchmarks.
#include <benchmark/benchmark.h>
#include <malloc.h>
#include <spdlog/spdlog.h>

#include <unordered_map>

#include "bench/allocations.h"
#include "bench/busy_fleet.h"
#include "classes/classes.h"
#include "config/constants.h"
#include "net/http.h"
#include "state/job_records.h"

namespace foxshunt::bench {
namespace {

// Counts allocations an iteration while it lives.
class Counted {
 public:
  explicit Counted(benchmark::State& state) : state_(state) {}
  void begin() { before_ = allocations(); }
  void end() { sum_ += allocations() - before_; }
  ~Counted() {
    state_.counters["allocations"] = benchmark::Counter(static_cast<double>(sum_), benchmark::Counter::kAvgIterations);
  }

 private:
  benchmark::State& state_;
  std::uint64_t before_ = 0;
  std::uint64_t sum_ = 0;
};

void usage_vector(benchmark::State& state) {
  plan::UsageVector vector(100'000);
  const plan::Instant zero{};
  for (int i = 0; i < state.range(0); ++i) {
    vector.add({zero + plan::Millis(i * 700 % 50'000), zero + plan::Millis(i * 700 % 50'000 + 9'000), 1 + i % 5});
  }
  Counted counted(state);
  for (auto unused : state) {
    counted.begin();
    vector.add({zero + plan::Millis(20'000), zero + plan::Millis(29'000), 7});
    benchmark::DoNotOptimize(vector.free_slots(50, plan::Millis(5'000), zero, plan::kForever));
    vector.subtract({zero + plan::Millis(20'000), zero + plan::Millis(29'000), 7});
    counted.end();
  }
  state.counters["slots"] = static_cast<double>(vector.slots().size());
}
BENCHMARK(usage_vector)->Arg(10)->Arg(200);

// A pass over a long queue in which nothing has happened but the time, and one after a job has ended.
void plan_pass(benchmark::State& state) {
  BusyFleet fleet(260, static_cast<std::size_t>(state.range(0)), static_cast<std::size_t>(state.range(0)));
  fleet.pass();
  fleet.heartbeat_all();
  fleet.pass();
  Counted counted(state);
  for (auto unused : state) {
    state.PauseTiming();
    fleet.advance(plan::Millis(200));
    if (state.range(1) != 0) {
      fleet.end_one();
      fleet.add_job(true);
    }
    fleet.heartbeat_all();
    state.ResumeTiming();
    counted.begin();
    fleet.pass();
    counted.end();
  }
  state.counters["jobs"] = static_cast<double>(fleet.controller().jobs().size());
}
BENCHMARK(plan_pass)->Args({20, 0})->Args({40, 0})->Args({20, 1})->Args({40, 1})->Iterations(100)->Unit(
    benchmark::kMicrosecond);

// 100,000 waiting tasks in 2,000 jobs under 200 classes; the first figure: each class takes a job class of its own, or a
// team, so that all of them have to be looked at; the second: with the digest of an answer.
void rank_queue(benchmark::State& state) {
  catalog::Set set;
  for (std::uint32_t number = 0; number < 200; ++number) {
    const std::string name = "class-" + std::to_string(number);
    catalog::ClassDef one{.name = name, .order = number, .standing = 1 + number % 90, .age_every_s = 60, .age_most = 5};
    one.takes = state.range(0) == 0 ? std::vector{catalog::JobMatch{.job_classes = {name}}}
                                    : std::vector{catalog::JobMatch{.teams = {"team-" + std::to_string(number)}}};
    if (number > 0) one.never_passes = {"class-" + std::to_string(number / 2)};
    if (number % 4 == 0) one.cpus_most["team-" + std::to_string(number)] = 100;
    set.classes.push_back(one);
  }
  const classes::Table table(set);
  std::vector<wire::JobSpec> specs(2000);
  std::vector<classes::Candidate> jobs;
  std::vector<config::Team> teams;
  for (std::size_t at = 0; at < specs.size(); ++at) {
    wire::JobSpec& spec = specs[at];
    spec.id = JobId("j-" + std::to_string(100'000 + at * 7919 % 2000));
    spec.job_class = "class-" + std::to_string(at % 200);
    spec.team = "team-" + std::to_string(at % 200);
    spec.tasks = 50;
    spec.cpus = 4;
    jobs.push_back({.spec = &spec, .submitted_wall_ms = 1'800'000'000'000 - static_cast<int>(at) * 250, .waiting = 50});
    if (at < 200) teams.push_back({.name = spec.team, .cpus = 1000});
  }
  Counted counted(state);
  for (auto unused : state) {
    counted.begin();
    const auto ranks = classes::rank(jobs, table, teams, classes::step_of(1'800'000'000'000));
    if (state.range(1) == 1) benchmark::DoNotOptimize(classes::digest_of(ranks, table));
    counted.end();
  }
}
BENCHMARK(rank_queue)->Args({0, 0})->Args({1, 0})->Args({0, 1})->Unit(benchmark::kMicrosecond);

// From a report's bytes to the bytes of its answer.
void heartbeat(benchmark::State& state) {
  BusyFleet fleet(260, 40, 40);
  fleet.pass();
  fleet.heartbeat_all();
  std::string bytes;
  Counted counted(state);
  std::size_t at = 0;
  for (auto unused : state) {
    state.PauseTiming();
    bytes = wire::encode(wire::to_value(fleet.heartbeat_of(fleet.machines()[at++ % fleet.machines().size()])));
    state.ResumeTiming();
    counted.begin();
    const wire::Heartbeat heartbeat = wire::heartbeat_from(wire::decode(bytes));
    const auto commands = fleet.controller().on_heartbeat(heartbeat, fleet.now());
    benchmark::DoNotOptimize(wire::encode(wire::heartbeat_response(fleet.controller().term(), *commands)));
    counted.end();
  }
}
BENCHMARK(heartbeat);

void tick(benchmark::State& state) {
  BusyFleet fleet(260, 40, 40);
  fleet.pass();
  fleet.heartbeat_all();
  Counted counted(state);
  for (auto unused : state) {
    counted.begin();
    fleet.controller().tick(fleet.now());
    counted.end();
  }
}
BENCHMARK(tick);

state::JobRecord record_of(std::uint32_t tasks) {
  wire::JobSpec spec;
  spec.id = JobId("j-000001");
  spec.job_class = "work";
  spec.team = "red";
  spec.tasks = tasks;
  spec.cpus = 5;
  spec.image = "img";
  state::JobRecord record = state::new_job(spec, 1'800'000'000'000);
  for (std::uint32_t index = 0; index < tasks; index += 2) {
    record.only_shard->allocations.push_back({.index = index,
                                              .attempt = AttemptNumber(2),
                                              .machine = MachineId("m-000123"),
                                              .incarnation = AgentIncarnation(1)});
  }
  return record;
}

void record_encode(benchmark::State& state) {
  const state::JobRecord record = record_of(static_cast<std::uint32_t>(state.range(0)));
  Counted counted(state);
  for (auto unused : state) {
    counted.begin();
    benchmark::DoNotOptimize(wire::encode(state::to_value(record)));
    counted.end();
  }
}
BENCHMARK(record_encode)->Arg(8)->Arg(100);

void record_decode(benchmark::State& state) {
  const std::string bytes = wire::encode(state::to_value(record_of(static_cast<std::uint32_t>(state.range(0)))));
  Counted counted(state);
  for (auto unused : state) {
    counted.begin();
    benchmark::DoNotOptimize(state::job_from(wire::decode(bytes)));
    counted.end();
  }
  state.counters["bytes"] = static_cast<double>(bytes.size());
}
BENCHMARK(record_decode)->Arg(8)->Arg(100);

// What a leader holds, in bytes that malloc has handed out; the time says nothing.
std::size_t held() { return mallinfo2().uordblks; }

void memory_of_the_controller(benchmark::State& state) {
  for (auto unused : state) {
    constexpr std::size_t kMachines = 260;
    constexpr std::size_t kJobs = 400;
    const std::size_t empty = held();
    BusyFleet fleet(kMachines, 0, 0);
    const std::size_t with_machines = held();
    const std::size_t first = fleet.controller().jobs().size();
    std::size_t tasks = 0;
    for (std::size_t i = 0; i < kJobs; ++i) fleet.add_job(true);  // gangs of 1 to 16 tasks, none of which runs
    const std::size_t with_jobs = held();
    fleet.pass();
    for (const auto& [unused_id, job] : fleet.controller().jobs()) tasks += job.allocation_count;
    const std::size_t with_runs = held();
    state.counters["bytes_a_machine"] = static_cast<double>(with_machines - empty) / kMachines;
    state.counters["bytes_a_job"] =
        static_cast<double>(with_jobs - with_machines) / static_cast<double>(fleet.controller().jobs().size() - first);
    state.counters["bytes_a_placed_task_and_plan"] =
        static_cast<double>(with_runs - with_jobs) / static_cast<double>(tasks);
    state.counters["placed"] = static_cast<double>(tasks);
  }
}
BENCHMARK(memory_of_the_controller)->Iterations(1);

void memory_of_a_cached_answer(benchmark::State& state) {
  for (auto unused : state) {
    const std::size_t before = held();
    std::unordered_map<JobId, wire::JobStatus> answers;
    for (std::size_t i = 0; i < constants::kMaxFinalStates; ++i) {
      const JobId id("j-" + std::to_string(100'000 + i));
      answers[id] = {.id = id, .state = wire::JobState::done, .done = 3, .running = 0};
    }
    state.counters["bytes"] = static_cast<double>(held() - before) / static_cast<double>(answers.size());
  }
}
BENCHMARK(memory_of_a_cached_answer)->Iterations(1);

// One exchange over loopback on a connection that stays open; both ends are counted.
void http_exchange(benchmark::State& state) {
  net::HttpServer server({"127.0.0.1", 0}, {.connections = 10}, [](const net::HttpRequest& request) {
    return net::HttpResponse{.status = 200, .body = request.body, .retry_after_s = {}};
  });
  net::HttpClient client(server.address(), std::chrono::seconds(1));
  const std::string body(300, 'x');
  Counted counted(state);
  for (auto unused : state) {
    counted.begin();
    benchmark::DoNotOptimize(
        client.call({.method = "POST", .path = "/checkin", .body = body}, net::Clock::now() + std::chrono::seconds(5)));
    counted.end();
  }
}
BENCHMARK(http_exchange)->MeasureProcessCPUTime();

}  // namespace
}  // namespace foxshunt::bench

int main(int argc, char** argv) {
  spdlog::set_level(spdlog::level::err);
  benchmark::Initialize(&argc, argv);
  if (benchmark::ReportUnrecognizedArguments(argc, argv)) return 2;
  benchmark::RunSpecifiedBenchmarks();
  return 0;
}
