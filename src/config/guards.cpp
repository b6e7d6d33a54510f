#include "config/guards.h"

#ifdef FOXSHUNT_SEAMS

#include <atomic>
#include <cstdlib>
#include <stdexcept>
#include <string>

namespace foxshunt::guards {
namespace {

constexpr int kNone = -1;

int named_by_environment() {
  const char* text = std::getenv("FOXSHUNT_WITHOUT");
  if (text == nullptr || *text == '\0') return kNone;
  const auto guard = guard_named(text);
  if (!guard) throw std::invalid_argument("FOXSHUNT_WITHOUT: no such guard: " + std::string(text));
  return static_cast<int>(*guard);
}

std::atomic<int>& missing() {
  static std::atomic<int> guard{named_by_environment()};
  return guard;
}

}  // namespace

bool kept(Guard guard) { return missing().load(std::memory_order_relaxed) != static_cast<int>(guard); }

void take_out(std::optional<Guard> guard) { missing() = guard ? static_cast<int>(*guard) : kNone; }

}  // namespace foxshunt::guards

#endif
