// Tracks which kinds of machines the cloud has refused to rent, which machines are wanted, and the pending scale-out
// request.
//
// No I/O: the caller passes in the time. Not thread-safe.
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
  using Kind = inventory::MachineKind;                   // machine type, zone, and whether it is a spot machine
  using HeldMachines = std::map<Kind, std::size_t>;      // number of machines that the cluster has of each kind
  using WantedMachines = std::map<Kind, std::uint64_t>;  // number of further machines to rent of each kind

  struct Refusal {
    plan::Instant not_before;         // when the kind is requested again
    plan::Millis pause{};             // the current backoff
    std::size_t held_at_refusal = 0;  // machines of the kind that the cluster had at that time
  };

  // The refusals of the cloud by kind, including those from the hints of a standby controller.
  [[nodiscard]] const std::map<Kind, Refusal>& refusals() const { return refusals_; }
  // Replaces the refusal of the kind by the one from a standby's hint.
  void apply_refusal_hint(const Kind& kind, const Refusal& refusal) { refusals_[kind] = refusal; }

  // The tracker for the next term that this node leads: a copy with the refusals only.
  [[nodiscard]] CloudCapacityTracker successor() const;

  // Whether a machine of the kind may be requested now: no refusal of the kind is known, its backoff is over, or the
  // cluster holds fewer machines of the kind than at the refusal.
  [[nodiscard]] bool is_available(const Kind& kind, const HeldMachines& held, plan::Instant now) const;

  // Whether a plan may count on getting a machine of the kind: no refusal of the kind is known, or the cluster holds
  // some, but fewer than at the refusal. The end of the backoff does not count: it does not mean that the cloud has a
  // machine again.
  [[nodiscard]] bool is_expected_available(const Kind& kind, const HeldMachines& held) const;

  // Replaces the wanted machines. Those of the pending request are subtracted: they have not arrived yet, so the caller
  // could not take them into account.
  void set_wanted(WantedMachines wanted);
  // Whether machines are wanted or a request is pending.
  [[nodiscard]] bool has_wanted_machines() const { return pending_request_ || !wanted_.empty(); }

  // Returns the pending request, or makes the next one pending. An unanswered request is repeated unchanged, so that
  // the cloud reports its result instead of renting again.
  [[nodiscard]] const std::optional<wire::ScaleOutRequest>& next_request(Term term, const HeldMachines& held,
                                                                         plan::Instant now);
  // Makes a request pending whose name was chosen by the caller.
  void set_request(std::optional<wire::ScaleOutRequest> request) { pending_request_ = std::move(request); }
  // Clears the pending request once it is answered. Returns false if `request` is not the pending one.
  bool complete_request(const wire::ScaleOutRequest& request);
  // The cloud provided all requested machines of the kind.
  void on_granted(const Kind& kind) { refusals_.erase(kind); }
  // The cloud refused further machines of the kind while the cluster held `held_now` of them. Returns the backoff.
  plan::Millis on_refused(const Kind& kind, std::size_t held_now, plan::Instant now);

 private:
  std::map<Kind, Refusal> refusals_;
  WantedMachines wanted_;
  std::uint64_t request_count_ = 0;                       // requests made in this term
  std::optional<wire::ScaleOutRequest> pending_request_;  // unanswered so far
};

}  // namespace foxshunt::control
