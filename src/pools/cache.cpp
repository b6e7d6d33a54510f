#include "pools/cache.h"

#include <algorithm>
#include <cmath>

namespace foxshunt::pools {

std::uint64_t mb_of(double gb) { return gb <= 0 ? 0 : static_cast<std::uint64_t>(std::ceil(gb * 1000 - 1e-6)); }

void Cache::drop(std::string_view image) {
  std::erase_if(images_, [image](const CachedImage& one) { return one.image == image; });
}

bool Cache::holds(std::string_view image) const {
  return std::ranges::any_of(images_, [image](const CachedImage& one) { return one.image == image; });
}

std::vector<std::string> Cache::use(const std::string& image, std::uint64_t mb) {
  drop(image);
  images_.insert(images_.begin(), {.image = image, .mb = mb});
  std::vector<std::string> gone;
  std::uint64_t total = 0;
  std::size_t kept = 0;
  for (; kept < images_.size(); ++kept) {
    total += images_[kept].mb;
    if (room_mb_ > 0 && kept > 0 && total > room_mb_) break;
  }
  for (std::size_t at = kept; at < images_.size(); ++at) gone.push_back(images_[at].image);
  images_.resize(kept);
  return gone;
}

bool Cache::would_lose(std::string_view image, std::uint64_t mb, const std::vector<std::string>& wanted) const {
  Cache after = *this;
  const std::vector<std::string> gone = after.use(std::string(image), mb);
  return std::ranges::any_of(
      gone, [&wanted](const std::string& one) { return std::ranges::find(wanted, one) != wanted.end(); });
}

}  // namespace foxshunt::pools
