#include "user_api/request.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "config/constants.h"
#include "config/guards.h"
#include "plan/planner.h"
#include "state/job_records.h"
#include "state/keys.h"

namespace foxshunt::user_api {

using guards::Guard;
using guards::kept;
using kv::Status;

Reply error_reply(int status, const std::string& why) {
  return {.status = status, .body = wire::Value::Map{{"error", why}}, .retry_after_s = {}};
}

Reply come_back(const std::string& why) {
  Reply reply = error_reply(503, why);
  reply.retry_after_s = constants::kRetryAfterSeconds;
  return reply;
}

std::optional<std::string> never_runs(const wire::JobSpec& spec, const config::Settings& settings,
                                      const std::vector<wire::MachineType>& types) {
  const config::Team* team = settings.team(spec.team);
  if (team == nullptr) return "unknown team " + spec.team;
  const plan::ResourceAmounts each = plan::ResourceAmounts::from(spec.cpus, spec.gpus, spec.ram_gb);
  const bool fits = std::ranges::any_of(types, [&](const wire::MachineType& type) {
    const bool named = spec.types.empty() || std::ranges::find(spec.types, type.name) != spec.types.end();
    const bool there = spec.zone.empty() || std::ranges::find(type.zones, spec.zone) != type.zones.end();
    return named && there && each.fits_in(plan::ResourceAmounts::from(type.cpus, type.gpus, type.ram_gb));
  });
  if (!fits) return "a task fits no allowed machine type";
  const plan::ResourceAmounts needed = each.times(spec.kind == wire::JobKind::array ? 1 : spec.tasks);
  const plan::ResourceAmounts limit = plan::ResourceAmounts::from(team->cpus_max, team->gpus_max, 0);
  if (team->cpus_max > 0 && needed.values[0] > limit.values[0]) return "needs more CPUs than the team's limit";
  if (team->gpus_max > 0 && needed.values[1] > limit.values[1]) return "needs more GPUs than the team's limit";
  return std::nullopt;
}

void FinalStates::keep(const wire::JobStatus& status) {
  const std::lock_guard lock(mutex_);
  if (states_.size() >= constants::kMaxFinalStates) states_.erase(states_.begin());
  states_[status.id] = status;
}

std::optional<wire::JobStatus> FinalStates::find(const JobId& job) {
  const std::lock_guard lock(mutex_);
  const auto found = states_.find(job);
  return found == states_.end() ? std::nullopt : std::optional(found->second);
}

Request Request::submission(Known known, const std::string& body) {
  Request request(Purpose::submission, std::move(known));
  wire::Value value;
  try {
    value = wire::decode(body);
  } catch (const wire::Malformed& error) {
    request.answer(error_reply(400, error.what()));
    return request;
  }
  const auto id = wire::peek_job_id(value);
  if (!id) {
    request.answer(error_reply(400, "id: must be of the form j-000412"));
    return request;
  }
  request.job_ = *id;
  // An accepted job is known whatever a later submission of its id looks like.
  if (const auto status = request.known_.finals.find(*id)) {
    request.answer(200, *status);
    return request;
  }
  try {
    request.spec_ = wire::job_spec_from(value);
  } catch (const wire::Malformed& error) {
    request.look(error_reply(400, error.what()));
    return request;
  }
  if (request.known_.types.empty()) {
    request.reading_ = Reading::types;
    request.step_ = Read{state::kMachineTypesKey};
  } else {
    request.judge();
  }
  return request;
}

Request Request::question(Known known, const std::string& job) {
  return of_job(Purpose::question, std::move(known), job);
}

Request Request::cancellation(Known known, const std::string& job) {
  return of_job(Purpose::cancellation, std::move(known), job);
}

Request Request::of_job(Purpose purpose, Known known, const std::string& job) {
  Request request(purpose, std::move(known));
  if (!wire::is_job_id(job)) {
    request.answer(error_reply(404, "no such job"));
    return request;
  }
  request.job_ = JobId(job);
  request.look(error_reply(404, "no such job"));
  return request;
}

void Request::answer(int status, const wire::JobStatus& job) {
  answer({.status = status, .body = wire::to_value(job), .retry_after_s = {}});
}

void Request::judge() {
  if (known_.types.empty()) return look(come_back("machine types are not known yet"));
  if (const auto why = never_runs(spec_, known_.settings, known_.types)) return look(error_reply(422, *why));
  step_ = state::create_job_txn(state::new_job(spec_, known_.wall_ms));
}

// live/ first, then over/: a job moves from the one to the other in a single transaction and never back, so it
// can't be missed in both.
void Request::look(Reply otherwise) {
  otherwise_ = std::move(otherwise);
  if (const auto status = known_.finals.find(job_)) return looked(Found::over, *status);
  read(kept(Guard::live_before_over) ? Reading::live : Reading::over);
}

void Request::read(Reading what) {
  reading_ = what;
  step_ = Read{what == Reading::live ? state::active_job_key(job_) : state::finished_job_key(job_)};
}

void Request::looked(Found found, const wire::JobStatus& status) {
  if (found == Found::unknown) return answer(come_back("the state service can't be reached"));
  if (found == Found::nowhere) return answer(std::exchange(otherwise_, {}));
  if (found == Found::over || purpose_ != Purpose::cancellation) return answer(200, status);
  withdrawn_ = {.id = job_, .state = wire::JobState::cancelled, .done = status.done, .running = 0};
  step_ = state::cancel_job_txn(record_, mark_);
}

void Request::on_read(const kv::GetResult& found) {
  if (reading_ == Reading::types) return on_types(found);
  try {
    if (reading_ == Reading::live) return on_live(found);
    on_over(found);
  } catch (const wire::Malformed& error) {
    spdlog::error("record of job {} cannot be read: {}", job_.text(), error.what());
    looked(Found::unknown, {});
  }
}

void Request::on_types(const kv::GetResult& found) {
  try {
    if (found.status == Status::ok) known_.types = wire::machine_types_from(found.entry.data);
  } catch (const wire::Malformed& error) {
    spdlog::error("record of machine types cannot be read: {}", error.what());
  }
  judge();
}

void Request::on_live(const kv::GetResult& live) {
  if (live.status == Status::ok) {
    record_ = state::job_from(live.entry.data);
    mark_ = live.entry.revision;
    return looked(Found::live, state::status_of(record_));
  }
  if (live.status != Status::not_found) return looked(Found::unknown, {});
  if (!kept(Guard::live_before_over)) return looked(Found::nowhere, {});
  read(Reading::over);
}

void Request::on_over(const kv::GetResult& over) {
  if (over.status == Status::not_found) {
    if (!kept(Guard::live_before_over)) return read(Reading::live);
    return looked(Found::nowhere, {});
  }
  if (over.status != Status::ok) return looked(Found::unknown, {});
  const wire::JobStatus status = state::finished_job_from(job_, over.entry.data);
  known_.finals.keep(status);
  looked(Found::over, status);
}

void Request::on_written(const kv::TxnResult& result) {
  const bool unsettled = result.status == Status::conflict || result.status == Status::unknown;
  if (result.status != Status::ok && !unsettled) return answer(come_back("the state service can't take it now"));
  if (purpose_ == Purpose::submission) {
    // Without an answer it may have been executed, so the record is read before answering.
    if (result.status == Status::conflict || (unsettled && kept(Guard::unclear_accept)))
      return look(come_back("the state service did not answer"));
    spdlog::info("job {} accepted", job_.text());
    return answer(201, {.id = job_});
  }
  if (!unsettled) {
    spdlog::info("job {} withdrawn by its user", job_.text());
    known_.finals.keep(withdrawn_);
    return answer(200, withdrawn_);
  }
  if (++tries_ == constants::kMaxConflictRetries) return answer(come_back("the job changes too fast"));
  look(std::move(otherwise_));
}

}  // namespace foxshunt::user_api
