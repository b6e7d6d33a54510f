// Strong types for the names and numbers that identify things.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace foxshunt {

template <typename Tag>
class TextId {
 public:
  TextId() = default;
  explicit TextId(std::string text) : text_(std::move(text)) {}
  [[nodiscard]] const std::string& text() const { return text_; }
  [[nodiscard]] bool empty() const { return text_.empty(); }
  friend auto operator<=>(const TextId&, const TextId&) = default;

 private:
  std::string text_;
};

template <typename Tag>
class CountId {
 public:
  constexpr CountId() = default;
  constexpr explicit CountId(std::uint64_t number) : number_(number) {}
  [[nodiscard]] constexpr std::uint64_t number() const { return number_; }
  [[nodiscard]] constexpr CountId next() const { return CountId(number_ + 1); }
  friend constexpr auto operator<=>(const CountId&, const CountId&) = default;

 private:
  std::uint64_t number_ = 0;
};

using JobId = TextId<struct JobTag>;
using MachineId = TextId<struct MachineTag>;
using NodeName = TextId<struct NodeTag>;
using AttemptNumber = CountId<struct AttemptTag>;
using AgentIncarnation = CountId<struct SessionTag>;  // grows each time a worker's lease expires
using Term = CountId<struct TermTag>;                 // grows with each leader; 0: none
using Revision = CountId<struct RevisionTag>;         // of the state service; 0: the key does not exist

struct TaskKey {
  JobId job;
  std::uint32_t index = 0;
  [[nodiscard]] std::string text() const { return job.text() + "/" + std::to_string(index); }
  friend auto operator<=>(const TaskKey&, const TaskKey&) = default;
};

}  // namespace foxshunt

template <typename Tag>
struct std::hash<foxshunt::TextId<Tag>> {
  std::size_t operator()(const foxshunt::TextId<Tag>& id) const { return std::hash<std::string>{}(id.text()); }
};
