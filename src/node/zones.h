// What passes between siblings about zones: every second a node that does not lead asks the leader for the right to
// answer its own zone's workers, and uses it when neither it nor they can reach the leader.
#pragma once

#include <map>
#include <memory>
#include <mutex>

#include "net/http.h"
#include "node/context.h"
#include "zone/delegated_lease.h"

namespace foxshunt::node {

// What this node was granted, and whether it is in contact with who granted it.
class ZoneRights {
 public:
  explicit ZoneRights(const config::Settings& settings);
  // Begins with nothing in hand; the process's lives have rising numbers.
  void begin(std::uint64_t life);
  // The term in which the report may be answered without the leader; nothing when it may not, or when the leader
  // answers this node and was not tried with the report.
  [[nodiscard]] std::optional<Term> answers(const wire::Report& report, bool leader_tried);
  [[nodiscard]] zone::Ask next_ask(Term leaders);
  bool take(const zone::Grant& grant, plan::Instant asked);
  void lost_contact();
  void malformed(const std::string& from, const char* why);  // told once a while
  [[nodiscard]] wire::Value::Map told() const;               // to operators

 private:
  const config::Settings& settings_;
  mutable std::mutex mutex_;
  zone::Holder holder_;
  std::optional<plan::Instant> answered_;  // when the leader last answered a word, and none has failed since
  Seldom warned_;
};

class AskDuty {
 public:
  AskDuty(Context& context, ZoneRights& rights);
  void run(const std::stop_token& stop);

 private:
  void ask(net::HttpClient& leader, Term term);

  Context& context_;
  ZoneRights& rights_;
  std::map<NodeName, net::HttpClient> siblings_;
};

// Answers a sibling's word: with a grant while this node leads.
[[nodiscard]] net::HttpResponse answer_ask(Context& context, ZoneRights& rights, const std::string& body);
// GET /zones, for operators.
[[nodiscard]] net::HttpResponse zones_answer(Context& context, const ZoneRights& rights);

}  // namespace foxshunt::node
