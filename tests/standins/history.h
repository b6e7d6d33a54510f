// What each job's user asked and was told, by which node and when, and whether one register could have said so: a
// linearizability check by job.
//
// The model. A job's register is `absent`, then `live`, then `done` or `withdrawn`, which are final. It changes
// - from absent to live once, between the asking and the answer of a submission that was not refused;
// - from live to withdrawn once, between the asking and the answer of a cancellation;
// - from live to done once, at the end of its last task or after it; by that end it is not absent any more.
//   Where the end was punctual (nothing was wrong with the deployment about then), it changes less than kDoneLag after
//   it, unless the job is withdrawn by then.
// Every answer tells what the register was at one moment between its asking and its coming:
// - 200 with a state, and 201: that state, where `pending` and `running` both tell `live`. A cancellation may not tell
//   `live`;
// - 404, and 400 or 422 to a submission: absent, and the request has done nothing;
// - anything else, and no answer: nothing. A submission or cancellation may then have taken effect at any later moment,
//   or never: both hold until an answer tells.
// So no answer is older than what any node had told before the question was asked, while answers to questions under way
// at the same time may come in any order. Which came first is told by the order of the calls here, so that also what
// happens within a millisecond has an order.
//
// The check is exact and needs no search: as the register changes at most twice, all answers together bound the two
// moments from both sides, and there is a register iff a moment is left for each of them.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "plan/usage_vector.h"
#include "wire/messages.h"

namespace foxshunt::standins {

using plan::Instant;
using plan::Millis;

class History {
 public:
  static constexpr Millis kDoneLag{3000};  // PROTOCOL, GET /api/jobs/{id}

  enum class Request : std::uint8_t { submission, question, cancellation };
  struct Answer {
    int status = 0;                       // of HTTP; 0: none came
    std::optional<wire::JobState> state;  // with 200 and 201
  };
  using Number = std::size_t;  // of a request

  Number on_asked(Request request, const JobId& job, std::size_t node, Instant now);
  // Once at most for each; one that is never answered tells nothing.
  void on_answered(Number number, const Answer& answer, Instant now);
  // The job's last task has completed. `punctual`: `done` has to follow within kDoneLag.
  void on_ended(const JobId& job, bool punctual, Instant now);
  // Something goes wrong with the deployment: what has ended less than kDoneLag ago need not be punctual any more.
  void on_trouble(Instant now);

  // One line a job, with the rule, and the two answers that no register can have given.
  [[nodiscard]] const std::vector<std::string>& broken() const { return broken_; }
  [[nodiscard]] std::size_t requests() const { return entries_.size(); }
  [[nodiscard]] std::size_t told() const { return told_; }  // answers that tell something

 private:
  // An event among all others.
  struct Moment {
    Instant at;
    std::uint64_t order = 0;
    friend auto operator<=>(const Moment&, const Moment&) = default;
  };
  struct Entry {
    Request request = Request::question;
    JobId job;
    std::size_t node = 0;
    Moment asked;
    std::optional<Moment> answered;
    Answer answer;
  };
  // The moment and what it follows from: a request, or the end of the last task.
  struct Bound {
    Moment moment;
    std::optional<Number> from;
  };
  using Bounds = std::optional<Bound>;  // nothing: no bound
  struct Job {
    std::vector<Number> submissions;    // that may have taken effect
    std::vector<Number> cancellations;  // likewise
    Bounds known_after;                 // it was absent when this was asked
    Bounds known_before;                // it was not when this was answered
    Bounds over_after;                  // it was live when this was asked
    Bounds done_before;                 // it was done when this was answered
    Bounds withdrawn_before;
    std::optional<Moment> ended;
    bool punctual = false;
    bool left_live = false;  // after an answered cancellation
    bool broken = false;
  };

  [[nodiscard]] Moment next(Instant now) { return {.at = now, .order = ++events_}; }
  static void raise(Bounds& bound, const Moment& moment, Number from);
  static void lower(Bounds& bound, const Moment& moment, Number from);
  // Why no register can have given the answers so far; nothing if one can.
  [[nodiscard]] std::optional<std::string> fault(const Job& job) const;
  [[nodiscard]] std::string text(const Bound& bound) const;
  void check(const JobId& id);

  std::vector<Entry> entries_;
  std::map<JobId, Job> jobs_;
  std::uint64_t events_ = 0;
  std::size_t told_ = 0;
  std::vector<std::string> broken_;
};

}  // namespace foxshunt::standins
