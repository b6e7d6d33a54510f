// What workers report, and what they are told.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "config/constants.h"
#include "config/guards.h"
#include "control/engine.h"
#include "control/times.h"

namespace foxshunt::control {

using guards::Guard;
using guards::kept;

using wire::Command;
using wire::CommandKind;
using wire::EndReason;
using wire::TaskState;

double Engine::save_grace(const Job& job) const {
  // A little above `buryS`, so that no rounding of decimals makes it less.
  return job.spec.checkpoint_s > 0 && !job.withdrawn ? job.spec.save_s + 0.01 : 0;
}

void Engine::prove_gone(Job& job, std::uint32_t index, const char* why, Instant now) {
  const std::optional<Run> run = cluster_.jobs.prove_gone(job, index, cluster_.machines, now);
  if (!run) return;
  const TaskKey key{job.spec.id, index};
  cluster_.pools.ended(key);
  cluster_.planner.revoke(run->booking);
  spdlog::info("task {} attempt {} is off {}: {}", key.text(), run->attempt.number(), run->machine.text(), why);
  if (run->running_since && job.spec.checkpoint_s > 0) {
    // Whole checkpoints survive, whatever became of the machine.
    const Millis step = from_seconds(job.spec.checkpoint_s);
    Millis& saved = job.saved[index];
    saved += std::max(Millis(0), now - *run->running_since) / step * step;
  }
  cluster_.plan_wanted = true;
}

void Engine::finish_task(Job& job, std::uint32_t index, Instant now) {
  cluster_.jobs.mark_done(job, index);
  job.saved.erase(index);
  job.errors = 0;
  job.failed_on.clear();
  prove_gone(job, index, "done", now);
}

void Engine::halt(Job& job, std::uint32_t index, double grace_s) {
  Run* run = cluster_.jobs.find_run({job.spec.id, index});
  if (run == nullptr || (run->halting && run->grace_s <= grace_s)) return;
  run->halting = true;
  run->grace_s = grace_s;
  know_halting(run->machine);
}

void Engine::know_halting(const MachineId& id) {
  if (const auto machine = cluster_.machines.find(id); machine != cluster_.machines.end())
    machine->second.halting = true;
}

void Engine::end_gang(Job& job, Instant) {
  for (Part& part : job.parts) {
    for (auto& [index, run] : part.runs) {
      if (!run.halting) halt(job, index, 0);
    }
  }
}

void Engine::lost_from_gang(Job& job, bool had_run, Instant now) {
  if (is_gang(job) && !GangCoordinator::survives_loss(cluster_, job, had_run, now)) end_gang(job, now);
}

void Engine::on_task_ended(Job& job, Machine& machine, const wire::TaskReport& task, Instant now) {
  const std::uint32_t index = task.task.index;
  const Run run = *cluster_.jobs.find_run(task.task);
  // What was reckoned of its fetches was wrong: the next attempt waits for the reports.
  if (task.reason == EndReason::alone) job.in_stages = true;
  if (task.reason != EndReason::no_room && task.reason != EndReason::in_use && task.reason != EndReason::unknown &&
      run.seen && *run.seen != TaskState::fetching) {
    cluster_.know_image(machine, job.spec);
  }
  switch (task.reason) {
    case EndReason::done:
      machine.errors = 0;
      // A service's replica has no end of its own: it is started again.
      if (job.spec.kind == wire::JobKind::service || job.withdrawn) break;
      finish_task(job, index, now);
      return;
    case EndReason::stopped:
      if (task.saved && run.running_since) {
        Millis& saved = job.saved[index];
        saved += std::max(Millis(0), now - *run.running_since);
        prove_gone(job, index, "stopped, saved", now);
        // prove_gone added the whole checkpoints of the same span.
        const Millis step = from_seconds(job.spec.checkpoint_s);
        if (step > Millis(0)) job.saved[index] -= std::max(Millis(0), now - *run.running_since) / step * step;
        if (job.spec.kind == wire::JobKind::gang) end_gang(job, now);
        return;
      }
      break;
    case EndReason::error: {
      spdlog::warn("task {} failed on {}", task.task.text(), machine.id.text());
      job.failed_on.insert(machine.id);
      // A job that fails wherever it runs says nothing about the machines.
      if (job.failed_on.size() < 3) ++machine.errors;
      // What fails while the job pauses had begun before, with what it pauses for: it is no further failure.
      if (now >= job.not_before) {
        const Millis pause =
            std::min(constants::kErrorPauseMost, constants::kErrorPause * (1 << std::min(job.errors, 5)));
        if (++job.errors > 1) job.not_before = now + pause;
      }
      if (machine.errors >= constants::kMachineErrorsMost) drain(machine, "tasks fail on it", now);
      break;
    }
    case EndReason::unknown: job.not_before = now + constants::kErrorPause; break;
    default: break;
  }
  prove_gone(job, index, std::string(wire::name_of(task.reason)).c_str(), now);
  if (job.spec.kind == wire::JobKind::gang) end_gang(job, now);
}

void Engine::learn_running(Job& job, Machine& machine, Run& run, std::uint32_t index, TaskState state, Instant now) {
  if (state != TaskState::fetching) {
    if (run.seen.value_or(TaskState::fetching) == TaskState::fetching) cluster_.know_image(machine, job.spec);
  } else if (run.seen && cluster_.pools.on()) {
    // Told twice, it is not only on its way: what was believed to be there is not.
    machine.images.erase(job.spec.image);
    cluster_.pools.was_missing(machine.id, job.spec.image);
  }
  if (state == TaskState::running && !run.running_since) {
    run.running_since = std::min(now, run.told_began.value_or(now));
    cluster_.pools.began({job.spec.id, index}, job.spec, now - run.placed);
    cluster_.planner.revoke(run.booking);
    Millis left = estimate(job);
    if (const auto saved = job.saved.find(index); saved != job.saved.end()) {
      left = std::max(left - saved->second, constants::kAllocationLimit);
    }
    if (run.told_began) left = std::max(left - (now - *run.running_since), constants::kAllocationLimit);
    run.booking = cluster_.planner.book(
        {.machine = machine.id, .team = job.spec.team, .amounts = job.each, .start = now, .stop = now + left});
    spdlog::info("task {} attempt {} runs on {}, {:.1f} s after its job's submission",
                 TaskKey{job.spec.id, index}.text(), run.attempt.number(), machine.id.text(),
                 to_seconds(now - job.submitted));
    // The tasks of a gang begin together, so that the first one to run tells it of all. A new leader tells it once more.
    if (!job.begun) {
      spdlog::info("job begins job={} class={} tasks={} wait_s={:.1f}", job.spec.id.text(), job.spec.job_class,
                   job.spec.tasks, to_seconds(now - job.submitted));
      job.begun = true;
    }
  }
  // Who waits for the last image is due.
  if (run.seen != state && job.gather_until) cluster_.plan_wanted = true;
  run.seen = state;
}

bool Engine::startable(const Job& job, const Run& run, Instant now) const {
  if ((kept(Guard::start_durable) && !run.durable) || run.halting || !leadership_.can_start(now)) return false;
  // All tasks of a gang start, or none: each one's placement has to be durable.
  return job.spec.kind != wire::JobKind::gang || !kept(Guard::gang_durable) || jobs::JobTable::all_durable(job);
}

bool Engine::settled(const wire::Report& report) const {
  if (!leadership_.is_leader()) return true;
  const auto entry = cluster_.machines.find(report.machine);
  if (entry == cluster_.machines.end()) return true;
  const bool any_ended =
      std::ranges::any_of(report.tasks, [](const wire::TaskReport& task) { return task.state == TaskState::ended; });
  if (any_ended && plan_wanted()) return false;
  return std::ranges::all_of(report.tasks,
                             [&](const wire::TaskReport& task) {
                               return task.state != TaskState::ended || cluster_.jobs.settled(task.task);
                             }) &&
         std::ranges::all_of(entry->second.runs, [&](const TaskKey& key) {
           return cluster_.jobs.at(key.job).parts[key.index / constants::kTasksPerPart].runs.at(key.index).durable;
         });
}

std::optional<std::vector<Command>> Engine::later_commands(const wire::Report& report, Instant now) {
  // An answer renews the worker's lease, so the right to answer is looked at again.
  if (kept(Guard::answer_rechecked) && !leadership_.can_renew_agent_leases(now)) return std::nullopt;
  std::vector<Command> commands;
  const auto entry = cluster_.machines.find(report.machine);
  if (entry == cluster_.machines.end()) return commands;
  const Machine& machine = entry->second;
  // A newer report has been taken meanwhile: this one teaches nothing any more.
  if (!cluster_.machines.newest(report)) return commands;
  std::set<TaskKey> present;
  for (const wire::TaskReport& task : report.tasks) {
    present.insert(task.task);
    if (task.state == TaskState::ended && cluster_.jobs.settled(task.task)) {
      commands.push_back({.kind = CommandKind::clear, .task = task.task, .attempt = task.attempt});
      present.erase(task.task);
    }
  }
  if (machine.state != MachineState::up) return commands;
  for (const TaskKey& key : machine.runs) {
    const Run& run = *cluster_.jobs.find_run(key);
    if (present.contains(key) || run.session != report.session || run.seen) continue;
    if (startable(cluster_.jobs.at(key.job), run, now)) {
      commands.push_back({.kind = CommandKind::run, .task = key, .attempt = run.attempt});
    }
  }
  return commands;
}

std::optional<std::vector<Command>> Engine::on_report(const wire::Report& report, Instant now) {
  if (!leadership_.is_leader()) return std::nullopt;
  leadership_.observe_term(report.term, "a worker has seen");
  if (!leadership_.can_renew_agent_leases(now)) return std::nullopt;
  ++counters_.reports;
  std::vector<Command> commands;
  // Held up on its way: it teaches nothing.
  if (!cluster_.machines.news(report)) return commands;
  Machine& machine = cluster_.know_machine(report.machine, now);
  if (cluster_.machines.hear(machine, report, leadership_.term(), now)) cluster_.plan_wanted = true;
  cluster_.refresh_plan_machine(machine);

  // A later session began with nothing.
  std::vector<TaskKey> ended_sessions;
  for (const TaskKey& key : machine.runs) {
    if (const Run* run = cluster_.jobs.find_run(key);
        run != nullptr && run->session < report.session && kept(Guard::ended_session))
      ended_sessions.push_back(key);
  }
  for (const TaskKey& key : ended_sessions) {
    Job& job = cluster_.jobs.at(key.job);
    const bool had_run = cluster_.jobs.find_run(key)->running_since.has_value();
    prove_gone(job, key.index, "the machine's session ended", now);
    lost_from_gang(job, had_run, now);
  }

  std::set<TaskKey> present;
  std::vector<Command> runs;
  bool strangers = false;
  for (const wire::TaskReport& task : report.tasks) {
    const auto job_entry = cluster_.jobs.find(task.task.job);
    Job* job = job_entry == cluster_.jobs.end() || task.task.index >= job_entry->second.spec.tasks ? nullptr
                                                                                                   : &job_entry->second;
    Run* run = job == nullptr ? nullptr : cluster_.jobs.find_run(task.task);
    if (run != nullptr && (run->attempt != task.attempt || run->machine != machine.id)) run = nullptr;
    // A gang's lost task is replaced with the same attempt number, on the same machine perhaps. A report of the session
    // before, held up until a new leader has begun, would tell of the end of the one that runs.
    if (run != nullptr && kept(Guard::report_session) && run->session != report.session) run = nullptr;
    if (run != nullptr) {
      present.insert(task.task);
      if (task.state != TaskState::ended) {
        learn_running(*job, machine, *run, task.task.index, task.state, now);
        if (run->halting) {
          commands.push_back(
              {.kind = CommandKind::halt, .task = task.task, .attempt = task.attempt, .grace_s = run->grace_s});
        }
        continue;
      }
      on_task_ended(*job, machine, task, now);
    }
    if (task.state != TaskState::ended) {
      // Not placed here by any record: nobody wants it, and it takes room.
      strangers = true;
      commands.push_back({.kind = CommandKind::halt, .task = task.task, .attempt = task.attempt, .grace_s = 0});
      continue;
    }
    // Forgotten by the worker only when the record says how it ended.
    if (!kept(Guard::clear_settled) || cluster_.jobs.settled(task.task)) {
      commands.push_back({.kind = CommandKind::clear, .task = task.task, .attempt = task.attempt});
    }
  }
  if (strangers && !machine.strangers)
    spdlog::warn("machine {} has tasks that no record places there", machine.id.text());
  machine.strangers = strangers;

  std::vector<TaskKey> absent;
  for (const TaskKey& key : machine.runs) {
    if (!present.contains(key)) absent.push_back(key);
  }
  for (const TaskKey& key : absent) {
    Run& run = *cluster_.jobs.find_run(key);
    if (!run.durable || run.session != report.session) continue;
    Job& job = cluster_.jobs.at(key.job);
    // The worker had seen our term when it made this report, and this report is newer than any that was
    // answered with the start command: what is not in it does not run and will not.
    const bool saw_term = machine.saw_term || !kept(Guard::absent_saw_term);
    if (saw_term && (run.seen || run.halting || !kept(Guard::absent_told))) {
      prove_gone(job, key.index, run.seen ? "no longer reported" : "never started", now);
      if (job.spec.kind == wire::JobKind::gang) end_gang(job, now);
      continue;
    }
    if (!startable(job, run, now)) continue;
    runs.push_back({.kind = CommandKind::run, .task = key, .attempt = run.attempt});
  }

  if (report.notice_s && machine.state == MachineState::up) {
    drain(machine, "the cloud takes it in " + std::to_string(static_cast<int>(*report.notice_s)) + " s", now);
    for (const TaskKey& key : machine.runs) {
      if (present.contains(key)) {
        const Run& run = *cluster_.jobs.find_run(key);
        commands.push_back({.kind = CommandKind::halt, .task = key, .attempt = run.attempt, .grace_s = run.grace_s});
      }
    }
    std::erase_if(runs, [](const Command&) { return true; });
  }
  commands.insert(commands.end(), runs.begin(), runs.end());
  for (const Command& command : runs) {
    spdlog::debug("machine {}: told to run {} attempt {}", machine.id.text(), command.task.text(),
                  command.attempt.number());
  }
  return commands;
}

std::vector<DirectHalt> Engine::due_halts(Instant now) {
  std::vector<DirectHalt> due;
  if (!leadership_.is_leader()) return due;
  for (auto& [id, machine] : cluster_.machines) {
    if (!machine.halting || !machine.reported || machine.address.empty()) continue;
    machine.halting = false;
    DirectHalt halts{.term = leadership_.term(),
                     .machine = id,
                     .address = machine.address,
                     .session = machine.session,
                     .commands = {}};
    for (const TaskKey& key : machine.runs) {
      Run& run = *cluster_.jobs.find_run(key);
      machine.halting = machine.halting || run.halting;
      if (!run.halting || run.session != machine.session || !run.seen) continue;
      // The answer to the next report tells it too; only what that did not reach is told directly.
      if (run.halt_due == Instant{}) run.halt_due = now + from_seconds(cluster_.settings.report_s * 1.5);
      if (now < run.halt_due) continue;
      run.halt_due = now + constants::kHaltRepeat;
      halts.commands.push_back(
          {.kind = CommandKind::halt, .task = key, .attempt = run.attempt, .grace_s = run.grace_s});
    }
    if (!halts.commands.empty()) due.push_back(std::move(halts));
  }
  return due;
}

}  // namespace foxshunt::control
