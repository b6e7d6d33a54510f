// What siblings say of who leads: only a later term is believed, and nonsense is no word at all.
#include <gtest/gtest.h>

#include <atomic>
#include <thread>

#include "node/peer_prober.h"
#include "state/job_records.h"
#include "state/keys.h"
#include "state/leadership_records.h"

namespace foxshunt::node {
namespace {

config::Settings settings_with(const std::string& sibling) {
  config::Settings settings;
  settings.name = NodeName("node-0");
  settings.state = "127.0.0.1:1";
  settings.cloud = "127.0.0.1:1";
  settings.state_rps = 10;
  settings.state_write_rps = 10;
  if (!sibling.empty()) settings.siblings = {{.name = NodeName("node-1"), .zone = "a", .endpoint = sibling}};
  return settings;
}

std::string word(std::uint64_t term, const std::string& leader) {
  return wire::encode(state::to_value(state::TermRecord{.term = Term(term), .leader = NodeName(leader)}));
}

TEST(Peers, TellsWhatTheNodeKnows) {
  Context context(settings_with(""));
  EXPECT_TRUE(context.observe_leader(NodeName("node-2"), Term(4)));
  EXPECT_FALSE(context.observe_leader(NodeName("node-1"), Term(3)));
  const net::HttpResponse answer = leader_response(context, {.method = "GET", .path = "/lead", .body = {}});
  ASSERT_EQ(answer.status, 200);
  const state::TermRecord record = state::term_record_from(wire::decode(answer.body));
  EXPECT_EQ(record.term, Term(4));
  EXPECT_EQ(record.leader, NodeName("node-2"));
  EXPECT_TRUE(health::contact_from(wire::decode(answer.body)));
  EXPECT_EQ(leader_response(context, {.method = "POST", .path = "/lead", .body = "x"}).status, 404);
  EXPECT_EQ(leader_response(context, {.method = "GET", .path = "/api/jobs/j-000001", .body = {}}).status, 404);
}

TEST(Peers, BelievesALaterTermOnly) {
  const std::vector<std::string> words{
      "nonsense",       "", wire::encode(wire::Value::Map{{"term", "six"}}), word(9, ""), word(2, "node-1"),
      word(6, "node-1")};
  std::atomic<std::size_t> asked{0};
  net::HttpServer sibling({.host = "127.0.0.1", .port = 0}, {.connections = 4}, [&](const net::HttpRequest&) {
    return net::HttpResponse{.status = 200, .body = words[std::min(asked++, words.size() - 1)], .retry_after_s = {}};
  });
  Context context(settings_with(sibling.address().text()));
  ASSERT_TRUE(context.observe_leader(NodeName("node-2"), Term(5)));
  PeerProber duty(context);
  const std::jthread thread([&](const std::stop_token& stop) { duty.run(stop); });
  while (asked < words.size()) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    const std::lock_guard lock(context.cluster_view.mutex);
    ASSERT_EQ(context.cluster_view.term, Term(asked < words.size() ? 5U : context.cluster_view.term.number()));
  }
  while (asked < words.size() + 1) std::this_thread::sleep_for(std::chrono::milliseconds(20));
  const std::lock_guard lock(context.cluster_view.mutex);
  EXPECT_EQ(context.cluster_view.term, Term(6));
  EXPECT_EQ(context.cluster_view.leader, NodeName("node-1"));
}

}  // namespace
}  // namespace foxshunt::node
