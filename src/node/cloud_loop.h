/// The cloud provider: machine lists, scale-out and scale-in by the leader, within the rate limit of its calls.
#pragma once

#include "net/http.h"
#include "node/context.h"
#include "kv/client.h"

namespace foxshunt::node {

/// Calls the cloud one request at a time. An unanswered scale-out is repeated with the same request id.
class CloudLoop {
 public:
  explicit CloudLoop(Context& context);
  /// The loop: returns when a stop is asked for.
  void run(const std::stop_token& stop);

 private:
  struct Answer {
    int status = 0;  // 0: none
    wire::Value body;
  };
  Answer call(const std::string& method, const std::string& path, const wire::Value* body);
  bool fetch_types();
  void read_types();
  void publish_types(const std::vector<wire::MachineType>& types);
  void list();
  void rent();
  void give_back();

  Context& context_;
  net::HttpClient http_;
  kv::Client state_;
  net::Clock::time_point next_call_;
  net::Clock::time_point next_list_;
  net::Clock::time_point next_types_;
  net::Clock::time_point next_try_;  // after trouble
  bool published_ = false;
  bool controller_knows_types_ = false;  // users' requests may have read them for themselves only
  std::stop_token stop_;
};

}  // namespace foxshunt::node
