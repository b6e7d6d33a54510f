#include "zone/delegation_table.h"

#include <algorithm>
#include <tuple>

#include "config/guards.h"

namespace foxshunt::zone {

using guards::Guard;
using guards::kept;

Book::Book(const std::vector<config::Sibling>& siblings, const Spans& spans) : spans_(spans) {
  for (const config::Sibling& sibling : siblings) holders_[sibling.name].zone = sibling.zone;
}

bool Book::hear(const Ask& ask, Term term, Instant now) {
  const auto entry = holders_.find(ask.node);
  if (entry == holders_.end() || ask.term != term) return false;
  Holder& holder = entry->second;
  // A word that was held up tells what is over: taken for a new life's, it would void grants that are in use.
  if (kept(Guard::ask_order) && std::tie(ask.life, ask.sequence) <= std::tie(holder.life, holder.sequence))
    return false;
  if (ask.life != holder.life) {
    // That process has ended. What it answered before it did, it can't tell any more.
    for (Given& given : holder.given) {
      given.until = std::min(given.until, now);
      if (kept(Guard::ask_life)) holder.earlier.push_back(std::move(given));
    }
    holder.given.clear();
  } else {
    std::erase_if(holder.given, [&](const Given& given) { return given.number < ask.holds; });
  }
  holder.life = ask.life;
  holder.sequence = ask.sequence;
  holder.heard = now;
  holder.holds = ask.holds;
  for (const Use& use : ask.uses) {
    Instant& last = holder.used[use.machine];
    last = std::max(last, now - use.ago);
  }
  learn_older_over();
  return true;
}

Grant Book::give(const NodeName& node, Term term, std::optional<Instant> known, const std::vector<MachineId>& except,
                 Instant now) {
  Holder& holder = holders_.at(node);
  last_ = last_.next();
  if (!known) return Grant{.number = last_, .term = term, .zone = holder.zone, .age = spans_.grant, .except = {}};
  if (kept(Guard::grant_counted))
    holder.given.push_back({.number = last_, .until = *known + spans_.bound, .except = {except.begin(), except.end()}});
  return Grant{.number = last_,
               .term = term,
               .zone = holder.zone,
               .age = kept(Guard::grant_known) ? std::max(Millis(0), now - *known) : Millis(0),
               .except = except};
}

// Once every sibling has asked in this term none of them leads in an older one, so that no older grant is given any
// more; whoever then asks with a grant in hand that was given later, asked after that, and had dropped older ones.
void Book::learn_older_over() {
  if (older_over_) return;
  if (!all_heard_at_) {
    if (std::ranges::all_of(holders_, [](const auto& entry) { return entry.second.heard.has_value(); })) {
      all_heard_at_ = last_;
      if (!kept(Guard::older_terms_twice)) older_over_ = true;
    }
    return;
  }
  older_over_ =
      std::ranges::all_of(holders_, [this](const auto& entry) { return entry.second.holds > *all_heard_at_; });
}

Instant Book::renewed_until(const std::string& zone, const MachineId& machine) const {
  Instant until{};
  for (const auto& [unused, holder] : holders_) {
    if (!zone.empty() && holder.zone != zone) continue;
    for (const std::vector<Given>* all : {&holder.given, &holder.earlier}) {
      for (const Given& given : *all) {
        if (!given.except.contains(machine)) until = std::max(until, given.until);
      }
    }
    if (const auto used = holder.used.find(machine); used != holder.used.end()) until = std::max(until, used->second);
  }
  return until;
}

bool Book::used_within(const std::string& zone, const MachineId& machine, Millis span, Instant now) const {
  return std::ranges::any_of(holders_, [&](const auto& entry) {
    if (entry.second.zone != zone) return false;
    const auto used = entry.second.used.find(machine);
    return used != entry.second.used.end() && now - used->second <= span;
  });
}

std::optional<Millis> Book::silent_for(const std::string& zone, Instant now) const {
  std::optional<Millis> least;
  for (const auto& [unused, holder] : holders_) {
    if (holder.zone != zone || !holder.heard) continue;
    const Millis silent = now - *holder.heard;
    if (!least || silent < *least) least = silent;
  }
  return least;
}

bool Book::has_sibling(const std::string& zone) const {
  return std::ranges::any_of(holders_, [&](const auto& entry) { return entry.second.zone == zone; });
}

void Book::forget_before(Instant now) {
  const auto over = [&](Instant until) { return until + spans_.lease < now; };
  for (auto& [unused, holder] : holders_) {
    std::erase_if(holder.given, [&](const Given& given) { return over(given.until); });
    std::erase_if(holder.earlier, [&](const Given& given) { return over(given.until); });
    std::erase_if(holder.used, [&](const auto& used) { return over(used.second); });
  }
}

std::vector<Book::Standing> Book::standings() const {
  std::vector<Standing> found;
  for (const auto& [name, holder] : holders_) {
    Standing standing{.node = name, .zone = holder.zone, .heard = holder.heard, .machines_used = holder.used.size()};
    for (const Given& given : holder.given) standing.until = std::max(standing.until, given.until);
    found.push_back(std::move(standing));
  }
  return found;
}

}  // namespace foxshunt::zone
