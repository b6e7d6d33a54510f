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

namespace foxshunt::standins {

using control::from_seconds;
using state::Answer;

namespace {

constexpr Millis kLook{500};              // of followers at who leads, for want of a watch
constexpr std::size_t kTakeoverPage = 3;  // records that a new leader reads at once
constexpr std::array kTakeoverPrefixes{state::kLivePrefix, state::kLingerPrefix, state::kPartPrefix};

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
  if (self.engine->leading()) {
    if (!late(node, Duty::planning)) {
      self.engine->tick(time_of(node));
      // A step may fall between two portions of a pass.
      if (self.engine->plan_wanted()) (void)self.engine->plan_some(time_of(node), places_per_step_);
    }
    if (!late(node, Duty::records)) follow_duty(node);
    if (!late(node, Duty::writes)) write_duty(node);
    if (!late(node, Duty::cloud)) cloud_duty(node);
    if (!late(node, Duty::halts)) halt_duty(node);
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
  const bool silent = self.state_heard && now_ - *self.state_heard >= constants::kPeerSilence;
  if ((!self.cut_from_state && !silent) || now_ < self.next_peers) return;
  self.next_peers = now_ + constants::kPeerEvery;
  for (std::size_t other = 0; other < nodes_.size(); ++other) {
    const Node& sibling = nodes_[other];
    if (other == node || !hears(other, node) || !sibling.engine->leading() ||
        sibling.engine->term() <= self.engine->term())
      continue;
    self.leader_seen = NodeName("node-" + std::to_string(other));
    record_term_notice(node, other, sibling.engine->term());
    self.engine->hear_of(sibling.engine->term());
  }
}

// As src/node/zones.cpp does.
void World::ask_duty(std::size_t node) {
  Node& self = nodes_[node];
  if (self.asking || now_ < self.next_ask) return;
  self.next_ask = now_ + constants::kAskEvery;
  const auto leader = node_of(self.leader_seen);
  self.engine->hear_of(self.term_seen);
  if (!leader || *leader == node || self.engine->leading()) {
    self.leader_answered.reset();
    return;
  }
  self.asking = true;
  const zone::Ask ask = self.holder.next_ask(self.term_seen, time_of(node));
  record_grant_request(node, *leader, ask);
  const auto reaches_leader = [this, node, leader] { return hears(*leader, node); };
  const auto given_up = [this, node, life = self.life] {
    if (nodes_[node].life != life) return;
    nodes_[node].asking = false;
    nodes_[node].leader_answered.reset();
  };
  if (!reaches_leader()) {
    after(constants::kAskLimit, given_up);
    const auto cut = cut_zones_.find(self.zone);
    if (cut == cut_zones_.end() || !cut->second) return;
    // Held up, the word arrives when the cut is over, and nobody waits for its answer.
    return repeat(kStep, [this, leader, ask, reaches_leader] {
      if (!reaches_leader()) return false;
      (void)nodes_[*leader].engine->on_ask(ask, time_of(*leader));
      return true;
    });
  }
  copy_late([this, leader, ask] {
    if (nodes_[*leader].alive) (void)nodes_[*leader].engine->on_ask(ask, time_of(*leader));
  });
  after(kWordDelay, [this, node, leader, ask, asked = time_of(node), life = self.life, given_up] {
    const auto grant = nodes_[*leader].engine->on_ask(ask, time_of(*leader));
    record_grant(*leader, grant);
    if (grant) reached(Moment::grant, *leader);
    if (!nodes_[*leader].alive || !grant) return after(kWordDelay, given_up);
    after(kWordDelay, [this, node, leader, grant, asked, life, given_up] {
      Node& me = nodes_[node];
      if (!me.alive || me.life != life) return;
      if (apart(node, *leader)) return after(constants::kAskLimit, given_up);
      const auto take = [this, node, grant, asked, life] {
        Node& holder = nodes_[node];
        if (late(node, Duty::asks)) return false;
        if (!holder.alive || holder.life != life) return true;
        holder.asking = false;
        if (holder.holder.on_grant(*grant, asked)) holder.leader_answered = now_;
        return true;
      };
      if (!take()) repeat(kStep, take);
    });
  });
}

std::optional<std::string> World::standby_word(std::size_t node, const standby::Ask& ask) {
  Node& self = nodes_[node];
  if (!self.alive || (self.hints_wanted_until && now_ < *self.hints_wanted_until)) return std::nullopt;
  if (self.teller->wants_picture(time_of(node))) {
    auto picture = self.engine->leading() ? std::optional(self.engine->soft_state(time_of(node)))
                                          : self.listener->picture(time_of(node));
    if (picture) self.teller->show(std::move(*picture));
  }
  const auto word = self.teller->tell(ask, time_of(node));
  return word ? std::optional(wire::encode(standby::to_value(*word))) : std::nullopt;
}

// As src/node/standby.cpp does; words are lost now and then, and with late copies come again up to minutes later.
void World::standby_duty(std::size_t node) {
  Node& self = nodes_[node];
  if (self.asking_standby || now_ < self.next_standby) return;
  const bool wants = self.hints_wanted_until && now_ < *self.hints_wanted_until;
  auto of = node_of(self.leader_seen);
  if (wants || !of) {
    if (!wants && self.listener->picture(time_of(node))) return;
    // Any sibling in reach, one after the other.
    of = (node + 1 + std::uniform_int_distribution<std::size_t>(0, nodes_.size())(words_luck_)) % nodes_.size();
  }
  if (*of == node || (self.engine->leading() && !wants)) return;
  self.next_standby = now_ + (wants ? kStep : constants::kStandbyEvery);
  if (!hears(*of, node)) return;
  if (!wants && nodes_[*of].engine->leading()) self.listener->hear_of(self.term_seen);
  const standby::Ask ask = self.listener->next_ask(NodeName("node-" + std::to_string(*of)));
  record_standby_request(node, *of, ask);
  self.asking_standby = true;
  const auto hear = [this, node, life = self.life](const std::string& bytes) {
    Node& me = nodes_[node];
    if (!me.alive || me.life != life) return;
    if (me.listener->on_answer(bytes, time_of(node))) ++words_refused_;
    if (!me.hints_wanted_until || !me.engine->leading()) return;
    const auto hints = me.listener->picture(time_of(node));
    if (!hints || hints->term >= me.engine->term() || now_ >= *me.hints_wanted_until) return;
    me.engine->hint(*hints, time_of(node));
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
  if (self.engine->leading()) {
    const Instant sent = time_of(node);
    struct Touched {
      Answer answer = Answer::none;
    };
    call_state<Touched>(
        node, Duty::lease, [this, lease = self.lease](StateStore& store) { return Touched{store.touch(lease, now_)}; },
        [this, node, sent, again](const Touched& touched) {
          if (touched.answer == Answer::ok) nodes_[node].engine->confirm_lease(sent);
          if (touched.answer == Answer::not_found) nodes_[node].engine->resign("its lease has ended");
          again(touched.answer == Answer::ok ? constants::kLeaderRenew : constants::kStateRetryPause);
        });
    return;
  }
  if (self.lease.number != 0) {  // it leads no longer: another node may at once
    struct Revoked {
      Answer answer = Answer::none;
    };
    call_state<Revoked>(
        node, Duty::lease,
        [lease = std::exchange(self.lease, {})](StateStore& store) {
          store.revoke(lease);
          return Revoked{Answer::ok};
        },
        [again](const Revoked&) { again(Millis(0)); });
    return;
  }
  struct Seen {
    Answer answer = Answer::none;
    state::LeadView view;
  };
  call_state<Seen>(
      node, Duty::lease,
      [](StateStore& store) {
        return Seen{Answer::ok, state::lead_view(store.get(state::kHolderKey), store.get(state::kTermKey))};
      },
      [this, node, again](const Seen& seen) {
        Node& me = nodes_[node];
        const NodeName name("node-" + std::to_string(node));
        if (seen.answer != Answer::ok) return again(constants::kStateRetryPause);
        const bool held = seen.view.holder_mark != Revision{};
        me.leader_seen = held ? seen.view.record.leader : NodeName{};
        me.term_seen = seen.view.record.term;
        if (held && seen.view.record.leader != name) return again(kLook);
        if (!me.engine->gives_way(time_of(node))) take_lead(node, seen.view);
        again(kLook);
      },
      true, self.leader_seen.empty() ? Millis(0) : Millis(constants::kLeaderWatchHold));
}

void World::take_lead(std::size_t node, const state::LeadView& view) {
  struct Taken {
    Answer answer = Answer::none;
    state::LeaseId lease;
    Revision mark;
  };
  const NodeName name("node-" + std::to_string(node));
  reached(Moment::lead, node);
  const std::int64_t until = state::others_until(view, wall_ms(), control::fence_span(settings_).count(),
                                                 static_cast<std::int64_t>(settings_.skew_ms));
  nodes_[node].taking_lead = true;
  call_state<Taken>(
      node, Duty::lease,
      [this, view, name, until](StateStore& store) {
        Taken taken;
        taken.lease = store.grant(constants::kLeaderLease, now_);
        const state::Txn txn = state::take_lead_txn(view, name, taken.lease, until);
        const Fate found = fate();
        if (found == Fate::late) {
          carry_out_late([txn](StateStore& later) { (void)later.txn(txn); });
          return taken;
        }
        const state::TxnResult result = store.txn(txn);
        if (found == Fate::unanswered) return taken;
        copy_late([this, txn] {
          if (!state_out_) (void)store_.txn(txn);
        });
        taken.answer = result.answer;
        taken.mark = result.revision;
        if (result.answer != Answer::ok) store.revoke(taken.lease);
        return taken;
      },
      [this, node, view, until, sent = time_of(node)](const Taken& taken) {
        if (taken.answer != Answer::ok) {
          nodes_[node].taking_lead = false;
          return;
        }
        nodes_[node].lease = taken.lease;
        auto read = std::make_shared<RecordsRead>();
        read->takeover.term = view.record.term.next();
        read->takeover.term_mark = taken.mark;
        read->others_until_wall_ms = until;
        read->began = read->renewed = sent;
        read_records(node, read, 0, {});
      },
      false);
}

// As LeaderDuty::read does, in pages of a few records: others write between them.
void World::read_records(std::size_t node, const std::shared_ptr<RecordsRead>& read, std::size_t prefix,
                         const std::string& from) {
  struct Page {
    state::ListResult found;
    Answer answer = Answer::none;
    bool more = false;
  };
  const auto give_up = [this, node] { nodes_[node].taking_lead = false; };
  call_state<Page>(
      node, Duty::lease,
      [this, prefix, from, lease = nodes_[node].lease](StateStore& store) {
        Page page{.found = store.list(kTakeoverPrefixes.at(prefix))};
        std::vector<state::Entry>& entries = page.found.entries;
        std::erase_if(entries, [&](const state::Entry& entry) { return entry.key <= from; });
        page.more = entries.size() > kTakeoverPage;
        if (page.more) entries.resize(kTakeoverPage);
        page.answer = store.touch(lease, now_);
        return page;
      },
      [this, node, read, prefix, give_up, sent = time_of(node)](const Page& page) {
        if (page.answer != Answer::ok) return give_up();
        read->renewed = sent;
        control::Takeover& takeover = read->takeover;
        if (read->from == Revision{}) read->from = page.found.revision;
        const std::array lists{&takeover.live, &takeover.linger, &takeover.parts};
        std::vector<state::Entry>& entries = *lists.at(prefix);
        entries.insert(entries.end(), page.found.entries.begin(), page.found.entries.end());
        reached(Moment::records, node);
        if (!nodes_[node].alive) return;
        if (page.more) return read_records(node, read, prefix, entries.back().key);
        if (prefix + 1 < kTakeoverPrefixes.size()) return read_records(node, read, prefix + 1, {});
        give_up();
        if (time_of(node) < read->renewed + constants::kLeaderLease) lead(node, *read);
      },
      true);
}

void World::lead(std::size_t node, const RecordsRead& read) {
  Node& self = nodes_[node];
  control::Takeover takeover = read.takeover;
  takeover.wall_ms = wall_ms();
  takeover.others_until =
      time_of(node) + Millis(std::max<std::int64_t>(0, read.others_until_wall_ms - takeover.wall_ms));
  self.follow_from = read.from;
  self.engine->lead(takeover, read.began);
  self.engine->confirm_lease(read.renewed);
  if (settings_.operators.standby) {
    if (takeover.term.number() > 1) self.hints_wanted_until = now_ + constants::kStandbyLate;
    if (const auto hints = self.listener->picture(time_of(node))) {
      self.engine->hint(*hints, time_of(node));
      ++hints_taken_;
      self.hints_wanted_until.reset();
    }
  }
  if (self.calendar)
    self.engine->on_dues(calendar::dues_of(*self.calendar, {.at = time_of(node), .wall_ms = wall_ms()}));
  on_new_leader();
  self.calling_follow = self.calling_write = self.calling_cloud = false;
}

}  // namespace foxshunt::standins
