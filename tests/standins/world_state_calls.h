// World::call_state, for the parts of the emulated world that call the state service.
#pragma once

#include <type_traits>

#include "config/constants.h"
#include "standins/world.h"

namespace foxshunt::standins {

inline constexpr Millis kOpenWatch{
    600};  // a look so soon after a refusal began stands for the watch that was open then

template <typename Result>
void World::call_state(std::size_t node, Duty duty, std::function<Result(StateStore&)> what,
                       std::function<void(const Result&)> then, bool copied, Millis hold) {
  record_state_call(node, duty);
  const std::uint64_t life = nodes_[node].life;
  const Millis slow = slow_state();
  const auto reply = [this, node, duty, life, then](const Result& result, Millis wait) {
    const auto hear = [this, node, duty, life, then, result] {
      if (late(node, duty)) return false;
      if (!nodes_[node].alive || nodes_[node].life != life) return true;
      if (result.status != kv::Status::unknown && result.status != kv::Status::unavailable)
        nodes_[node].state_heard = now_;
      record_state_answer(node, duty, result.status);
      then(result);
      return true;
    };
    after(wait, [this, hear] {
      if (!hear()) repeat(kStep, hear);
    });
  };
  Result none;
  none.status = kv::Status::unknown;
  Result refused;
  refused.status = kv::Status::unavailable;
  if (this->refused(node)) {
    ++struck_["refuse_state"];
    if (hold == Millis(0) || now_ - nodes_[node].refused_from > kOpenWatch) return reply(refused, delay());
    return repeat(kStep, [this, node, life, what, reply, none, limit = now_ + hold + constants::kStoreCallTimeout] {
      if (!nodes_[node].alive || nodes_[node].life != life) return true;
      if (now_ >= limit) return reply(none, Millis(0)), true;
      if (this->refused(node) || state_out_ || nodes_[node].cut_from_state) return false;
      return reply(what(store_), delay()), true;
    });
  }
  if (state_out_) return reply(refused, delay());
  const auto zone_cut = cut_zones_.find(nodes_[node].zone);
  if (nodes_[node].cut_from_state || zone_cut != cut_zones_.end()) {
    // Held up, it is carried out when the cut is over, and nobody hears of it.
    if (nodes_[node].state_holds || (zone_cut != cut_zones_.end() && zone_cut->second)) {
      repeat(kStep, [this, node, what] {
        if (nodes_[node].cut_from_state || cut_zones_.contains(nodes_[node].zone) || state_out_) return false;
        (void)what(store_);
        return true;
      });
    }
    return reply(none, constants::kStoreCallTimeout);
  }
  // A request may be lost, or its answer.
  const int luck = std::uniform_int_distribution<int>(0, 399)(random_);
  // A write without an answer is tried again, and all that is to be written waits for it: an end that comes about then may
  // be told later than on a calm day.
  if (std::is_same_v<Result, kv::TxnResult> && luck < 2) {
    history_.on_trouble(now_);
    write_lost_until_ = now_ + constants::kStoreCallTimeout;
  }
  if (luck == 0) return reply(none, constants::kStoreCallTimeout);
  if constexpr (std::is_same_v<Result, kv::TxnResult>) {
    if (const Fate found = fate(); found != Fate::answered) {
      const auto carry_out = [what](StateStore& store) { (void)what(store); };
      if (found == Fate::late) carry_out_late(carry_out);
      if (found == Fate::unanswered) after(delay(), [this, carry_out] { carry_out(store_); });
      return reply(none, constants::kStoreCallTimeout);
    }
  }
  after(delay() + slow / 2, [this, what, reply, luck, none, copied, slow] {
    Result result = what(store_);
    if (copied) {
      copy_late([this, what] {
        if (!state_out_) (void)what(store_);
      });
    }
    if (luck == 1 || result.status == kv::Status::unknown) return reply(none, constants::kStoreCallTimeout);
    // Answered only after the caller has given up.
    if (slow > constants::kStoreCallTimeout) return reply(none, constants::kStoreCallTimeout - slow / 2);
    reply(result, delay() + slow / 2);
  });
}

}  // namespace foxshunt::standins
