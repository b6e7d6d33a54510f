// What leaders and followers of the emulated world read and write: records of jobs, the ledger, calendar, queue and pools.
#include "standins/world.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "calendar/plans.h"
#include "calendar/view.h"
#include "config/constants.h"
#include "standins/world_state_calls.h"
#include "state/keys.h"

namespace foxshunt::standins {

using kv::Status;

void World::follow_duty(std::size_t node) {
  Node& self = nodes_[node];
  if (self.calling_follow) return;
  self.calling_follow = true;
  const Instant sent = time_of(node);
  const Term term = self.controller->term();
  call_state<kv::WatchResult>(
      node, Duty::records,
      [from = self.watch_from](StateStore& store) { return store.watch(state::kActiveJobPrefix, from); },
      [this, node, sent, term](const kv::WatchResult& news) {
        Node& me = nodes_[node];
        me.calling_follow = false;
        if (news.status != Status::ok || !me.controller->is_leader() || me.controller->term() != term) return;
        for (const kv::Event& event : news.events) {
          const auto id = state::job_of_key(event.key);
          if (!id) continue;
          if (event.data) {
            me.controller->on_job_record(*id, *event.data, event.revision, wall_ms(), time_of(node));
          } else {
            me.controller->on_job_removed(*id, time_of(node));
          }
        }
        me.controller->on_records_confirmed(sent);
        me.watch_from = news.revision;
      },
      true, constants::kWatchHoldTimeout);
}

// As src/node/shared.cpp does.
void World::ledger_duty(std::size_t node) {
  Node& self = nodes_[node];
  if (self.calling_ledger) return;
  self.calling_ledger = true;
  if (!self.record_cache) {
    std::vector<std::string> kept{state::kActiveJobPrefix, state::kTerminatingJobPrefix, state::kJobShardPrefix};
    if (!catalog_->calendar.empty()) kept.emplace_back(calendar::kPrefix);
    self.record_cache = std::make_unique<record_cache::RecordCache>(kept);
    self.known_jobs = std::make_unique<record_cache::Jobs>();
    self.record_cache->add_reader(*self.known_jobs);
    if (!catalog_->calendar.empty()) {
      self.calendar = std::make_unique<calendar::DeadlineController>(
          [this] { return catalog_; },
          calendar::Limits{.value_bytes = static_cast<std::size_t>(settings_.state_value_kb * 1024),
                           .skew_ms = static_cast<std::int64_t>(settings_.skew_ms)});
      self.record_cache->add_reader(*self.calendar);
    }
    return call_state<kv::ListResult>(
        node, Duty::records, [](StateStore& store) { return store.list(""); },
        [this, node](const kv::ListResult& found) {
          nodes_[node].calling_ledger = false;
          if (found.status != Status::ok) {
            nodes_[node].calendar.reset();
            return nodes_[node].record_cache.reset();
          }
          std::vector<kv::Entry> entries = found.entries;
          std::erase_if(entries, [](const kv::Entry& entry) {
            return !state::job_of_key(entry.key) && !entry.key.starts_with(calendar::kPrefix);
          });
          std::erase_if(entries,
                        [](const kv::Entry& entry) { return entry.key.starts_with(state::kFinishedJobPrefix); });
          nodes_[node].record_cache->read(entries, found.revision);
          if (nodes_[node].calendar) nodes_[node].calendar->cold_read();
        });
  }
  call_state<kv::WatchResult>(
      node, Duty::records, [from = self.record_cache->revision()](StateStore& store) { return store.watch("", from); },
      [this, node](const kv::WatchResult& news) {
        Node& me = nodes_[node];
        me.calling_ledger = false;
        if (news.status != Status::ok) return;
        me.record_cache->heard(news.events, news.revision);
        if (me.calendar) me.calendar->look({.wall_ms = wall_ms(), .steady = time_of(node)});
      },
      true, constants::kRecordCacheWatchHoldTimeout);
}

// As src/node/shared.cpp does: the leader's plan, what jobs ended as, and a write.
void World::calendar_duty(std::size_t node) {
  Node& self = nodes_[node];
  if (self.calling_calendar || now_ < self.next_calendar || !self.controller->can_start_tasks(time_of(node))) return;
  if (self.controller->is_planning() && now_ < self.next_calendar + constants::kRecordControllerInterval) return;
  if (!self.record_cache->whole() || self.record_cache->revision() < self.controller->term_revision()) return;
  self.next_calendar = now_ + constants::kRecordControllerInterval;
  const calendar::Both moment{.at = time_of(node), .wall_ms = wall_ms()};
  self.controller->on_due_jobs(calendar::dues_of(*self.calendar, moment));
  if (!self.controller->is_planning()) {
    self.calendar->planned(calendar::plans_of(self.controller->planned_ends(),
                                              self.controller->deadline_forecasts(time_of(node)), moment));
  }
  if (const auto key = self.calendar->next_read()) {
    call_state<kv::GetResult>(
        node, Duty::writes, [key](StateStore& store) { return store.get(*key); },
        [this, node, key](const kv::GetResult& found) {
          if (nodes_[node].calendar) nodes_[node].calendar->on_read(*key, found);
        });
  }
  const auto txn = self.calendar->next_write(*self.known_jobs, {.wall_ms = wall_ms(), .steady = time_of(node)},
                                             settings_.state_txn_ops - 1);
  if (!txn) return;
  for (const kv::Change& change : txn->changes) {
    if (change.data && static_cast<double>(wire::json_length(*change.data)) > settings_.state_value_kb * 1024) {
      throw std::logic_error("value over its limit: " + change.key);
    }
  }
  self.calling_calendar = true;
  kv::Txn guarded = *txn;
  guarded.preconditions.push_back({.key = state::kTermKey, .revision = self.controller->term_revision()});
  call_state<kv::TxnResult>(
      node, Duty::writes,
      [this, guarded](StateStore& store) {
        kv::TxnResult result = store.txn(guarded);
        if (result.status == Status::ok) note_occurrences(guarded);
        return result;
      },
      [this, node, txn](const kv::TxnResult& result) {
        nodes_[node].calling_calendar = false;
        if (nodes_[node].calendar) nodes_[node].calendar->on_written(*txn, result);
      });
}

void World::note_occurrences(const kv::Txn& txn) {
  for (const kv::Change& change : txn.changes) {
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

const calendar::DeadlineController* World::calendar(std::size_t node) const {
  const Node& one = nodes_.at(node);
  return one.alive && one.record_cache && one.record_cache->whole() ? one.calendar.get() : nullptr;
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
    if (const calendar::DeadlineController* keeper = calendar(node); keeper != nullptr) {
      constexpr int kShownDays = 2;
      const Revision revision = nodes_[node].record_cache->revision();
      record_operator_reply(node, "/calendar", calendar::shown(*keeper, revision, wall_ms(), kShownDays, 0, 0));
      const std::pair now(keeper->digest(), slack(nodes_[node]));
      const auto [entry, fresh] = calendars.try_emplace(nodes_[node].record_cache->revision(), now);
      if (!fresh && entry->second != now) return false;
      if (!fresh) ++compared_;
    }
  }
  return true;
}

void World::declare(const catalog::Set& set) {
  catalog_ = std::make_shared<const catalog::Set>(set);
  for (std::size_t node = 0; node < nodes_.size(); ++node) {
    nodes_[node].controller->on_catalog(set, wall_ms(), time_of(node));
  }
}

std::optional<World::Queue> World::queue(std::size_t node) {
  Node& self = nodes_[node];
  if (!self.alive || !self.record_cache || !self.record_cache->whole()) return std::nullopt;
  const classes::Table table(*catalog_);
  const classes::Basis basis{catalog_->version, catalog_->revision, self.record_cache->revision(),
                             self.steps.at(wall_ms())};
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
  if (const auto reload = self.controller->next_reload()) {
    self.calling_write = true;
    call_state<kv::GetResult>(
        node, Duty::writes, [reload](StateStore& store) { return store.get(reload->key()); },
        [this, node, reload](const kv::GetResult& found) {
          Node& me = nodes_[node];
          me.calling_write = false;
          if (found.status != Status::ok && found.status != Status::not_found) return;
          me.controller->on_reloaded(
              *reload, found.status == Status::ok ? std::optional(found.entry.revision) : std::nullopt, time_of(node));
        });
    return;
  }
  const auto batch = self.controller->begin_write(time_of(node));
  if (!batch) return;
  if (batch->txn.changes.size() > settings_.state_txn_ops) throw std::logic_error("transaction over its limit");
  for (const kv::Change& change : batch->txn.changes) {
    if (change.data && static_cast<double>(wire::json_length(*change.data)) > settings_.state_value_kb * 1024) {
      throw std::logic_error("value over its limit: " + change.key);
    }
  }
  self.calling_write = true;
  call_state<kv::TxnResult>(
      node, Duty::writes,
      [this, node, txn = batch->txn](StateStore& store) {
        reached(Moment::write, node);
        return store.txn(txn);
      },
      [this, node, batch](const kv::TxnResult& result) {
        nodes_[node].calling_write = false;
        nodes_[node].controller->end_write(*batch, result, time_of(node));
      });
}

// ---- pools ----

World::PoolSide::PoolSide(const World& world)
    : record_cache({pools::kPoolPrefix, accounts::kAccountPrefix}),
      keeper([&world](const catalog::PoolDef&, std::int64_t) { return world.windows_open_; },
             static_cast<std::size_t>(world.settings_.state_value_kb * 1024)) {
  record_cache.add_reader(keeper);
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
      call_state<kv::ListResult>(
          node, Duty::records,
          [](StateStore& store) {
            kv::ListResult all = store.list(pools::kPoolPrefix);
            const auto more = store.list(accounts::kAccountPrefix).entries;
            all.entries.insert(all.entries.end(), more.begin(), more.end());
            return all;
          },
          [this, node, done](const kv::ListResult& all) {
            PoolSide& mine = *nodes_[node].pools;
            done(mine);
            if (all.status != Status::ok) return;
            mine.record_cache.read(all.entries, all.revision);
            mine.read = true;
          });
    } else {
      call_state<kv::WatchResult>(
          node, Duty::records,
          [from = side.record_cache.revision()](StateStore& store) { return store.watch("", from); },
          [this, node, done](const kv::WatchResult& news) {
            PoolSide& mine = *nodes_[node].pools;
            done(mine);
            if (news.status == Status::ok) mine.record_cache.heard(news.events, news.revision);
          },
          true, constants::kRecordCacheWatchHoldTimeout);
    }
  }
  if (now_ >= side.next_look && side.read) {
    side.next_look = now_ + constants::kPoolCheckInterval;
    const record_cache::Moment moment{.wall_ms = wall_ms(), .steady = time_of(node)};
    self.controller->set_pool_directives(side.keeper.directives());
    if (self.controller->is_leader()) side.keeper.observe(self.controller->observe_for_pools(time_of(node)), moment);
  }
  if (!late(node, Duty::writes)) pool_write(node);
}

void World::pool_write(std::size_t node) {
  Node& self = nodes_[node];
  PoolSide& side = *self.pools;
  if (side.writing || !self.controller->can_start_tasks(time_of(node)) || !side.record_cache.whole() ||
      side.record_cache.revision() < self.controller->term_revision()) {
    return;
  }
  const auto txn =
      side.keeper.next_write(side.jobs, {.wall_ms = wall_ms(), .steady = time_of(node)}, settings_.state_txn_ops);
  if (!txn) return;
  if (txn->changes.size() > settings_.state_txn_ops) throw std::logic_error("transaction over its limit");
  for (const kv::Change& change : txn->changes) {
    if (change.data && static_cast<double>(wire::json_length(*change.data)) > settings_.state_value_kb * 1024) {
      throw std::logic_error("value over its limit: " + change.key);
    }
  }
  side.writing = true;
  kv::Txn guarded = *txn;
  guarded.preconditions.push_back({.key = state::kTermKey, .revision = self.controller->term_revision()});
  call_state<kv::TxnResult>(
      node, Duty::writes, [guarded](StateStore& store) { return store.txn(guarded); },
      [this, node, txn](const kv::TxnResult& result) {
        nodes_[node].pools->writing = false;
        nodes_[node].pools->keeper.on_written(*txn, result);
      });
}

const pools::WarmPoolController* World::pools(std::size_t node) const {
  return nodes_[node].alive && nodes_[node].pools ? &nodes_[node].pools->keeper : nullptr;
}

// Nodes that have come to the same revision say the same.
bool World::digests_equal() const {
  std::map<Revision, std::uint64_t> known;
  std::map<Revision, std::size_t> said;
  for (const Node& node : nodes_) {
    if (!node.alive || !node.pools || !node.pools->record_cache.whole()) continue;
    const Revision revision = node.pools->record_cache.revision();
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
