// Whether the check of what users are told finds all that no register can have said, and nothing else: by hand, and
// against an exhaustive search over small random histories.
#include <gtest/gtest.h>

#include <algorithm>
#include <numeric>
#include <random>
#include <utility>

#include "standins/history.h"

namespace foxshunt::standins {
namespace {

using Request = History::Request;
using wire::JobState;

const JobId kJob("j-000001");

Instant at_ms(int ms) { return Instant(Millis(1'000'000 + ms)); }

// What happens to one job, in the order of time.
class Told {
 public:
  History::Number ask(Request request, int ms) { return history_.on_asked(request, kJob, node_++ % 3, at_ms(ms)); }
  Told& answer(History::Number number, int ms, int status, std::optional<JobState> state = {}) {
    history_.on_answered(number, {.status = status, .state = state}, at_ms(ms));
    return *this;
  }
  // Answered in the same millisecond.
  Told& at(int ms, Request request, int status, std::optional<JobState> state = {}) {
    return answer(ask(request, ms), ms, status, state);
  }
  Told& accepted(int ms) { return at(ms, Request::submission, 201, JobState::pending); }
  Told& ended(int ms, bool punctual = true) {
    history_.on_ended(kJob, punctual, at_ms(ms));
    return *this;
  }
  Told& trouble(int ms) {
    history_.on_trouble(at_ms(ms));
    return *this;
  }
  // The rule that is broken; empty if none is.
  [[nodiscard]] std::string rule() const {
    if (history_.broken().empty()) return {};
    EXPECT_EQ(history_.broken().size(), 1U);
    return history_.broken().front().substr(0, history_.broken().front().find(':'));
  }

 private:
  History history_;
  std::size_t node_ = 0;
};

TEST(History, AJobIsUnknownBeforeItIsAcceptedAndNeverAfter) {
  Told told;
  told.at(1, Request::question, 404).accepted(5).at(5, Request::question, 200, JobState::running);
  EXPECT_EQ(told.rule(), "");
  told.at(5, Request::question, 404);
  EXPECT_EQ(told.rule(), "forgotten") << "within the same millisecond";
}

TEST(History, AQuestionUnderWayAtTheAcceptanceMayBeAnsweredEitherWay) {
  for (const bool known : {false, true}) {
    Told told;
    const auto submission = told.ask(Request::submission, 0);
    const auto question = told.ask(Request::question, 1);
    told.answer(submission, 2, 201, JobState::pending);
    known ? told.answer(question, 3, 200, JobState::pending) : told.answer(question, 3, 404);
    EXPECT_EQ(told.rule(), "");
  }
}

TEST(History, WhatOneNodeHasToldHoldsForAQuestionAskedAfterwards) {
  Told told;
  const auto submission = told.ask(Request::submission, 0);  // not answered yet
  told.at(1, Request::question, 404).at(2, Request::question, 200, JobState::pending);
  EXPECT_EQ(told.rule(), "");
  told.at(3, Request::question, 404);
  EXPECT_EQ(told.rule(), "forgotten") << "another node had told its user that it is known";
  told.answer(submission, 4, 201, JobState::pending);
}

TEST(History, ARepeatedSubmissionIsNeverRefused) {
  for (const int status : {400, 422}) {
    Told told;
    told.at(0, Request::submission, status);
    EXPECT_EQ(told.rule(), "") << "the first may be";
    told.accepted(1).at(2, Request::submission, 200, JobState::running);
    EXPECT_EQ(told.rule(), "");
    told.at(3, Request::submission, status);
    EXPECT_EQ(told.rule(), "forgotten");
  }
}

TEST(History, WhatNobodySubmittedIsUnknown) {
  Told told;
  told.at(0, Request::question, 404).at(1, Request::cancellation, 404).at(1, Request::submission, 422);
  EXPECT_EQ(told.rule(), "");
  told.at(2, Request::question, 200, JobState::pending);
  EXPECT_EQ(told.rule(), "invented") << "what was refused is not submitted";
}

TEST(History, AnswersThatTellNothingLeaveBothOpen) {
  for (const int status : {0, 503, 504}) {
    Told told;
    if (const auto lost = told.ask(Request::submission, 0); status != 0) told.answer(lost, 1, status);
    told.at(2, Request::question, 404).at(3, Request::question, 503);
    EXPECT_EQ(told.rule(), "");
    told.at(9, Request::question, 200, JobState::pending);
    EXPECT_EQ(told.rule(), "") << "it was carried out late";
    if (const auto lost = told.ask(Request::cancellation, 10); status != 0) told.answer(lost, 11, status);
    told.at(12, Request::question, 200, JobState::running).at(90'000, Request::question, 200, JobState::cancelled);
    EXPECT_EQ(told.rule(), "");
    told.at(90'001, Request::question, 200, JobState::running);
    EXPECT_EQ(told.rule(), "went_back") << "once it is seen it holds";
  }
}

TEST(History, AFinalStateStays) {
  for (const bool cancelled : {false, true}) {
    for (const JobState next : {JobState::pending, JobState::running, JobState::done, JobState::cancelled}) {
      Told told;
      told.accepted(0).at(1, Request::question, 200, JobState::running);
      const JobState last = cancelled ? JobState::cancelled : JobState::done;
      const auto other = told.ask(Request::question, 2);
      if (cancelled) {
        told.at(3, Request::cancellation, 200, last).ended(4);
      } else {
        told.ended(3).at(4, Request::cancellation, 200, last);
      }
      told.at(5, Request::submission, 200, last).answer(other, 6, 200, JobState::running);
      EXPECT_EQ(told.rule(), "") << "that question was asked before";
      told.at(6, Request::question, 200, next);
      EXPECT_EQ(told.rule(), next == last ? "" : "went_back");
    }
  }
}

TEST(History, OnlyItsUserCancelsAJob) {
  Told never;
  never.accepted(0).at(9, Request::question, 200, JobState::cancelled);
  EXPECT_EQ(never.rule(), "went_back");
  Told later;
  later.accepted(0).at(1, Request::cancellation, 404);
  EXPECT_EQ(later.rule(), "forgotten");
  Told under_way;
  under_way.accepted(0);
  (void)under_way.ask(Request::cancellation, 1);
  under_way.at(2, Request::question, 200, JobState::cancelled);
  EXPECT_EQ(under_way.rule(), "");
  Told in_vain;  // before it was known, and without effect
  in_vain.at(0, Request::cancellation, 404).accepted(1).at(2, Request::question, 200, JobState::cancelled);
  EXPECT_EQ(in_vain.rule(), "went_back");
}

TEST(History, ACancellationIsAnsweredWithAFinalState) {
  Told told;
  told.accepted(0).at(1, Request::cancellation, 200, JobState::running);
  EXPECT_EQ(told.rule(), "not_cancelled");
}

TEST(History, DoneIsNotToldBeforeTheEnd) {
  Told early;
  early.accepted(0).at(9, Request::question, 200, JobState::done);
  EXPECT_EQ(early.rule(), "not_done");
  Told under_way;
  under_way.accepted(0);
  const auto question = under_way.ask(Request::question, 1);
  under_way.ended(2).answer(question, 2, 200, JobState::done);
  EXPECT_EQ(under_way.rule(), "");
}

TEST(History, DoneMayLagByThreeSecondsUntilItIsTold) {
  Told told;
  told.accepted(0).ended(1000).at(3999, Request::question, 200, JobState::running);
  EXPECT_EQ(told.rule(), "");
  told.at(4000, Request::question, 200, JobState::running);
  EXPECT_EQ(told.rule(), "late");
  Told seen;
  seen.accepted(0).ended(1000).at(1001, Request::question, 200, JobState::done);
  seen.at(1002, Request::question, 200, JobState::running);
  EXPECT_EQ(seen.rule(), "went_back") << "no lag once it is told";
  Told trouble;
  trouble.accepted(0).ended(1000, false).at(60'000, Request::question, 200, JobState::running);
  EXPECT_EQ(trouble.rule(), "") << "its machine could not be reached";
  trouble.at(60'000, Request::question, 200, JobState::done).at(60'000, Request::question, 200, JobState::pending);
  EXPECT_EQ(trouble.rule(), "went_back");
  for (const int ms : {3999, 4000}) {
    Told met;
    met.accepted(0).ended(1000).trouble(ms).at(5000, Request::question, 200, JobState::running);
    EXPECT_EQ(met.rule(), ms < 4000 ? "" : "late") << "a trouble in time";
  }
}

TEST(History, ACancellationMeetsTheEnd) {
  for (const int ms : {3999, 4000}) {
    Told told;
    told.accepted(0).ended(1000).at(ms, Request::cancellation, 200, JobState::cancelled);
    EXPECT_EQ(told.rule(), ms < 4000 ? "" : "late") << "until then nobody may know of the end";
  }
}

TEST(History, ATaskThatEndsShowsThatItsJobIsKnown) {
  Told told;
  (void)told.ask(Request::submission, 0);
  told.ended(1000, false).at(2000, Request::question, 404);
  EXPECT_EQ(told.rule(), "forgotten");
}

TEST(History, TellsWhichAnswersDoNotFit) {
  History history;
  history.on_answered(history.on_asked(Request::submission, kJob, 0, at_ms(0)), {.status = 201, .state = {}}, at_ms(1));
  history.on_answered(history.on_asked(Request::question, kJob, 2, at_ms(2)), {.status = 404, .state = {}}, at_ms(3));
  ASSERT_EQ(history.broken().size(), 1U);
  EXPECT_EQ(history.broken().front(),
            "forgotten: j-000001: node 2 answered a question with 404 (asked 1000.002000 s, answered 1000.003000 s), "
            "though node 0 answered a submission with 201 (asked 1000.000000 s, answered 1000.001000 s)");
}

// ---- random histories ----

// One request, or the end of the last task. Moments are numbers of their own, in the order of events.
struct Event {
  enum class Kind : std::uint8_t { submission, question, cancellation, end };
  Kind kind = Kind::question;
  int asked = 0;
  std::optional<int> answered;  // by moment; nothing: never
  int status = 0;               // 404 also for a submission that is refused
  std::optional<JobState> state;
  bool punctual = false;

  [[nodiscard]] bool tells() const { return kind == Kind::end || (answered && (status == 200 || status == 404)); }
};

enum class Register : std::uint8_t { absent, live, done, cancelled };

Register register_of(JobState state) {
  if (state == JobState::done) return Register::done;
  return state == JobState::cancelled ? Register::cancelled : Register::live;
}

constexpr int kMomentMs = 500;  // so that kDoneLag is a few moments

// Whether there is an order of what the events do and tell that a register can have gone through, by trying all.
class Search {
 public:
  explicit Search(const std::vector<Event>& events) {
    for (const Event& event : events) {
      const int from = 2 * event.asked;
      if (event.kind == Event::Kind::end) {
        steps_.push_back({.what = What::end, .state = {}, .from = from, .to = from, .needed = true});
        // The register follows: after the end, and if that was punctual before what is asked when the lag is over.
        const int aging_penalty = static_cast<int>(History::kDoneLag.count()) / kMomentMs;
        const int to = event.punctual ? 2 * (event.asked + aging_penalty) - 1 : kNever;
        steps_.push_back({.what = What::watch, .state = {}, .from = from + 1, .to = to, .needed = event.punctual});
        continue;
      }
      const int to = event.answered ? 2 * *event.answered : kNever;
      const int effect_to = event.tells() ? to : kNever;
      const bool refused = event.tells() && event.status == 404;
      if (event.kind == Event::Kind::submission && !refused)
        steps_.push_back({.what = What::accept, .state = {}, .from = from, .to = effect_to, .needed = false});
      if (event.kind == Event::Kind::cancellation && !refused)
        steps_.push_back({.what = What::cancel, .state = {}, .from = from, .to = effect_to, .needed = false});
      if (!event.tells()) continue;
      const Register state = refused ? Register::absent : register_of(*event.state);
      if (event.kind == Event::Kind::cancellation && state == Register::live) impossible_ = true;
      steps_.push_back({.what = What::tell, .state = state, .from = from, .to = to, .needed = true});
    }
  }
  [[nodiscard]] bool finds() { return !impossible_ && go(0, Register::absent); }

 private:
  static constexpr int kNever = 1'000'000;
  enum class What : std::uint8_t { accept, cancel, end, watch, tell };
  struct Step {
    What what;
    Register state;
    int from;
    int to;
    bool needed;
  };

  bool go(unsigned gone, Register now) {
    if (!seen_.insert({gone, now}).second) return false;
    bool all = true;
    int first_end = kNever;
    int reached = 0;  // what is over by then can't come any more
    for (std::size_t at = 0; at < steps_.size(); ++at) {
      if ((gone >> at & 1U) != 0) reached = std::max(reached, steps_[at].from);
      if ((gone >> at & 1U) != 0 || !steps_[at].needed) continue;
      all = false;
      first_end = std::min(first_end, steps_[at].to);
    }
    if (all) return true;
    for (std::size_t at = 0; at < steps_.size(); ++at) {
      if ((gone >> at & 1U) != 0 || steps_[at].from > first_end || steps_[at].to < reached) continue;
      const std::optional<Register> next = after(steps_[at], now);
      if (next && go(gone | 1U << at, *next)) return true;
    }
    return false;
  }

  static std::optional<Register> after(const Step& step, Register now) {
    switch (step.what) {
      case What::accept: return now == Register::absent ? Register::live : now;
      case What::cancel: return now == Register::live ? Register::cancelled : now;
      case What::watch: return now == Register::live ? Register::done : now;
      case What::end: return now == Register::absent ? std::nullopt : std::optional(now);
      case What::tell: break;
    }
    return now == step.state ? std::optional(now) : std::nullopt;
  }

  bool impossible_ = false;
  std::vector<Step> steps_;
  std::set<std::pair<unsigned, Register>> seen_;
};

// What the checker says of the same.
bool passes(const std::vector<Event>& events) {
  std::map<int, std::pair<std::size_t, bool>> moments;  // event, and whether it is its answer
  for (std::size_t at = 0; at < events.size(); ++at) {
    moments[events[at].asked] = {at, false};
    if (events[at].answered) moments[*events[at].answered] = {at, true};
  }
  History history;
  std::map<std::size_t, History::Number> numbers;
  for (const auto& [moment, what] : moments) {
    const Event& event = events[what.first];
    const Instant now = at_ms(moment * kMomentMs);
    if (event.kind == Event::Kind::end) {
      history.on_ended(kJob, event.punctual, now);
    } else if (!what.second) {
      numbers[what.first] = history.on_asked(static_cast<Request>(event.kind), kJob, what.first % 3, now);
    } else {
      const bool refused = event.kind == Event::Kind::submission && event.status == 404;
      history.on_answered(numbers.at(what.first), {.status = refused ? 422 : event.status, .state = event.state}, now);
    }
  }
  return history.broken().empty();
}

// Requests with spans of their own, answered by a register that each acts on at some moment of its span; some answers
// are lost, and what they have asked for is done late or never.
std::vector<Event> sound_history(std::mt19937& random) {
  const auto pick = [&random](int low, int high) { return std::uniform_int_distribution<int>(low, high)(random); };
  const int count = pick(2, 8);
  std::vector<int> moments(static_cast<std::size_t>(2 * count + 1));
  std::iota(moments.begin(), moments.end(), 0);
  if (pick(0, 1) == 0) {
    std::shuffle(moments.begin(), moments.end(), random);
  } else {  // spans that are short meet less often
    for (int i = pick(0, count); i > 0; --i) {
      const auto at = static_cast<std::size_t>(pick(0, 2 * count - 1));
      std::swap(moments[at], moments[at + 1]);
    }
  }
  std::vector<Event> events;
  std::multimap<double, std::size_t> acts;  // when each acts on the register
  const auto within = [&random](double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random);
  };
  for (int i = 0; i < count; ++i) {
    const auto [asked, answered] =
        std::minmax(moments[static_cast<std::size_t>(2 * i)], moments[static_cast<std::size_t>(2 * i + 1)]);
    Event event{.kind = static_cast<Event::Kind>(std::vector{0, 0, 1, 1, 1, 2}[static_cast<std::size_t>(pick(0, 5))]),
                .asked = asked,
                .answered = answered,
                .status = 200,
                .state = {},
                .punctual = false};
    const int luck = pick(0, 5);
    if (luck == 0) event.answered.reset();
    if (luck == 1) event.status = 503;
    const bool lost = luck <= 1;
    if (!lost || pick(0, 1) == 0) acts.emplace(within(asked, lost ? 3 * count : answered), events.size());
    events.push_back(event);
  }
  // The end of the last task, if it was accepted by then; and when the register follows.
  const std::size_t end_act = events.size();
  const std::size_t follow_act = end_act + 1;
  const int end = moments.back();
  const bool punctual = pick(0, 1) == 0;
  if (pick(0, 1) == 0) {
    const double aging_penalty = static_cast<double>(History::kDoneLag.count()) / kMomentMs;
    acts.emplace(end, end_act);
    acts.emplace(within(end + 0.001, end + (punctual ? aging_penalty : 3 * aging_penalty)), follow_act);
  }
  Register now = Register::absent;
  bool ended = false;
  for (const auto& [unused, at] : acts) {
    if (at == end_act) ended = now != Register::absent;
    if (at == follow_act && ended && now == Register::live) now = Register::done;
    if (at >= end_act) continue;
    Event& event = events[at];
    const bool refused = event.tells() && pick(0, 4) == 0;
    if (event.kind == Event::Kind::submission && now == Register::absent && !refused) now = Register::live;
    if (event.kind == Event::Kind::cancellation && now == Register::live) now = Register::cancelled;
    if (!event.tells()) continue;
    if (now == Register::absent) event.status = 404;
    if (now == Register::live) event.state = pick(0, 1) == 0 ? JobState::pending : JobState::running;
    if (now == Register::done) event.state = JobState::done;
    if (now == Register::cancelled) event.state = JobState::cancelled;
  }
  if (ended) {
    events.push_back(
        {.kind = Event::Kind::end, .asked = end, .answered = {}, .status = 0, .state = {}, .punctual = punctual});
  }
  return events;
}

void mutate(std::vector<Event>& events, std::mt19937& random) {
  const auto pick = [&random](int low, int high) { return std::uniform_int_distribution<int>(low, high)(random); };
  Event& event = events[static_cast<std::size_t>(pick(0, static_cast<int>(events.size()) - 1))];
  if (event.kind == Event::Kind::end) {
    event.punctual = !event.punctual;
  } else if (event.tells()) {
    const int now = pick(0, 4);
    event.status = now == 4 ? 404 : 200;
    event.state.reset();
    if (now < 4) event.state = static_cast<JobState>(now);
  } else {
    event.kind = static_cast<Event::Kind>(pick(0, 2));
  }
}

std::string text(const std::vector<Event>& events) {
  std::string all;
  for (const Event& event : events) {
    all += std::vector<std::string>{"submission", "question", "cancellation",
                                    "end"}[static_cast<std::size_t>(event.kind)] +
           " " + std::to_string(event.asked) + "-" + (event.answered ? std::to_string(*event.answered) : "never") +
           ": " + std::to_string(event.status) + " " + (event.state ? std::string(wire::name_of(*event.state)) : "") +
           (event.punctual ? "punctual" : "") + "\n";
  }
  return all;
}

TEST(History, SaysWhatAnExhaustiveSearchSays) {
  std::mt19937 random(20);
  std::size_t wrong = 0;
  std::size_t still_right = 0;
  for (int i = 0; i < 20'000 && !HasFailure(); ++i) {
    std::vector<Event> events = sound_history(random);
    ASSERT_TRUE(Search(events).finds()) << text(events);
    ASSERT_TRUE(passes(events)) << text(events);
    for (int left = std::uniform_int_distribution<int>(1, 3)(random); left > 0; --left) mutate(events, random);
    const bool right = Search(events).finds();
    ++(right ? still_right : wrong);
    ASSERT_EQ(passes(events), right) << text(events);
  }
  EXPECT_GT(wrong, 5'000U);
  EXPECT_GT(still_right, 2'000U);
}

}  // namespace
}  // namespace foxshunt::standins
