// What the emulated world tells the recorder: messages between controllers, workers, cloud and users.
#include "standins/world.h"

#include "standby/words.h"
#include "zone/messages.h"

namespace foxshunt::standins {

namespace {

wire::Value::List names_of(const std::vector<MachineId>& machines) {
  wire::Value::List names;
  for (const MachineId& machine : machines) names.emplace_back(machine.text());
  return names;
}

}  // namespace

void World::record_state_call(std::size_t node, Duty duty) {
  if (traffic_ == nullptr) return;
  traffic_->record(TrafficMessage("state-call").add("controller", node).add("duty", static_cast<std::uint64_t>(duty)));
}

void World::record_state_answer(std::size_t node, Duty duty, kv::Status answer) {
  if (traffic_ == nullptr) return;
  traffic_->record(TrafficMessage("state-answer")
                       .add("controller", node)
                       .add("duty", static_cast<std::uint64_t>(duty))
                       .add("answer", static_cast<std::uint64_t>(answer)));
}

void World::record_report(const wire::Heartbeat& heartbeat, std::size_t node) {
  if (traffic_ == nullptr) return;
  traffic_->record(TrafficMessage("report").add("controller", node).add("body", wire::to_value(heartbeat)));
}

void World::record_report_answer(const MachineId& machine, std::size_t node, Term term,
                                 const std::optional<std::vector<wire::Command>>& commands) {
  if (traffic_ == nullptr) return;
  TrafficMessage message("report-answer");
  message.add("controller", node).add("machine", machine);
  if (commands) {
    message.add("body", wire::heartbeat_response(term, *commands));
  } else {
    message.add("redirect", nodes_[node].leader_seen);
  }
  traffic_->record(message);
}

void World::record_direct_commands(std::size_t node, const control::DirectStop& direct_stop) {
  if (traffic_ == nullptr) return;
  traffic_->record(
      TrafficMessage("direct-commands")
          .add("controller", node)
          .add("machine", direct_stop.machine)
          .add("body", wire::direct_commands(direct_stop.term, direct_stop.incarnation, direct_stop.commands)));
}

void World::record_rental(std::size_t node, const wire::ScaleOutRequest& request,
                          const std::vector<MachineId>& rented) {
  if (traffic_ == nullptr) return;
  traffic_->record(TrafficMessage("cloud-rent")
                       .add("controller", node)
                       .add("body", wire::to_value(request))
                       .add("rented", wire::Value(names_of(rented))));
}

void World::record_returns(std::size_t node, const std::vector<MachineId>& machines) {
  if (traffic_ == nullptr) return;
  traffic_->record(
      TrafficMessage("cloud-return").add("controller", node).add("machines", wire::Value(names_of(machines))));
}

void World::record_listing(std::size_t node, const std::vector<wire::ListedMachine>& listed) {
  if (traffic_ == nullptr) return;
  std::vector<MachineId> machines;
  for (const wire::ListedMachine& machine : listed) machines.push_back(machine.id);
  traffic_->record(TrafficMessage("cloud-list").add("controller", node).add("listed", wire::Value(names_of(machines))));
}

void World::record_user_request(std::size_t node, const Asked& asked) {
  if (traffic_ == nullptr) return;
  traffic_->record(TrafficMessage("user-request")
                       .add("controller", node)
                       .add("request", static_cast<std::uint64_t>(asked.request))
                       .add("job", asked.job));
}

void World::record_user_reply(std::size_t node, const Asked& asked, const user_api::Reply& reply) {
  if (traffic_ == nullptr) return;
  TrafficMessage message("user-reply");
  message.add("controller", node)
      .add("job", asked.job)
      .add("status", static_cast<std::uint64_t>(reply.status))
      .add("body", reply.body);
  if (reply.retry_after_s) message.add("retry-after", static_cast<std::uint64_t>(*reply.retry_after_s));
  traffic_->record(message);
}

void World::record_poll_answer(std::size_t node, const JobId& job, const std::optional<wire::JobStatus>& status) {
  if (traffic_ == nullptr) return;
  traffic_->record(TrafficMessage("user-poll")
                       .add("controller", node)
                       .add("job", job)
                       .add("body", status ? wire::to_value(*status) : wire::Value()));
}

void World::record_operator_reply(std::size_t node, std::string_view path, const wire::Value& body) {
  if (traffic_ == nullptr) return;
  traffic_->record(TrafficMessage("operator-reply").add("controller", node).add("path", path).add("body", body));
}

void World::record_forwarded_report(std::size_t node, std::size_t leader, const wire::Heartbeat& heartbeat) {
  if (traffic_ == nullptr) return;
  traffic_->record(TrafficMessage("report-forwarded")
                       .add("controller", node)
                       .add("leader", leader)
                       .add("machine", heartbeat.machine)
                       .add("sequence", heartbeat.sequence));
}

void World::record_term_notice(std::size_t node, std::size_t sibling, Term term) {
  if (traffic_ == nullptr) return;
  traffic_->record(TrafficMessage("term-notice").add("controller", node).add("sibling", sibling).add("term", term));
}

void World::record_grant_request(std::size_t node, std::size_t leader, const zone::DelegationRequest& ask) {
  if (traffic_ == nullptr) return;
  traffic_->record(
      TrafficMessage("grant-request").add("controller", node).add("leader", leader).add("body", zone::to_value(ask)));
}

void World::record_grant(std::size_t leader, const std::optional<zone::LeaseDelegation>& delegation) {
  if (traffic_ == nullptr) return;
  traffic_->record(TrafficMessage("grant")
                       .add("leader", leader)
                       .add("body", delegation ? zone::to_value(*delegation) : wire::Value()));
}

void World::record_standby_request(std::size_t node, std::size_t sibling, const standby::SnapshotRequest& ask) {
  if (traffic_ == nullptr) return;
  traffic_->record(TrafficMessage("standby-request")
                       .add("controller", node)
                       .add("sibling", sibling)
                       .add("body", standby::to_value(ask)));
}

void World::record_standby_answer(std::size_t node, const std::optional<std::string>& bytes) {
  if (traffic_ == nullptr) return;
  TrafficMessage message("standby-answer");
  message.add("controller", node);
  if (bytes) message.add_bytes("body", *bytes);
  traffic_->record(message);
}

}  // namespace foxshunt::standins
