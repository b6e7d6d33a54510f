#include "bench/allocations.h"

#include <atomic>
#include <cstdlib>
#include <new>

namespace {
std::atomic<std::uint64_t> count{0};
}  // namespace

void* operator new(std::size_t size) {
  ++count;
  if (void* const memory = std::malloc(size == 0 ? 1 : size)) return memory;
  throw std::bad_alloc();
}
// With the address sanitizer each form of new that is not replaced is the sanitizer's, and memory of it may not be freed
// below.
void* operator new(std::size_t size, const std::nothrow_t&) noexcept {
  ++count;
  return std::malloc(size == 0 ? 1 : size);
}
void operator delete(void* memory) noexcept { std::free(memory); }
void operator delete(void* memory, std::size_t) noexcept { std::free(memory); }

namespace foxshunt::bench {

std::uint64_t allocations() { return count; }

}  // namespace foxshunt::bench
