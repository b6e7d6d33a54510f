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
  using Kind = inventory::Kind;
  using HeldMachines = std::map<Kind, std::size_t>;      // machines of each kind that there are
  using WantedMachines = std::map<Kind, std::uint64_t>;  // machines more

  struct Refusal {
    plan::Instant not_before;
    plan::Millis pause{};
    std::size_t held_at_refusal = 0;  // how many we had when the cloud refused more
  };

  // What the cloud has refused; and what a standby's hint says of it.
  [[nodiscard]] const std::map<Kind, Refusal>& refusals() const { return refusals_; }
  void apply_refusal_hint(const Kind& kind, const Refusal& refusal) { refusals_[kind] = refusal; }

  // What a successor of this lead, on the same node, goes on with: what the cloud has refused.
  [[nodiscard]] CloudCapacityTracker successor() const;

  // Whether the cloud may have more of them now, as far as its refusals tell.
  [[nodiscard]] bool is_available(const Kind& kind, const HeldMachines& have, plan::Instant now) const;

  // Whether they may be counted on: a pause after a refusal that is over is no word that there is one now.
  [[nodiscard]] bool is_expected_available(const Kind& kind, const HeldMachines& have) const;

  // All that is wanted from now on. What is under way counts towards it: no machine of it is booked yet.
  void set_wanted(WantedMachines wanted);
  // Whether something is wanted, or under way.
  [[nodiscard]] bool has_wanted_machines() const { return pending_request_ || !wanted_.empty(); }

  // The request under way, or the next one: unanswered, the same request tells what became of it.
  [[nodiscard]] const std::optional<wire::ScaleOutRequest>& next_request(Term term, const HeldMachines& have,
                                                                         plan::Instant now);
  // A request that others have named.
  void set_request(std::optional<wire::ScaleOutRequest> request) { pending_request_ = std::move(request); }
  // Its answer. False when it is not the one under way.
  bool complete_request(const wire::ScaleOutRequest& request);
  // The cloud gave all that was asked for.
  void on_granted(const Kind& kind) { refusals_.erase(kind); }
  // It has no more of them while so many are held. After how long it is asked again.
  plan::Millis on_refused(const Kind& kind, std::size_t held_now, plan::Instant now);

 private:
  std::map<Kind, Refusal> refusals_;
  WantedMachines wanted_;
  std::uint64_t request_count_ = 0;                       // in this term
  std::optional<wire::ScaleOutRequest> pending_request_;  // or unanswered
};

}  // namespace foxshunt::control
