// What the cloud may have, as far as its answers tell; what is wanted of it; and the request under way. Pure.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "plan/usage_vector.h"
#include "inventory/machine_inventory.h"
#include "wire/ids.h"
#include "wire/messages.h"

namespace foxshunt::control {

class CloudCapacityTracker {
 public:
  using Kind = inventory::MachineKind;
  using Held = std::map<Kind, std::size_t>;      // machines of each kind that there are
  using Wanted = std::map<Kind, std::uint64_t>;  // machines more

  struct Refusal {
    plan::Instant not_before;
    plan::Millis pause{};
    std::size_t most = 0;  // how many we had when the cloud refused more
  };

  // What the cloud has refused; and what a standby's hint says of it.
  [[nodiscard]] const std::map<Kind, Refusal>& refused() const { return refused_; }
  void hint(const Kind& kind, const Refusal& refusal) { refused_[kind] = refusal; }

  // What a successor of this lead, on the same node, goes on with: what the cloud has refused.
  [[nodiscard]] CloudCapacityTracker refusals() const;

  // Whether the cloud may have more of them now, as far as its refusals tell.
  [[nodiscard]] bool is_available(const Kind& kind, const Held& have, plan::Instant now) const;

  // Whether they may be counted on: a pause after a refusal that is over is no word that there is one now.
  [[nodiscard]] bool counted_on(const Kind& kind, const Held& have) const;

  // All that is wanted from now on. What is under way counts towards it: no machine of it is booked yet.
  void want(Wanted wanted);
  // Whether something is wanted, or under way.
  [[nodiscard]] bool wanted() const { return under_way_ || !wanted_.empty(); }

  // The request under way, or the next one: unanswered, the same request tells what became of it.
  [[nodiscard]] const std::optional<wire::ScaleOutRequest>& next(Term term, const Held& have, plan::Instant now);
  // A request that others have named.
  void ask(std::optional<wire::ScaleOutRequest> request) { under_way_ = std::move(request); }
  // Its answer. False when it is not the one under way.
  bool answered(const wire::ScaleOutRequest& request);
  // The cloud gave all that was asked for.
  void given(const Kind& kind) { refused_.erase(kind); }
  // It has no more of them while so many are held. After how long it is asked again.
  plan::Millis refused(const Kind& kind, std::size_t held_now, plan::Instant now);

 private:
  std::map<Kind, Refusal> refused_;
  Wanted wanted_;
  std::uint64_t rentals_ = 0;                       // in this term
  std::optional<wire::ScaleOutRequest> under_way_;  // or unanswered
};

}  // namespace foxshunt::control
