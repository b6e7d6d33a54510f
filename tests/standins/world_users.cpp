// Users of the emulated world: submissions, cancellations and questions, ordinary and odd ones.
#include "standins/world.h"

#include <algorithm>
#include <array>
#include <memory>
#include <utility>

#include "config/constants.h"
#include "control/times.h"
#include "standins/world_state_calls.h"
#include "state/job_records.h"
#include "state/keys.h"

namespace foxshunt::standins {

using control::from_seconds;
using kv::Status;

namespace {

constexpr Millis kPollEvery{2000};
constexpr std::uint64_t kOverPolls = 8;  // one in so many asks about jobs that are over
constexpr Millis kSubmitLimit{5000};     // of users
constexpr Millis kPollLimit{2000};
// Of a close look, after what it is for.
constexpr std::array kLooks{Millis(0),   Millis(4),   Millis(12),   Millis(30),   Millis(80),
                            Millis(200), Millis(600), Millis(1500), Millis(3200), Millis(5000)};
constexpr double kOddPauseLeast = 0.2;  // s
constexpr double kOddPauseMost = 1;     // s

}  // namespace

History::Answer World::told_by(const user_api::Reply& reply) {
  History::Answer answer{.status = reply.status, .state = {}};
  if (reply.status == 200 || reply.status == 201) answer.state = wire::job_status_from(reply.body).state;
  return answer;
}

void World::serve(std::size_t node, const Asked& asked, std::shared_ptr<user_api::Request> request, Millis limit,
                  Heard then) {
  const Instant until = now_ + limit;
  const History::Number number = history_.on_asked(asked.request, asked.job, node, now_);
  record_user_request(node, asked);
  const auto step = [this, node, asked, number, request, until, then](const auto& self) -> void {
    if (const auto* reply = request->reply()) {
      record_user_reply(node, asked, *reply);
      if (now_ > until || !in_users_reach(node)) return;
      history_.on_answered(number, told_by(*reply), now_);
      then(*reply);
      return;
    }
    if (const auto* read = std::get_if<user_api::Request::Read>(&request->step())) {
      return call_state<kv::GetResult>(
          node, Duty::users, [key = read->key](StateStore& store) { return store.get(key); },
          [request, self](const kv::GetResult& found) {
            request->on_read(found);
            self(self);
          });
    }
    call_state<kv::TxnResult>(
        node, Duty::users,
        [this, txn = std::get<kv::Txn>(request->step())](StateStore& store) {
          const kv::TxnResult result = store.txn(txn);
          const kv::Change& change = txn.changes.front();
          const auto job = state::job_of_key(change.key);
          const bool created = job && change.data && change.key == state::active_job_key(*job);
          if (result.status == Status::ok && created) rules_.on_created(*job);
          return result;
        },
        [request, self](const kv::TxnResult& result) {
          request->on_written(result);
          self(self);
        });
  };
  step(step);
}

user_api::Known World::known(std::size_t node) {
  return {.settings = settings_,
          .finals = *nodes_[node].finals,
          .types = nodes_[node].controller->machine_types(),
          .wall_ms = wall_ms()};
}

std::shared_ptr<user_api::Request> World::submission(std::size_t node, const wire::Value& body) {
  return std::make_shared<user_api::Request>(user_api::Request::submission(known(node), wire::encode(body)));
}

void World::submit(const Submission& submission) {
  const JobId id = submission.spec.id;
  submissions_[id] = submission;
  submitted_at_.try_emplace(id, now_);
  rules_.on_submitted(submission.spec);
  served_.on_submitted(submission.spec, now_);
  const std::size_t node = std::uniform_int_distribution<std::size_t>(0, nodes_.size() - 1)(random_);
  const auto retry = [this, submission] { after(Millis(1000), [this, submission] { submit(submission); }); };
  if (!nodes_[node].alive) return retry();
  // A node that ends answers nobody; the user tries again after 5 s.
  after(kSubmitLimit, [this, id, retry] {
    if (!is_accepted(id)) retry();
  });
  const wire::Value sent = wire::to_value(submission.spec);
  serve(node, {History::Request::submission, id}, this->submission(node, sent), kSubmitLimit,
        [this, id, submission, sent](const user_api::Reply& reply) {
          if (reply.status != 200 && reply.status != 201) return;
          const bool fresh = !is_accepted(id);
          if (fresh) accepted_.push_back(id);
          rules_.on_accepted(sent, now_);
          copy_late([this, submission] { submit(submission); });
          if (fresh) look_closely(id);
        });
}

void World::cancel(const JobId& id, std::optional<std::size_t> at) {
  if (cancelled_.contains(id)) return;
  const std::size_t node = at.value_or(std::uniform_int_distribution<std::size_t>(0, nodes_.size() - 1)(random_));
  const auto retry = [this, id, at] { after(Millis(1000), [this, id, at] { cancel(id, at); }); };
  if (!nodes_[node].alive) return retry();
  after(kSubmitLimit, [this, id, at] { cancel(id, at); });
  auto request = std::make_shared<user_api::Request>(user_api::Request::cancellation(known(node), id.text()));
  serve(node, {History::Request::cancellation, id}, std::move(request), kSubmitLimit,
        [this, id](const user_api::Reply& reply) {
          if (reply.status != 200) return;
          const bool fresh = cancelled_.insert(id).second;
          const wire::JobState state = wire::job_status_from(reply.body).state;
          rules_.on_told(id, state, now_);
          if (state != wire::JobState::cancelled) return;
          served_.on_over(id);
          copy_late([this, id] {
            cancelled_.erase(id);
            cancel(id);
          });
          if (fresh) look_closely(id);
        });
}

void World::request(std::size_t node, const Asked& asked, std::shared_ptr<user_api::Request> made) {
  const JobId& id = asked.job;
  const bool accepted = is_accepted(id);
  const bool over = rules_.is_over(id);
  serve(node, asked, std::move(made), kPollLimit, [this, id = id, accepted, over](const user_api::Reply& reply) {
    if (reply.status == 503) return;
    if (reply.status != 200 && reply.status != 201) {
      if (accepted) rules_.on_told_unknown(id);
      return;
    }
    const wire::JobState state = wire::job_status_from(reply.body).state;
    const bool last = state == wire::JobState::done || state == wire::JobState::cancelled;
    // Another node may have told of the end after this one had read.
    if (!last && !over && rules_.is_over(id)) return;
    rules_.on_told(id, state, now_);
    if (last) served_.on_over(id);
  });
}

void World::odd_requests(double for_s) {
  trouble(for_s);
  const bool running = now_ < odd_requests_until_;
  odd_requests_until_ = std::max(odd_requests_until_, now_ + from_seconds(for_s));
  if (!running) odd_request();
}

void World::odd_request() {
  if (now_ >= odd_requests_until_) return;
  after(from_seconds(between(kOddPauseLeast, kOddPauseMost)), [this] { odd_request(); });
  const auto node = static_cast<std::size_t>(between(0, static_cast<double>(nodes_.size())));
  if (!in_users_reach(node) || accepted_.empty()) return;
  ++struck_["odd_requests"];
  const JobId& id = accepted_[static_cast<std::size_t>(between(0, static_cast<double>(accepted_.size())))];
  const wire::JobSpec& spec = submissions_.at(id).spec;
  if (lucky(0.5)) return submit_oddly(node, spec);
  if (rules_.is_over(id)) {
    request(node, {History::Request::cancellation, id},
            std::make_shared<user_api::Request>(user_api::Request::cancellation(known(node), id.text())));
    return;
  }
  request(node, {History::Request::submission, id},
          submission(node, lucky(0.3) ? without_a_field(spec) : wire::to_value(spec)));
}

// All that is left out where it may be, and another field as well.
wire::Value World::without_a_field(wire::JobSpec spec) {
  spec.types.clear();
  spec.zone.clear();
  spec.deadline_s.reset();
  wire::Value body = wire::to_value(spec);
  wire::Value::Map& fields = *body.as_map();
  fields.erase(fields.begin() + static_cast<std::ptrdiff_t>(between(1, static_cast<double>(fields.size()))));
  return body;
}

// A job like an accepted one that can never run, or whose submission lacks a field.
void World::submit_oddly(std::size_t node, wire::JobSpec spec) {
  std::string number = std::to_string(++odd_jobs_);
  spec.id = JobId("j-9" + std::string(6 - std::min<std::size_t>(6, number.size()), '0') + number);
  wire::Value body;
  if (lucky(0.5)) {
    switch (static_cast<int>(between(0, 5))) {
      case 0: spec.cpus *= 1e4; break;
      case 1: spec.team = "nobody"; break;
      case 2: spec.types = {"no such type"}; break;
      case 3: spec.zone = "no such zone"; break;
      default: spec.ram_gb *= 1e6; break;
    }
    body = wire::to_value(spec);
  } else {
    body = without_a_field(spec);
  }
  serve(node, {History::Request::submission, spec.id}, submission(node, body), kSubmitLimit,
        [this, id = spec.id](const user_api::Reply& reply) {
          // Nobody has submitted it in a form that could run.
          if (reply.status == 200 || reply.status == 201) rules_.on_told(id, wire::JobState::pending, now_);
        });
}

void World::close_looks(double for_s) {
  trouble(for_s);
  close_looks_until_ = std::max(close_looks_until_, now_ + from_seconds(for_s));
}

void World::look_closely(const JobId& id) {
  if (now_ >= close_looks_until_) return;
  for (const Millis pause : kLooks) {
    for (std::size_t node = 0; node < nodes_.size(); ++node) {
      after(pause + from_seconds(between(0, 0.004)), [this, id, node] {
        if (!in_users_reach(node)) return;
        ++struck_["close_looks"];
        const bool repeats = lucky(0.3);
        if (repeats) {
          request(node, {History::Request::submission, id}, submission(node, wire::to_value(submissions_.at(id).spec)));
        } else {
          request(node, {History::Request::question, id},
                  std::make_shared<user_api::Request>(user_api::Request::question(known(node), id.text())));
        }
      });
    }
  }
}

std::optional<wire::JobStatus> World::ask(const JobId& id) {
  if (state_out_) return std::nullopt;
  const kv::GetResult live = store_.get(state::active_job_key(id));
  if (live.status == Status::ok) return state::status_of(state::job_from(live.entry.data));
  const kv::GetResult over = store_.get(state::finished_job_key(id));
  if (over.status == Status::ok) return state::finished_job_from(id, over.entry.data);
  return std::nullopt;
}

bool World::hears_state(std::size_t node) const {
  const auto heard = nodes_[node].state_heard;
  return heard && now_ - *heard < constants::kStoreSilenceTimeout;
}

bool World::in_users_reach(std::size_t node) const {
  return nodes_[node].alive && !cut_zones_.contains(nodes_[node].zone);
}

void World::probe_nodes() {
  for (std::size_t node = 0; node < nodes_.size(); ++node) {
    balancer_.on_probe(node, in_users_reach(node) && up(node), now_);
  }
  after(Balancer::kProbeEvery, [this] { probe_nodes(); });
}

void World::poll_users() {
  const bool all = polls_++ % kOverPolls == 0;
  for (const JobId& id : accepted_) {
    if (!all && rules_.is_over(id)) continue;
    const auto node = balancer_.choose([this](std::size_t one) { return in_users_reach(one); }, users_luck_, now_);
    if (!node || state_out_ || nodes_[*node].cut_from_state || refused(*node) || late(*node, Duty::users)) continue;
    const History::Number asked = history_.on_asked(History::Request::question, id, *node, now_);
    const auto status = ask(id);
    record_poll_answer(*node, id, status);
    if (status) {
      history_.on_answered(asked, {.status = 200, .state = status->state}, now_);
      rules_.on_told(id, status->state, now_);
      if (rules_.is_over(id)) served_.on_over(id);
    } else {
      history_.on_answered(asked, {.status = 404, .state = {}}, now_);
      rules_.on_told_unknown(id);
    }
  }
  rules_.check(now_);
  rules_.check_answers(now_);
  rules_.check_waiting(machines_for_rules(), now_);
  for (const Node& node : nodes_) {
    if (!node.alive || !node.controller->is_leader()) continue;
    if (const auto fault = node.controller->find_inconsistency())
      throw std::logic_error("the job table is inconsistent: " + *fault);
  }
  after(kPollEvery, [this] { poll_users(); });
}

}  // namespace foxshunt::standins
