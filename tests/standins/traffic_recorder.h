// Records what crosses a process boundary in the emulated world, so that two versions of the sources can be compared.
#pragma once

#include <cstdint>
#include <fstream>
#include <string>
#include <string_view>

#include "plan/usage_vector.h"
#include "wire/ids.h"
#include "wire/value.h"

namespace foxshunt::standins {

/// One message as text. Kinds and field names are part of the digest: a renamed type must not rename them.
class TrafficMessage {
 public:
  explicit TrafficMessage(std::string_view kind) : text_(kind) {}

  TrafficMessage& add(std::string_view name, std::string_view value);
  TrafficMessage& add(std::string_view name, std::uint64_t number);
  TrafficMessage& add(std::string_view name, const wire::Value& value);
  /// Length and hash of bytes that are no text.
  TrafficMessage& add_bytes(std::string_view name, std::string_view bytes);
  template <typename Tag>
  TrafficMessage& add(std::string_view name, const TextId<Tag>& id) {
    return add(name, std::string_view(id.text()));
  }
  template <typename Tag>
  TrafficMessage& add(std::string_view name, CountId<Tag> id) {
    return add(name, id.number());
  }
  [[nodiscard]] const std::string& text() const { return text_; }

 private:
  std::string text_;
};

/// Numbers and digests the messages of one run in their order, each with its virtual time.
class TrafficRecorder {
 public:
  TrafficRecorder() = default;
  /// Writes each message to the file as well, one a line.
  explicit TrafficRecorder(const std::string& trace_file);

  /// Worlds that are made from now on record here; nullptr: nowhere. Not to be used by several threads.
  static void install(TrafficRecorder* recorder) { installed_ = recorder; }
  [[nodiscard]] static TrafficRecorder* installed() { return installed_; }

  void set_now(plan::Instant now) { now_ = now; }
  void record(const TrafficMessage& message);
  [[nodiscard]] std::uint64_t count() const { return count_; }
  [[nodiscard]] std::uint64_t digest() const { return digest_; }

 private:
  inline static TrafficRecorder* installed_ = nullptr;

  plan::Instant now_;
  std::uint64_t count_ = 0;
  std::uint64_t digest_ = 0;
  std::ofstream trace_;
};

}  // namespace foxshunt::standins
