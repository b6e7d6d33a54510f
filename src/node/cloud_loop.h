// The cloud: lists, rentals and returns of whoever leads, within the call budget.
#pragma once

#include "net/http.h"
#include "node/context.h"
#include "kv/client.h"

namespace foxshunt::node {

class CloudLoop {
 public:
  explicit CloudLoop(Context& context);
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
