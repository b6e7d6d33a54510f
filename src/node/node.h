// One controller: its servers and its duties.
#pragma once

#include <memory>

#include "config/settings.h"

namespace foxshunt::node {

class Node {
 public:
  explicit Node(const config::Settings& settings);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  [[nodiscard]] std::string address() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace foxshunt::node
