#include "node/operator_requests.h"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <fstream>

#include "control/times.h"
#include "node/clock.h"
#include "node/http_responses.h"

namespace foxshunt::node {
namespace {

using RealSeconds = std::chrono::duration<double>;

double processor_s() {
  rusage use{};
  ::getrusage(RUSAGE_SELF, &use);
  const auto seconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) * 1e-6;
  };
  return seconds(use.ru_utime) + seconds(use.ru_stime);
}

double resident_mb() {
  std::ifstream pages("/proc/self/statm");
  std::uint64_t all = 0;
  std::uint64_t resident = 0;
  pages >> all >> resident;
  return static_cast<double>(resident) * static_cast<double>(::sysconf(_SC_PAGESIZE)) / (1024.0 * 1024.0);
}

}  // namespace

net::HttpResponse counters_response(Context& context, const net::HttpServer& server) {
  Metrics& metrics = context.metrics;
  const net::Clock::duration up = net::Clock::now() - context.began;
  wire::Value::Map body{
      {"node", context.settings.name.text()},
      {"up_s", std::chrono::duration_cast<RealSeconds>(up).count()},
      {"processor_s", processor_s()},
      {"processor_allowed", context.settings.cpu_share},
      {"resident_mb", resident_mb()},
      {"resident_allowed_mb", context.settings.ram_mb},
      {"connections", server.open_connections()},
      {"connections_most", server.max_connections()},
      {"connections_refused", server.refused_connections()},
  };
  {
    const std::lock_guard lock(context.health.mutex);
    body.emplace_back("state_silent_ms", count_ms(context.health.check.store_silence(now())));
    body.emplace_back("health", health::name_of(context.health.check.assess(now())));
  }
  for (const auto& [kind, name] :
       {std::pair{Metrics::Kind::heartbeat, "reports"}, std::pair{Metrics::Kind::user, "users_requests"}}) {
    const Metrics::Requests& requests = metrics.of(kind);
    body.emplace_back(name, requests.all.load());
    body.emplace_back(std::string(name) + "_refused", requests.refused.load());
    body.emplace_back(std::string(name) + "_bad", requests.bad.load());
    body.emplace_back(std::string(name) + "_slowest_ms", count_ms(metrics.slowest(kind)));
  }
  body.emplace_back("reports_relayed", metrics.relayed.load());
  body.emplace_back("reports_granted", metrics.granted.load());
  constexpr std::array<const char*, kLockPriorities> kNames{"lease", "reports",  "records", "writes",
                                                            "cloud", "planning", "counting"};
  const auto waits = context.control_state.mutex.longest_waits();
  for (std::size_t duty = 0; duty < kLockPriorities; ++duty) {
    body.emplace_back(std::string("wait_") + kNames[duty] + "_ms", count_ms(waits[duty]));
  }
  if (context.settings.operators.standby) {
    for (auto& [name, value] : context.standby.status()) {
      if (value.as_text() == nullptr) body.emplace_back("standby_" + name, std::move(value));
    }
  }
  if (context.settings.operators.shared_records) {
    const std::lock_guard lock(context.shared.mutex);
    const SharedRecords& shared = context.shared;
    const calendar::Counts& calendar = shared.calendar.counts();
    body.emplace_back("ledger_revision", shared.record_cache.revision().number());
    body.emplace_back("ledger_records", std::uint64_t{shared.record_cache.size()});
    body.emplace_back("ledger_cold_reads", shared.cold_reads);
    body.emplace_back("ledger_changes", shared.changes_heard);
    body.emplace_back("ledger_differences", shared.differences);
    body.emplace_back("catalog_version", shared.catalog.in_force()->version.number());
    body.emplace_back("catalog_unreadable", std::uint64_t{shared.catalog.unreadable()});
    body.emplace_back("calendar_at_risk", calendar.at_risk);
    body.emplace_back("calendar_cannot_hold", calendar.cannot_hold);
    body.emplace_back("calendar_met", calendar.met);
    body.emplace_back("calendar_missed", calendar.missed);
    body.emplace_back("calendar_waived", calendar.waived);
  }
  const std::lock_guard lock(context.control_state.mutex.handle(LockPriority::metrics));
  const control::Controller& controller = context.control_state.controller;
  body.emplace_back("leads", controller.is_leader());
  if (controller.is_leader()) {
    const plan::Instant at = now();
    const control::ClusterSummary cluster_summary = controller.cluster_summary(at);
    const control::Counters& done = controller.counters();
    body.emplace_back("term", controller.term().number());
    body.emplace_back("fence_left_ms", count_ms(cluster_summary.fence_remaining));
    body.emplace_back("jobs", cluster_summary.jobs);
    body.emplace_back("tasks_waiting", cluster_summary.tasks_waiting);
    body.emplace_back("tasks_placed", cluster_summary.tasks_placed);
    body.emplace_back("machines_up", cluster_summary.machines_up);
    body.emplace_back("machines_booting", cluster_summary.machines_booting);
    body.emplace_back("machines_leaving", cluster_summary.machines_leaving);
    body.emplace_back("unwritten", cluster_summary.unwritten_records);
    body.emplace_back("unwritten_oldest_ms", count_ms(cluster_summary.oldest_unwritten_age));
    body.emplace_back("writes", done.writes);
    body.emplace_back("writes_failed", done.writes_failed);
    body.emplace_back("passes", done.passes);
    body.emplace_back("passes_portions", done.portions);
    body.emplace_back("passes_jobs", done.jobs_planned);
    body.emplace_back("passes_longest_ms", count_ms(metrics.longest_pass()));
    body.emplace_back("tasks_started", done.placed);
  }
  return {.status = 200, .body = wire::encode(body), .retry_after_s = {}};
}

net::HttpResponse plan_explanation_response(Context& context, const std::string& job) {
  if (!wire::is_job_id(job)) return error_response(404, "no such job");
  {
    const std::lock_guard lock(context.control_state.mutex.handle(LockPriority::metrics));
    if (context.control_state.controller.is_leader()) {
      const auto why = context.control_state.controller.explain(JobId(job), now());
      if (!why) return error_response(404, "no such job is known to the leader");
      return {.status = 200, .body = wire::encode(wire::Value::Map{{"id", job}, {"plan", *why}}), .retry_after_s = {}};
    }
  }
  const std::lock_guard lock(context.cluster_view.mutex);
  if (context.cluster_view.leader.empty()) return retry_later("nobody leads now");
  return error_response(421, "only the leader plans: " + context.cluster_view.leader.text());
}

}  // namespace foxshunt::node
