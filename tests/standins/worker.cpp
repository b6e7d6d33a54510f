#include "standins/worker.h"

#include <algorithm>

#include "control/times.h"

namespace foxshunt::standins {

using control::from_seconds;
using wire::EndReason;
using wire::TaskState;

Worker::Worker(MachineId id, const wire::MachineType& type, std::string zone, bool spot, Millis lease,
               Surroundings& around, Instant now)
    : id_(std::move(id)),
      type_(type),
      zone_(std::move(zone)),
      spot_(spot),
      lease_(lease),
      around_(around),
      lease_from_(now),
      now_(now) {}

wire::Heartbeat Worker::heartbeat() {
  wire::Heartbeat made{.machine = id_,
                       .address = "127.0.0.1:1",
                       .type = type_.name,
                       .zone = zone_,
                       .spot = spot_,
                       .incarnation = session_,
                       .sequence = ++sequence_,
                       .term = term_};
  if (taken_at) made.notice_s = std::max(0.0, control::to_seconds(*taken_at - now_));
  for (const auto& [key, attempt] : attempts_) {
    made.tasks.push_back({.task = key.first,
                          .attempt = key.second,
                          .state = attempt.state,
                          .reason = attempt.reason,
                          .saved = attempt.saved});
  }
  return made;
}

bool Worker::answer(Term term, const std::vector<wire::Command>& commands, AgentIncarnation incarnation, Instant sent,
                    Instant now) {
  if (incarnation != session_ || term < term_ || term == Term{}) return false;
  term_ = term;
  lease_from_ = std::max(lease_from_, sent);
  execute(commands, now);
  return true;
}

bool Worker::direct(Term term, AgentIncarnation incarnation, const std::vector<wire::Command>& commands, Instant now) {
  ++sequence_;
  if (incarnation != session_ || term < term_) return false;
  term_ = term;
  execute(commands, now);
  return true;
}

void Worker::end(const TaskKey& task, Attempt& attempt, EndReason reason, Instant now) {
  if (attempt.began && attempt.spec.checkpoint_s > 0 && reason != EndReason::done) {
    const Millis progress = (attempt.saved ? *attempt.saved_at : now) - *attempt.began;
    const Millis step = from_seconds(attempt.spec.checkpoint_s);
    around_.keep_progress(task, attempt.saved ? progress : progress / step * step);
  }
  const bool was_there = attempt.on_machine;
  attempt.state = TaskState::ended;
  attempt.reason = reason;
  attempt.on_machine = false;
  if (was_there) around_.on_gone(task, attempt.number, id_, reason == EndReason::done);
}

bool Worker::has(const std::string& image) const {
  return std::ranges::find(images_, image, [](const auto& one) { return one.first; }) != images_.end();
}

void Worker::use(const std::string& image, double gb) {
  std::erase_if(images_, [&image](const auto& one) { return one.first == image; });
  images_.insert(images_.begin(), {image, gb});
  double total_gb = 0;
  for (std::size_t at = 0; at < images_.size(); ++at) {
    total_gb += images_[at].second;
    if (at == 0 || type_.cache_gb <= 0 || total_gb <= type_.cache_gb) continue;
    images_.resize(at);
  }
}

Instant Worker::arrives(const Fetch& fetch) const {
  const double sharers = shares_fetch ? static_cast<double>(std::max<std::size_t>(1, fetches_.size())) : 1.0;
  return fetch.as_of + from_seconds(fetch.left_gb * sharers / type_.fetch_gb_per_s);
}

void Worker::settle_fetches(Instant now) {
  for (auto& [unused, fetch] : fetches_) {
    const Instant end = arrives(fetch);
    const double whole_s = control::to_seconds(end - fetch.as_of);
    const double passed_s = control::to_seconds(now - fetch.as_of);
    fetch.left_gb = whole_s <= passed_s ? 0 : fetch.left_gb * (1.0 - passed_s / whole_s);
    fetch.as_of = std::min(now, end);
  }
  std::erase_if(fetches_, [this](const auto& one) {
    return std::ranges::none_of(attempts_, [&](const auto& entry) {
      return entry.second.state == TaskState::fetching && entry.second.spec.image == one.first;
    });
  });
  for (const auto& [unused, attempt] : attempts_) {
    if (attempt.state != TaskState::fetching || has(attempt.spec.image)) continue;
    fetches_.try_emplace(attempt.spec.image, Fetch{.left_gb = attempt.spec.image_gb, .as_of = now});
  }
}

// Those whose image is there by now.
void Worker::fetch_images(Instant now) {
  settle_fetches(now);
  for (auto& [unused, attempt] : attempts_) {
    if (attempt.state != TaskState::fetching || attempt.on_machine) continue;
    const auto fetch = fetches_.find(attempt.spec.image);
    if (fetch != fetches_.end() && arrives(fetch->second) > now) continue;
    if (fetch != fetches_.end()) attempt.ready = std::max(attempt.ready, arrives(fetch->second));
    attempt.on_machine = true;
  }
}

void Worker::execute(const std::vector<wire::Command>& commands, Instant now) {
  for (const wire::Command& command : commands) {
    const auto key = std::pair(command.task, command.attempt);
    const auto known = attempts_.find(key);
    if (command.kind == wire::CommandKind::clear) {
      if (known != attempts_.end() && known->second.state == TaskState::ended) attempts_.erase(known);
    } else if (command.kind == wire::CommandKind::stop) {
      if (known == attempts_.end() || known->second.state == TaskState::ended) continue;
      Attempt& attempt = known->second;
      const bool can_save = attempt.state == TaskState::running && attempt.spec.checkpoint_s > 0 && attempt.began;
      if (attempt.state == TaskState::saving && command.grace_s > 0) continue;
      if (can_save && command.grace_s >= attempt.spec.save_s) {
        attempt.state = TaskState::saving;
        attempt.saved_at = now;
      } else {
        end(command.task, attempt, EndReason::stopped, now);
      }
    } else if (known == attempts_.end()) {
      Attempt attempt{.spec = {}, .number = command.attempt};
      const wire::JobSpec* spec = around_.job(command.task.job);
      double cpus = 0;
      double gpus = 0;
      double ram_gb = 0;
      bool elsewhere = false;
      for (const auto& [other, there] : attempts_) {
        if (there.state == TaskState::ended) continue;
        cpus += there.spec.cpus;
        gpus += there.spec.gpus;
        ram_gb += there.spec.ram_gb;
        elsewhere = elsewhere || other.first == command.task;
      }
      if (spec != nullptr) attempt.spec = *spec;
      if (spec == nullptr || command.task.index >= spec->tasks) {
        attempt.state = TaskState::ended;
        attempt.reason = EndReason::unknown;
      } else if (elsewhere) {
        attempt.state = TaskState::ended;
        attempt.reason = EndReason::in_use;
      } else if (cpus + spec->cpus > type_.cpus || gpus + spec->gpus > type_.gpus ||
                 ram_gb + spec->ram_gb > type_.ram_gb) {
        attempt.state = TaskState::ended;
        attempt.reason = EndReason::no_room;
      } else {
        attempt.ready = now;
      }
      attempts_.emplace(key, attempt);
    }
  }
  settle_fetches(now);
}

bool Worker::advance(Instant now) {
  now_ = now;
  if (!alive) return false;
  bool changed = false;
  if (now - lease_from_ > lease_) {
    for (auto& [key, attempt] : attempts_) {
      if (attempt.state == TaskState::ended) continue;
      ++killed_by_lease_;
      end(key.first, attempt, EndReason::error, lease_from_ + lease_);
    }
    attempts_.clear();
    session_ = session_.next();
    lease_from_ = now;
    return !hung;
  }
  // A machine that hangs executes nothing, but its tasks can't outlive its lease: it may go on only within it.
  if (hung) return false;
  fetch_images(now);
  for (auto& [key, attempt] : attempts_) {
    if (attempt.state == TaskState::fetching && attempt.on_machine) {
      use(attempt.spec.image, attempt.spec.image_gb);
      attempt.state = attempt.spec.kind == wire::JobKind::gang ? TaskState::waiting : TaskState::running;
      around_.on_started(key.first, key.second, id_);
      changed = true;
      if (around_.is_done(key.first)) {
        end(key.first, attempt, EndReason::done, now);
        continue;
      }
      if (faulty) {
        end(key.first, attempt, EndReason::error, now);
        continue;
      }
      if (attempt.state == TaskState::running) {
        attempt.began = now;
        attempt.length = around_.run_left(key.first);
      }
    }
    if (attempt.state == TaskState::waiting && gang_ready && gang_ready(key.first.job, key.second)) {
      attempt.state = TaskState::running;
      attempt.began = now;
      attempt.length = around_.run_left(key.first);
      changed = true;
    } else if (attempt.state == TaskState::waiting && now - attempt.ready > gang_wait) {
      end(key.first, attempt, EndReason::alone, now);
      changed = true;
    }
    if (attempt.state == TaskState::running && attempt.spec.kind != wire::JobKind::service &&
        now - *attempt.began >= attempt.length) {
      end(key.first, attempt, EndReason::done, now);
      changed = true;
    }
    if (attempt.state == TaskState::saving && now - *attempt.saved_at >= from_seconds(attempt.spec.save_s)) {
      attempt.saved = true;
      end(key.first, attempt, EndReason::stopped, now);
      changed = true;
    }
  }
  return changed;
}

void Worker::kill(Instant now) {
  alive = false;
  for (auto& [key, attempt] : attempts_) {
    if (attempt.state != TaskState::ended) end(key.first, attempt, EndReason::error, now);
  }
  attempts_.clear();
}

}  // namespace foxshunt::standins
