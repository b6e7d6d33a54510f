// Which images a machine's cache holds, as far as that can be known from what was started there.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace foxshunt::pools {

struct CachedImage {
  std::string image;
  std::uint64_t mb = 0;
  friend bool operator==(const CachedImage&, const CachedImage&) = default;
};

[[nodiscard]] std::uint64_t mb_of(double gb);

// PROTOCOL: a machine caches the most recently used images. Sizes are rounded up, so that what is believed to be there
// fits.
class Cache {
 public:
  Cache() = default;
  explicit Cache(std::uint64_t room_mb) : room_mb_(room_mb) {}

  // The image was fetched, or found, for a task: it is the newest. Those that had to go for it.
  std::vector<std::string> use(const std::string& image, std::uint64_t mb);
  void drop(std::string_view image);
  [[nodiscard]] bool holds(std::string_view image) const;
  // Whether using the image would push one of `wanted` out that is there.
  [[nodiscard]] bool would_lose(std::string_view image, std::uint64_t mb, const std::vector<std::string>& wanted) const;
  // Newest first.
  [[nodiscard]] const std::vector<CachedImage>& images() const { return images_; }
  // As a record told it, newest first.
  void set(std::vector<CachedImage> images) { images_ = std::move(images); }
  [[nodiscard]] std::uint64_t room_mb() const { return room_mb_; }
  void set_room(std::uint64_t room_mb) { room_mb_ = room_mb; }

 private:
  std::uint64_t room_mb_ = 0;  // 0: not known, nothing is pushed out
  std::vector<CachedImage> images_;
};

}  // namespace foxshunt::pools
