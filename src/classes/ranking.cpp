#include "classes/ranking.h"

namespace foxshunt::classes {
namespace {

std::int64_t steady_ms(Ranking::Moment when) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(when.time_since_epoch()).count();
}

}  // namespace

void Ranking::on_catalog(const catalog::Set& set) {
  *this = [&] {
    Ranking fresh;
    fresh.table_ = Table(set);
    fresh.slack_ = std::move(slack_);
    fresh.wall_offset_ms_ = wall_offset_ms_;
    fresh.clock_ = clock_;
    return fresh;
  }();
}

void Ranking::tell_time(std::int64_t wall_ms, Moment now) { wall_offset_ms_ = wall_ms - steady_ms(now); }

void Ranking::begin(std::vector<Candidate> jobs, const std::vector<config::Team>& teams, Moment now) {
  for (Candidate& job : jobs) {
    if (const auto known = slack_.find(job.spec->id); known != slack_.end()) job.slack = known->second;
  }
  step_ = clock_.at(steady_ms(now) + wall_offset_ms_);
  lacking_.clear();
  const auto classes = classes_of(jobs, table_);
  order_ = rank(jobs, classes, table_, teams, step_);
  caps_ = Caps(jobs, classes, table_);
  at_.clear();
  for (std::size_t at = 0; at < order_.size(); ++at) at_.emplace(order_[at].job, at);
}

const Rank* Ranking::find(const JobId& job) const {
  const auto found = at_.find(job);
  return found == at_.end() ? nullptr : &order_[found->second];
}

std::uint64_t Ranking::room(const wire::JobSpec& spec, std::uint64_t wanted, bool whole) {
  const Rank* rank = find(spec.id);
  return rank == nullptr ? wanted : caps_.room(rank->of, spec, wanted, whole);
}

void Ranking::take(const wire::JobSpec& spec, std::uint64_t tasks) {
  if (const Rank* rank = find(spec.id)) caps_.take(rank->of, spec, tasks);
}

void Ranking::lacks_room(const JobId& job) {
  const Rank* rank = find(job);
  if (rank == nullptr) return;
  for (const Rank* known : lacking_) {
    if (known->team == rank->team && known->priority == rank->priority && known->borrowed == rank->borrowed) return;
  }
  lacking_.push_back(rank);
}

bool Ranking::goes_first(const JobId& first, const JobId& second) const {
  const Rank* one = find(first);
  const Rank* other = find(second);
  if (one == nullptr || other == nullptr) return false;
  return std::tuple(one->borrowed, one->settled, -static_cast<int>(one->priority)) <
         std::tuple(other->borrowed, other->best, -static_cast<int>(other->priority));
}

}  // namespace foxshunt::classes
