// How controllers of the emulated world come to lead, and what they tell each other: leases, takeovers, zone grants, standby.
#include "standins/world.h"

#include <algorithm>
#include <array>
#include <memory>
#include <utility>

#include "calendar/plans.h"
#include "config/constants.h"
#include "control/times.h"
#include "standins/world_state_calls.h"
#include "state/keys.h"
#include "state/leadership_records.h"

namespace foxshunt::standins {

using control::from_seconds;
using kv::Status;

namespace {

constexpr Millis kLook{500};              // of followers at who leads, for want of a watch
constexpr std::size_t kTakeoverPage = 3;  // records that a new leader reads at once
constexpr std::array kTakeoverPrefixes{state::kActiveJobPrefix, state::kTerminatingJobPrefix, state::kJobShardPrefix};

}  // namespace

void World::duties(std::size_t node, std::uint64_t life) {
  Node& self = nodes_[node];
  if (!self.alive || self.life != life) return;
  if (!late(node, Duty::lease)) lead_duty(node);
  if (!self.alive) return;
  if (!late(node, Duty::asks)) ask_duty(node);
  if (settings_.operators.standby && !late(node, Duty::asks)) standby_duty(node);
  if (self.pools) pool_duty(node);
  if (catalog_ && !late(node, Duty::records)) ledger_duty(node);
  if (self.calendar && !late(node, Duty::writes)) calendar_duty(node);
  if (self.controller->is_leader()) {
    if (!late(node, Duty::planning)) {
      self.controller->tick(time_of(node));
      // A step may fall between two portions of a pass.
      if (self.controller->needs_planning()) (void)self.controller->plan_portion(time_of(node), places_per_step_);
    }
    if (!late(node, Duty::records)) follow_duty(node);
    if (!late(node, Duty::writes)) write_duty(node);
    if (!late(node, Duty::cloud)) cloud_duty(node);
    if (!late(node, Duty::direct_stops)) halt_duty(node);
    peer_duty(node);
  }
  after(kStep, [this, node, life] { duties(node, life); });
}

bool World::late(std::size_t node, Duty duty) const {
  return now_ < nodes_[node].late_until[static_cast<std::size_t>(duty)];
}

void World::delay_duty(std::size_t node, Duty duty, double for_s) {
  trouble(for_s);
  nodes_[node].late_until[static_cast<std::size_t>(duty)] = now_ + from_seconds(for_s);
}

// Siblings tell a leader that has lost the state service of a successor.
void World::peer_duty(std::size_t node) {
  Node& self = nodes_[node];
  const bool silent = self.state_heard && now_ - *self.state_heard >= constants::kPeerSilenceTimeout;
  if ((!self.cut_from_state && !silent) || now_ < self.next_peers) return;
  self.next_peers = now_ + constants::kPeerProbeInterval;
  for (std::size_t other = 0; other < nodes_.size(); ++other) {
    const Node& sibling = nodes_[other];
    if (other == node || !hears(other, node) || !sibling.controller->is_leader() ||
        sibling.controller->term() <= self.controller->term())
      continue;
    self.leader_seen = NodeName("node-" + std::to_string(other));
    record_term_notice(node, other, sibling.controller->term());
    self.controller->observe_term(sibling.controller->term());
  }
}

// As src/node/zones.cpp does.
void World::ask_duty(std::size_t node) {
  Node& self = nodes_[node];
  if (self.asking || now_ < self.next_request) return;
  self.next_request = now_ + constants::kDelegationRequestInterval;
  const auto leader = node_of(self.leader_seen);
  self.controller->observe_term(self.term_seen);
  if (!leader || *leader == node || self.controller->is_leader()) {
    self.leader_answered.reset();
    return;
  }
  self.asking = true;
  const zone::DelegationRequest ask = self.holder.next_request(self.term_seen, time_of(node));
  record_grant_request(node, *leader, ask);
  const auto reaches_leader = [this, node, leader] { return hears(*leader, node); };
  const auto given_up = [this, node, life = self.life] {
    if (nodes_[node].life != life) return;
    nodes_[node].asking = false;
    nodes_[node].leader_answered.reset();
  };
  if (!reaches_leader()) {
    after(constants::kDelegationRequestTimeout, given_up);
    const auto cut = cut_zones_.find(self.zone);
    if (cut == cut_zones_.end() || !cut->second) return;
    // Held up, the word arrives when the cut is over, and nobody waits for its answer.
    return repeat(kStep, [this, leader, ask, reaches_leader] {
      if (!reaches_leader()) return false;
      (void)nodes_[*leader].controller->on_delegation_request(ask, time_of(*leader));
      return true;
    });
  }
  copy_late([this, leader, ask] {
    if (nodes_[*leader].alive) (void)nodes_[*leader].controller->on_delegation_request(ask, time_of(*leader));
  });
  after(kWordDelay, [this, node, leader, ask, asked = time_of(node), life = self.life, given_up] {
    const auto delegation = nodes_[*leader].controller->on_delegation_request(ask, time_of(*leader));
    record_grant(*leader, delegation);
    if (delegation) reached(Moment::delegation, *leader);
    if (!nodes_[*leader].alive || !delegation) return after(kWordDelay, given_up);
    after(kWordDelay, [this, node, leader, delegation, asked, life, given_up] {
      Node& me = nodes_[node];
      if (!me.alive || me.life != life) return;
      if (apart(node, *leader)) return after(constants::kDelegationRequestTimeout, given_up);
      const auto take = [this, node, delegation, asked, life] {
        Node& holder = nodes_[node];
        if (late(node, Duty::asks)) return false;
        if (!holder.alive || holder.life != life) return true;
        holder.asking = false;
        if (holder.holder.on_delegation(*delegation, asked)) holder.leader_answered = now_;
        return true;
      };
      if (!take()) repeat(kStep, take);
    });
  });
}

std::optional<std::string> World::standby_word(std::size_t node, const standby::SnapshotRequest& ask) {
  Node& self = nodes_[node];
  if (!self.alive || (self.hints_wanted_until && now_ < *self.hints_wanted_until)) return std::nullopt;
  if (self.publisher->wants_snapshot(time_of(node))) {
    auto snapshot = self.controller->is_leader() ? std::optional(self.controller->soft_state(time_of(node)))
                                                 : self.subscriber->snapshot(time_of(node));
    if (snapshot) self.publisher->show(std::move(*snapshot));
  }
  const auto word = self.publisher->tell(ask, time_of(node));
  return word ? std::optional(wire::encode(standby::to_value(*word))) : std::nullopt;
}

// As src/node/standby.cpp does; words are lost now and then, and with late copies come again up to minutes later.
void World::standby_duty(std::size_t node) {
  Node& self = nodes_[node];
  if (self.asking_standby || now_ < self.next_standby) return;
  const bool wants = self.hints_wanted_until && now_ < *self.hints_wanted_until;
  auto of = node_of(self.leader_seen);
  if (wants || !of) {
    if (!wants && self.subscriber->snapshot(time_of(node))) return;
    // Any sibling in reach, one after the other.
    of = (node + 1 + std::uniform_int_distribution<std::size_t>(0, nodes_.size())(words_luck_)) % nodes_.size();
  }
  if (*of == node || (self.controller->is_leader() && !wants)) return;
  self.next_standby = now_ + (wants ? kStep : constants::kStandbyInterval);
  if (!hears(*of, node)) return;
  if (!wants && nodes_[*of].controller->is_leader()) self.subscriber->observe_term(self.term_seen);
  const standby::SnapshotRequest ask = self.subscriber->next_request(NodeName("node-" + std::to_string(*of)));
  record_standby_request(node, *of, ask);
  self.asking_standby = true;
  const auto hear = [this, node, life = self.life](const std::string& bytes) {
    Node& me = nodes_[node];
    if (!me.alive || me.life != life) return;
    if (me.subscriber->on_answer(bytes, time_of(node))) ++words_refused_;
    if (!me.hints_wanted_until || !me.controller->is_leader()) return;
    const auto hints = me.subscriber->snapshot(time_of(node));
    if (!hints || hints->term >= me.controller->term() || now_ >= *me.hints_wanted_until) return;
    me.controller->apply_soft_state(*hints, time_of(node));
    ++hints_taken_;
    me.hints_wanted_until.reset();
  };
  after(kWordDelay, [this, node, life = self.life, of = *of, ask, hear] {
    const auto bytes = standby_word(of, ask);
    record_standby_answer(of, bytes);
    after(kWordDelay, [this, node, life, of, bytes, hear] {
      if (nodes_[node].life != life) return;
      nodes_[node].asking_standby = false;
      const int luck = std::uniform_int_distribution<int>(0, 49)(words_luck_);
      if (!bytes || luck == 0 || apart(node, of)) return;
      hear(luck == 1 ? bytes->substr(0, bytes->size() / 2) : *bytes);
      if (luck == 2) hear(*bytes);
      copy_late([bytes, hear] { hear(*bytes); });
    });
  });
}

void World::lead_duty(std::size_t node) {
  Node& self = nodes_[node];
  if (self.calling_lead || self.taking_lead) return;
  self.calling_lead = true;
  const auto again = [this, node, life = self.life](Millis pause) {
    after(pause, [this, node, life] {
      if (nodes_[node].life == life) nodes_[node].calling_lead = false;
    });
  };
  if (self.controller->is_leader()) {
    const Instant sent = time_of(node);
    struct Touched {
      Status status = Status::unknown;
    };
    call_state<Touched>(
        node, Duty::lease, [this, lease = self.lease](StateStore& store) { return Touched{store.touch(lease, now_)}; },
        [this, node, sent, again](const Touched& touched) {
          if (touched.status == Status::ok) nodes_[node].controller->on_leader_lease_renewed(sent);
          if (touched.status == Status::not_found) nodes_[node].controller->step_down("its lease has ended");
          again(touched.status == Status::ok ? constants::kLeaderLeaseRenewInterval : constants::kStoreRetryBackoff);
        });
    return;
  }
  if (self.lease.number != 0) {  // it leads no longer: another node may at once
    struct Revoked {
      Status status = Status::unknown;
    };
    call_state<Revoked>(
        node, Duty::lease,
        [lease = std::exchange(self.lease, {})](StateStore& store) {
          store.revoke(lease);
          return Revoked{Status::ok};
        },
        [again](const Revoked&) { again(Millis(0)); });
    return;
  }
  struct Seen {
    Status status = Status::unknown;
    state::LeadershipView view;
  };
  call_state<Seen>(
      node, Duty::lease,
      [](StateStore& store) {
        return Seen{Status::ok, state::leadership_view(store.get(state::kLeaderKey), store.get(state::kTermKey))};
      },
      [this, node, again](const Seen& seen) {
        Node& me = nodes_[node];
        const NodeName name("node-" + std::to_string(node));
        if (seen.status != Status::ok) return again(constants::kStoreRetryBackoff);
        const bool held = seen.view.leader_revision != Revision{};
        me.leader_seen = held ? seen.view.record.leader : NodeName{};
        me.term_seen = seen.view.record.term;
        if (held && seen.view.record.leader != name) return again(kLook);
        if (!me.controller->should_yield_leadership(time_of(node))) acquire_leadership(node, seen.view);
        again(kLook);
      },
      true, self.leader_seen.empty() ? Millis(0) : Millis(constants::kLeaderWatchHoldTimeout));
}

void World::acquire_leadership(std::size_t node, const state::LeadershipView& view) {
  struct Taken {
    Status status = Status::unknown;
    kv::LeaseId lease;
    Revision revision;
  };
  const NodeName name("node-" + std::to_string(node));
  reached(Moment::lead, node);
  const std::int64_t until = state::older_leaders_deadline(view, wall_ms(), control::fencing_timeout(settings_).count(),
                                                           static_cast<std::int64_t>(settings_.skew_ms));
  nodes_[node].taking_lead = true;
  call_state<Taken>(
      node, Duty::lease,
      [this, view, name, until](StateStore& store) {
        Taken taken;
        taken.lease = store.grant_lease(constants::kLeaderLeaseTtl, now_);
        const kv::Txn txn = state::acquire_leadership_txn(view, name, taken.lease, until);
        const Fate found = fate();
        if (found == Fate::late) {
          carry_out_late([txn](StateStore& later) { (void)later.txn(txn); });
          return taken;
        }
        const kv::TxnResult result = store.txn(txn);
        if (found == Fate::unanswered) return taken;
        copy_late([this, txn] {
          if (!state_out_) (void)store_.txn(txn);
        });
        taken.status = result.status;
        taken.revision = result.revision;
        if (result.status != Status::ok) store.revoke(taken.lease);
        return taken;
      },
      [this, node, view, until, sent = time_of(node)](const Taken& taken) {
        if (taken.status != Status::ok) {
          nodes_[node].taking_lead = false;
          return;
        }
        nodes_[node].lease = taken.lease;
        auto read = std::make_shared<RecordsRead>();
        read->failover.term = view.record.term.next();
        read->failover.term_revision = taken.revision;
        read->older_leaders_until_wall_ms = until;
        read->began = read->renewed = sent;
        read_records(node, read, 0, {});
      },
      false);
}

// As LeaderDuty::read does, in pages of a few records: others write between them.
void World::read_records(std::size_t node, const std::shared_ptr<RecordsRead>& read, std::size_t prefix,
                         const std::string& from) {
  struct Page {
    kv::ListResult found;
    Status status = Status::unknown;
    bool more = false;
  };
  const auto give_up = [this, node] { nodes_[node].taking_lead = false; };
  call_state<Page>(
      node, Duty::lease,
      [this, prefix, from, lease = nodes_[node].lease](StateStore& store) {
        Page page{.found = store.list(kTakeoverPrefixes.at(prefix))};
        std::vector<kv::Entry>& entries = page.found.entries;
        std::erase_if(entries, [&](const kv::Entry& entry) { return entry.key <= from; });
        page.more = entries.size() > kTakeoverPage;
        if (page.more) entries.resize(kTakeoverPage);
        page.status = store.touch(lease, now_);
        return page;
      },
      [this, node, read, prefix, give_up, sent = time_of(node)](const Page& page) {
        if (page.status != Status::ok) return give_up();
        read->renewed = sent;
        control::FailoverSnapshot& failover = read->failover;
        if (read->from == Revision{}) read->from = page.found.revision;
        const std::array lists{&failover.active_jobs, &failover.terminating_jobs, &failover.shards};
        std::vector<kv::Entry>& entries = *lists.at(prefix);
        entries.insert(entries.end(), page.found.entries.begin(), page.found.entries.end());
        reached(Moment::records, node);
        if (!nodes_[node].alive) return;
        if (page.more) return read_records(node, read, prefix, entries.back().key);
        if (prefix + 1 < kTakeoverPrefixes.size()) return read_records(node, read, prefix + 1, {});
        give_up();
        if (time_of(node) < read->renewed + constants::kLeaderLeaseTtl) become_leader(node, *read);
      },
      true);
}

void World::become_leader(std::size_t node, const RecordsRead& read) {
  Node& self = nodes_[node];
  control::FailoverSnapshot failover = read.failover;
  failover.wall_ms = wall_ms();
  failover.older_leaders_until =
      time_of(node) + Millis(std::max<std::int64_t>(0, read.older_leaders_until_wall_ms - failover.wall_ms));
  self.watch_from = read.from;
  self.controller->become_leader(failover, read.began);
  self.controller->on_leader_lease_renewed(read.renewed);
  if (settings_.operators.standby) {
    if (failover.term.number() > 1) self.hints_wanted_until = now_ + constants::kStandbyLate;
    if (const auto hints = self.subscriber->snapshot(time_of(node))) {
      self.controller->apply_soft_state(*hints, time_of(node));
      ++hints_taken_;
      self.hints_wanted_until.reset();
    }
  }
  if (self.calendar)
    self.controller->on_due_jobs(calendar::dues_of(*self.calendar, {.at = time_of(node), .wall_ms = wall_ms()}));
  on_new_leader();
  self.calling_follow = self.calling_write = self.calling_cloud = false;
}

}  // namespace foxshunt::standins
