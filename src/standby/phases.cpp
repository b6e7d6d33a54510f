#include "standby/phases.h"

#include <cmath>

#include "config/constants.h"

namespace foxshunt::standby {

void FailoverTimeline::noticed(Instant when) {
  if (!noticed_) noticed_ = when;
}

void FailoverTimeline::led(Term term, Instant took, Instant knew, std::optional<double> former_s) {
  term_ = term;
  ++takeovers_;
  at_ = {};
  // Whoever was heard of before; a process that has heard of nobody begins with its own notice.
  began_ = sign_ ? sign_ : noticed_;
  if (!began_ || *began_ > took) began_ = took;
  if (noticed_) at_[static_cast<std::size_t>(Phase::noticed)] = noticed_;
  reached(Phase::took, took);
  reached(Phase::knew, knew);
  knew_ = knew;
  former_s_ = former_s;
  hints_.reset();
  noticed_.reset();
  started_.clear();
  starts_ = 0;
  watching_ = true;
}

void FailoverTimeline::hinted(std::size_t entries, std::optional<double> former_s) {
  hints_ = entries;
  if (former_s) former_s_ = former_s;
}

void FailoverTimeline::reached(Phase phase, Instant when) {
  auto& at = at_[static_cast<std::size_t>(phase)];
  if (!at) at = when;
}

void FailoverTimeline::started(std::uint64_t tasks, Instant when) {
  if (tasks == 0) return;
  starts_ += tasks;
  if (!started_.empty() && started_.back().first == when) {
    started_.back().second += tasks;
  } else {
    started_.emplace_back(when, tasks);
  }
  while (when - started_.front().first > constants::kFailoverFormerLeaderTimeout) started_.pop_front();
  if (!watching_) return;
  reached(Phase::started, when);
  const double seconds = std::chrono::duration<double>(constants::kFailoverRateShare).count();
  if (former_s_ &&
      static_cast<double>(starts_within(constants::kFailoverRateShare, when)) >= std::floor(*former_s_ * seconds)) {
    reached(Phase::rate, when);
  }
}

std::uint64_t FailoverTimeline::starts_within(Millis span, Instant now) const {
  std::uint64_t count = 0;
  for (auto entry = started_.rbegin(); entry != started_.rend() && now - entry->first <= span; ++entry) {
    count += entry->second;
  }
  return count;
}

double FailoverTimeline::starts_s(Instant now) const {
  return static_cast<double>(starts_within(constants::kFailoverFormerLeaderTimeout, now)) /
         std::chrono::duration<double>(constants::kFailoverFormerLeaderTimeout).count();
}

std::optional<Millis> FailoverTimeline::span(Phase phase) const {
  const auto& at = at_[static_cast<std::size_t>(phase)];
  if (!at || !began_) return std::nullopt;
  return *at - *began_;
}

std::optional<std::string> FailoverTimeline::line(Instant now) {
  if (!watching_) return std::nullopt;
  if (!span(Phase::rate) && now - knew_ < constants::kFailoverWatchTimeout) return std::nullopt;
  watching_ = false;
  std::string text = "takeover term=" + std::to_string(term_.number());
  text += " hints=" + (hints_ ? std::to_string(*hints_) : std::string("none"));
  for (std::size_t phase = 0; phase < kPhaseNames.size(); ++phase) {
    const auto reached = span(static_cast<Phase>(phase));
    text += std::string(" ") + kPhaseNames[phase] + "_ms=" + (reached ? std::to_string(reached->count()) : "never");
  }
  text += " former_starts_s=" + (former_s_ ? std::to_string(*former_s_) : std::string("unknown"));
  return text + " starts=" + std::to_string(starts_);
}

}  // namespace foxshunt::standby
