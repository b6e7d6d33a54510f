// What leaders and followers of the emulated world read and write: records of jobs, the ledger, calendar, queue and pools.
#include "standins/world.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "calendar/plans.h"
#include "calendar/view.h"
#include "config/constants.h"
#include "standins/world_state_calls.h"

namespace foxshunt::standins {

using state::Answer;

void World::follow_duty(std::size_t node) {
  Node& self = nodes_[node];
  if (self.calling_follow) return;
  self.calling_follow = true;
  const Instant sent = time_of(node);
  const Term term = self.engine->term();
  call_state<state::FollowResult>(
      node, Duty::records,
      [from = self.follow_from](StateStore& store) { return store.follow(state::kLivePrefix, from); },
      [this, node, sent, term](const state::FollowResult& news) {
        Node& me = nodes_[node];
        me.calling_follow = false;
        if (news.answer != Answer::ok || !me.engine->leading() || me.engine->term() != term) return;
        for (const state::Event& event : news.events) {
          const auto id = state::job_of_key(event.key);
          if (!id) continue;
          if (event.data) {
            me.engine->on_job_record(*id, *event.data, event.mark, wall_ms(), time_of(node));
          } else {
            me.engine->on_job_removed(*id, time_of(node));
          }
        }
        me.engine->confirm_reading(sent);
        me.follow_from = news.revision;
      },
      true, constants::kFollowHold);
}

// As src/node/shared.cpp does.
void World::ledger_duty(std::size_t node) {
  Node& self = nodes_[node];
  if (self.calling_ledger) return;
  self.calling_ledger = true;
  if (!self.ledger) {
    std::vector<std::string> kept{state::kLivePrefix, state::kLingerPrefix, state::kPartPrefix};
    if (!catalog_->calendar.empty()) kept.emplace_back(calendar::kPrefix);
    self.ledger = std::make_unique<ledger::Ledger>(kept);
    self.known_jobs = std::make_unique<ledger::Jobs>();
    self.ledger->add_reader(*self.known_jobs);
    if (!catalog_->calendar.empty()) {
      self.calendar = std::make_unique<calendar::Keeper>(
          [this] { return catalog_; },
          calendar::Limits{.value_bytes = static_cast<std::size_t>(settings_.state_value_kb * 1024),
                           .skew_ms = static_cast<std::int64_t>(settings_.skew_ms)});
      self.ledger->add_reader(*self.calendar);
    }
    return call_state<state::ListResult>(
        node, Duty::records, [](StateStore& store) { return store.list(""); },
        [this, node](const state::ListResult& found) {
          nodes_[node].calling_ledger = false;
          if (found.answer != Answer::ok) {
            nodes_[node].calendar.reset();
            return nodes_[node].ledger.reset();
          }
          std::vector<state::Entry> entries = found.entries;
          std::erase_if(entries, [](const state::Entry& entry) {
            return !state::job_of_key(entry.key) && !entry.key.starts_with(calendar::kPrefix);
          });
          std::erase_if(entries, [](const state::Entry& entry) { return entry.key.starts_with(state::kOverPrefix); });
          nodes_[node].ledger->read(entries, found.revision);
          if (nodes_[node].calendar) nodes_[node].calendar->cold_read();
        });
  }
  call_state<state::FollowResult>(
      node, Duty::records, [from = self.ledger->revision()](StateStore& store) { return store.follow("", from); },
      [this, node](const state::FollowResult& news) {
        Node& me = nodes_[node];
        me.calling_ledger = false;
        if (news.answer != Answer::ok) return;
        me.ledger->heard(news.events, news.revision);
        if (me.calendar) me.calendar->look({.wall_ms = wall_ms(), .steady = time_of(node)});
      },
      true, constants::kLedgerHold);
}

// As src/node/shared.cpp does: the leader's plan, what jobs ended as, and a write.
void World::calendar_duty(std::size_t node) {
  Node& self = nodes_[node];
  if (self.calling_calendar || now_ < self.next_calendar || !self.engine->may_start(time_of(node))) return;
  if (self.engine->planning() && now_ < self.next_calendar + constants::kKeepEvery) return;
  if (!self.ledger->whole() || self.ledger->revision() < self.engine->term_mark()) return;
  self.next_calendar = now_ + constants::kKeepEvery;
  const calendar::Both moment{.at = time_of(node), .wall_ms = wall_ms()};
  self.engine->on_dues(calendar::dues_of(*self.calendar, moment));
  if (!self.engine->planning()) {
    self.calendar->planned(
        calendar::plans_of(self.engine->planned_ends(), self.engine->prospects(time_of(node)), moment));
  }
  if (const auto key = self.calendar->next_read()) {
    call_state<state::GetResult>(
        node, Duty::writes, [key](StateStore& store) { return store.get(*key); },
        [this, node, key](const state::GetResult& found) {
          if (nodes_[node].calendar) nodes_[node].calendar->on_read(*key, found);
        });
  }
  const auto txn = self.calendar->next_write(*self.known_jobs, {.wall_ms = wall_ms(), .steady = time_of(node)},
                                             settings_.state_txn_ops - 1);
  if (!txn) return;
  for (const state::Change& change : txn->changes) {
    if (change.data && static_cast<double>(wire::json_length(*change.data)) > settings_.state_value_kb * 1024) {
      throw std::logic_error("value over its limit: " + change.key);
    }
  }
  self.calling_calendar = true;
  state::Txn guarded = *txn;
  guarded.conditions.push_back({.key = state::kTermKey, .mark = self.engine->term_mark()});
  call_state<state::TxnResult>(
      node, Duty::writes,
      [this, guarded](StateStore& store) {
        state::TxnResult result = store.txn(guarded);
        if (result.answer == Answer::ok) note_occurrences(guarded);
        return result;
      },
      [this, node, txn](const state::TxnResult& result) {
        nodes_[node].calling_calendar = false;
        if (nodes_[node].calendar) nodes_[node].calendar->on_written(*txn, result);
      });
}

void World::note_occurrences(const state::Txn& txn) {
  for (const state::Change& change : txn.changes) {
    if (!change.data) continue;
    const auto fresh = occurrences_.try_emplace(change.key);
    Told& told = fresh.first->second;
    if (fresh.second) ++told.openings;
    const auto next = calendar::occurrence_from(*change.data);
    if (!next) throw std::logic_error("an occurrence that can't be read: " + change.key);
    if (closed(next->state) && !closed(told.state)) ++told.closings;
    if (closed(told.state) && next->state != told.state) ++told.openings;
    told.state = next->state;
  }
}

std::map<JobId, int> World::slack(const Node& node) const {
  std::map<JobId, int> slack;
  if (!node.calendar) return slack;
  for (const JobId& job : node.calendar->listed()) slack.emplace(job, node.calendar->slack_step(job).value());
  return slack;
}

const calendar::Keeper* World::calendar(std::size_t node) const {
  const Node& one = nodes_.at(node);
  return one.alive && one.ledger && one.ledger->whole() ? one.calendar.get() : nullptr;
}

bool World::alike() {
  std::map<std::pair<Revision, classes::TimeStep>, std::string> queues;
  std::map<Revision, std::pair<std::uint64_t, std::map<JobId, int>>> calendars;
  for (std::size_t node = 0; node < nodes_.size(); ++node) {
    if (const auto known = queue(node)) {
      const auto [entry, fresh] = queues.try_emplace(known->basis, known->digest);
      if (!fresh && entry->second != known->digest) return false;
      if (!fresh) ++compared_;
    }
    if (const calendar::Keeper* keeper = calendar(node); keeper != nullptr) {
      constexpr int kShownDays = 2;
      const Revision revision = nodes_[node].ledger->revision();
      record_operator_reply(node, "/calendar", calendar::shown(*keeper, revision, wall_ms(), kShownDays, 0, 0));
      const std::pair now(keeper->digest(), slack(nodes_[node]));
      const auto [entry, fresh] = calendars.try_emplace(nodes_[node].ledger->revision(), now);
      if (!fresh && entry->second != now) return false;
      if (!fresh) ++compared_;
    }
  }
  return true;
}

void World::declare(const catalog::Set& set) {
  catalog_ = std::make_shared<const catalog::Set>(set);
  for (std::size_t node = 0; node < nodes_.size(); ++node) {
    nodes_[node].engine->on_catalog(set, wall_ms(), time_of(node));
  }
}

std::optional<World::Queue> World::queue(std::size_t node) {
  Node& self = nodes_[node];
  if (!self.alive || !self.ledger || !self.ledger->whole()) return std::nullopt;
  const classes::Table table(*catalog_);
  const classes::Basis basis{catalog_->version, catalog_->revision, self.ledger->revision(), self.steps.at(wall_ms())};
  const auto ranks =
      classes::rank(classes::candidates_of(*self.known_jobs, slack(self)), table, settings_.teams, basis.step);
  Queue queue{.basis = {basis.revision, basis.step}, .digest = {}, .jobs = {}};
  const wire::Value answer = classes::queue_answer(ranks, table, basis, {});
  record_operator_reply(node, "/queue", answer);
  queue.digest = answer.text("digest");
  for (const classes::Rank& rank : ranks) {
    if (rank.place > 0) queue.jobs.push_back(rank.job);
  }
  return queue;
}

void World::write_duty(std::size_t node) {
  Node& self = nodes_[node];
  if (self.calling_write) return;
  if (const auto reload = self.engine->next_reload()) {
    self.calling_write = true;
    call_state<state::GetResult>(
        node, Duty::writes, [reload](StateStore& store) { return store.get(reload->key()); },
        [this, node, reload](const state::GetResult& found) {
          Node& me = nodes_[node];
          me.calling_write = false;
          if (found.answer != Answer::ok && found.answer != Answer::not_found) return;
          me.engine->on_reloaded(*reload, found.answer == Answer::ok ? std::optional(found.entry.mark) : std::nullopt,
                                 time_of(node));
        });
    return;
  }
  const auto batch = self.engine->begin_write(time_of(node));
  if (!batch) return;
  if (batch->txn.changes.size() > settings_.state_txn_ops) throw std::logic_error("transaction over its limit");
  for (const state::Change& change : batch->txn.changes) {
    if (change.data && static_cast<double>(wire::json_length(*change.data)) > settings_.state_value_kb * 1024) {
      throw std::logic_error("value over its limit: " + change.key);
    }
  }
  self.calling_write = true;
  call_state<state::TxnResult>(
      node, Duty::writes,
      [this, node, txn = batch->txn](StateStore& store) {
        reached(Moment::write, node);
        return store.txn(txn);
      },
      [this, node, batch](const state::TxnResult& result) {
        nodes_[node].calling_write = false;
        nodes_[node].engine->end_write(*batch, result, time_of(node));
      });
}

// ---- pools ----

World::PoolSide::PoolSide(const World& world)
    : ledger({pools::kPoolPrefix, accounts::kAccountPrefix}),
      keeper([&world](const catalog::PoolDef&, std::int64_t) { return world.windows_open_; },
             static_cast<std::size_t>(world.settings_.state_value_kb * 1024)) {
  ledger.add_reader(keeper);
  keeper.declare(world.set_);
}

void World::declare_pools(const std::vector<catalog::PoolDef>& pools) {
  set_.version = set_.version.next();
  set_.pools = pools;
  for (Node& node : nodes_) {
    if (!node.pools) node.pools = std::make_unique<PoolSide>(*this);
    node.pools->keeper.declare(set_);
  }
}

// As src/node does: one watch, looks at the fleet, and writes of the leader.
void World::pool_duty(std::size_t node) {
  Node& self = nodes_[node];
  PoolSide& side = *self.pools;
  if (!side.following && now_ >= side.next_follow && !late(node, Duty::records)) {
    side.following = true;
    const auto done = [this, node](PoolSide& mine) {
      mine.following = false;
      mine.next_follow = now_ + Millis(200);
      (void)node;
    };
    if (!side.read) {
      call_state<state::ListResult>(
          node, Duty::records,
          [](StateStore& store) {
            state::ListResult all = store.list(pools::kPoolPrefix);
            const auto more = store.list(accounts::kAccountPrefix).entries;
            all.entries.insert(all.entries.end(), more.begin(), more.end());
            return all;
          },
          [this, node, done](const state::ListResult& all) {
            PoolSide& mine = *nodes_[node].pools;
            done(mine);
            if (all.answer != Answer::ok) return;
            mine.ledger.read(all.entries, all.revision);
            mine.read = true;
          });
    } else {
      call_state<state::FollowResult>(
          node, Duty::records, [from = side.ledger.revision()](StateStore& store) { return store.follow("", from); },
          [this, node, done](const state::FollowResult& news) {
            PoolSide& mine = *nodes_[node].pools;
            done(mine);
            if (news.answer == Answer::ok) mine.ledger.heard(news.events, news.revision);
          },
          true, constants::kLedgerHold);
    }
  }
  if (now_ >= side.next_look && side.read) {
    side.next_look = now_ + constants::kPoolLook;
    const ledger::Moment moment{.wall_ms = wall_ms(), .steady = time_of(node)};
    self.engine->steer(side.keeper.steer());
    if (self.engine->leading()) side.keeper.observe(self.engine->sight_pools(time_of(node)), moment);
  }
  if (!late(node, Duty::writes)) pool_write(node);
}

void World::pool_write(std::size_t node) {
  Node& self = nodes_[node];
  PoolSide& side = *self.pools;
  if (side.writing || !self.engine->may_start(time_of(node)) || !side.ledger.whole() ||
      side.ledger.revision() < self.engine->term_mark()) {
    return;
  }
  const auto txn =
      side.keeper.next_write(side.jobs, {.wall_ms = wall_ms(), .steady = time_of(node)}, settings_.state_txn_ops);
  if (!txn) return;
  if (txn->changes.size() > settings_.state_txn_ops) throw std::logic_error("transaction over its limit");
  for (const state::Change& change : txn->changes) {
    if (change.data && static_cast<double>(wire::json_length(*change.data)) > settings_.state_value_kb * 1024) {
      throw std::logic_error("value over its limit: " + change.key);
    }
  }
  side.writing = true;
  state::Txn guarded = *txn;
  guarded.conditions.push_back({.key = state::kTermKey, .mark = self.engine->term_mark()});
  call_state<state::TxnResult>(
      node, Duty::writes, [guarded](StateStore& store) { return store.txn(guarded); },
      [this, node, txn](const state::TxnResult& result) {
        nodes_[node].pools->writing = false;
        nodes_[node].pools->keeper.on_written(*txn, result);
      });
}

const pools::Keeper* World::pools(std::size_t node) const {
  return nodes_[node].alive && nodes_[node].pools ? &nodes_[node].pools->keeper : nullptr;
}

// Nodes that have come to the same revision say the same.
bool World::digests_equal() const {
  std::map<Revision, std::uint64_t> known;
  std::map<Revision, std::size_t> said;
  for (const Node& node : nodes_) {
    if (!node.alive || !node.pools || !node.pools->ledger.whole()) continue;
    const Revision revision = node.pools->ledger.revision();
    const auto [entry, fresh] = known.try_emplace(revision, node.pools->keeper.digest());
    if (!fresh && entry->second != node.pools->keeper.digest()) return false;
    ++said[revision];
  }
  return std::ranges::any_of(said, [](const auto& entry) { return entry.second > 1; });
}

std::size_t World::pool_rentals() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(rentals_, [](const auto& entry) { return entry.first.starts_with("warm-"); }));
}

}  // namespace foxshunt::standins
