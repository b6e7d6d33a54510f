#include "standins/history.h"

#include <algorithm>
#include <stdexcept>

#include "control/times.h"

namespace foxshunt::standins {

namespace {

constexpr std::array kRequestNames{"a submission", "a question", "a cancellation"};

bool is_accepted(const History::Answer& answer) { return answer.status == 200 || answer.status == 201; }

// It has done nothing, and the job was not known.
bool is_refused(History::Request request, const History::Answer& answer) {
  const bool submitted = request == History::Request::submission;
  return submitted ? answer.status == 400 || answer.status == 422 : answer.status == 404;
}

}  // namespace

void History::raise(Bounds& bound, const Moment& moment, Number from) {
  if (!bound || moment > bound->moment) bound = Bound{.moment = moment, .from = from};
}

void History::lower(Bounds& bound, const Moment& moment, Number from) {
  if (!bound || moment < bound->moment) bound = Bound{.moment = moment, .from = from};
}

History::Number History::on_asked(Request request, const JobId& job, std::size_t node, Instant now) {
  const Number number = entries_.size();
  entries_.push_back({.request = request, .job = job, .node = node, .asked = next(now), .answered = {}, .answer = {}});
  Job& known = jobs_[job];
  if (request == Request::submission) known.submissions.push_back(number);
  if (request == Request::cancellation) known.cancellations.push_back(number);
  return number;
}

void History::on_answered(Number number, const Answer& answer, Instant now) {
  Entry& entry = entries_.at(number);
  if (entry.answered) throw std::logic_error("answered twice: " + entry.job.text());
  entry.answered = next(now);
  entry.answer = answer;
  Job& job = jobs_.at(entry.job);
  if (is_refused(entry.request, answer)) {
    raise(job.known_after, entry.asked, number);
    std::erase(job.submissions, number);
    std::erase(job.cancellations, number);
  } else if (is_accepted(answer)) {
    lower(job.known_before, *entry.answered, number);
    if (answer.state == wire::JobState::done) {
      lower(job.done_before, *entry.answered, number);
      std::erase(job.cancellations, number);
    } else if (answer.state == wire::JobState::cancelled) {
      lower(job.withdrawn_before, *entry.answered, number);
    } else if (answer.state) {
      raise(job.over_after, entry.asked, number);
      job.left_live = job.left_live || entry.request == Request::cancellation;
    }
  } else {
    return;
  }
  ++told_;
  check(entry.job);
}

void History::on_ended(const JobId& job, bool punctual, Instant now) {
  Job& known = jobs_[job];
  if (known.ended) return;
  known.ended = next(now);
  known.punctual = punctual;
  // A task runs only when its job is known.
  if (!known.known_before || *known.ended < known.known_before->moment)
    known.known_before = Bound{.moment = *known.ended, .from = {}};
  check(job);
}

void History::on_trouble(Instant now) {
  for (auto& [unused, job] : jobs_) {
    if (job.ended && now - job.ended->at < kDoneLag) job.punctual = false;
  }
}

std::optional<std::string> History::fault(const Job& job) const {
  const auto asked = [this](Number number) { return entries_.at(number).asked; };
  const auto because = [this](const char* rule, const Bound& first, const Bound& second) {
    return rule + (": " + text(first)) + ", though " + text(second);
  };
  // When it became known: after it was asked to, and after all that it was absent for.
  if (!job.known_before) return std::nullopt;
  if (job.known_after && job.known_after->moment > job.known_before->moment)
    return because("forgotten", *job.known_after, *job.known_before);
  // Requests are in the order of their asking.
  if (job.submissions.empty() || asked(job.submissions.front()) > job.known_before->moment)
    return "invented: nobody submitted it, and " + text(*job.known_before);

  // When it was over: as what, and not before it could be that.
  if (job.left_live) return "not_cancelled: " + text(*job.over_after);
  if (job.done_before && job.withdrawn_before) return because("went_back", *job.done_before, *job.withdrawn_before);
  const Bounds& over_before = job.done_before ? job.done_before : job.withdrawn_before;
  if (over_before && job.over_after && job.over_after->moment > over_before->moment)
    return because("went_back", *job.over_after, *over_before);
  if (job.done_before && (!job.ended || *job.ended > job.done_before->moment))
    return "not_done: " + text(*job.done_before);
  if (job.withdrawn_before &&
      (job.cancellations.empty() || asked(job.cancellations.front()) > job.withdrawn_before->moment)) {
    return "went_back: nobody cancelled it, and " + text(*job.withdrawn_before);
  }
  if (job.ended && job.punctual) {
    const Moment late{.at = job.ended->at + kDoneLag, .order = 0};
    const std::string end = ", though " + text({.moment = *job.ended, .from = {}});
    if (job.over_after && job.over_after->moment > late) return "late: " + text(*job.over_after) + end;
    // Too late for a cancellation: it is done by then.
    if (job.withdrawn_before && asked(job.cancellations.front()) > late)
      return "late: " + text(*job.withdrawn_before) + end;
  }
  return std::nullopt;
}

std::string History::text(const Bound& bound) const {
  const auto seconds = [](const Moment& moment) {
    return std::to_string(control::to_seconds(moment.at.time_since_epoch())) + " s";
  };
  if (!bound.from) return "its last task ended at " + seconds(bound.moment);
  const Entry& entry = entries_.at(*bound.from);
  std::string line = "node " + std::to_string(entry.node) + " answered " +
                     kRequestNames.at(static_cast<std::size_t>(entry.request)) + " with " +
                     std::to_string(entry.answer.status);
  if (entry.answer.state) line += " " + std::string(wire::name_of(*entry.answer.state));
  return line + " (asked " + seconds(entry.asked) + ", answered " + seconds(*entry.answered) + ")";
}

void History::check(const JobId& id) {
  Job& job = jobs_.at(id);
  if (job.broken) return;
  const auto why = fault(job);
  if (!why) return;
  job.broken = true;
  const std::size_t rule = why->find(':');
  broken_.push_back(why->substr(0, rule) + ": " + id.text() + ": " + why->substr(rule + 2));
}

}  // namespace foxshunt::standins
