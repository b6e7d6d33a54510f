// Plays scenarios and random days and digests all that crosses a process boundary in them, for tests/same-behaviour.sh.
//
// behaviour_digest DIGESTS [TRACE] [--gtest_filter=...]
// Writes a line for each test to the file DIGESTS: its name, number of messages and their digest. With TRACE, the
// messages themselves are written there, one a line; the filter should then leave one test.
// What the tests expect is not judged here: a test that fails is named on standard error.
#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>
#include <memory>
#include <string>

#include "standins/traffic_recorder.h"

namespace {

using foxshunt::standins::TrafficRecorder;

// All scenario files, and twenty seeds of each kind of random days.
constexpr const char* kPlayed = "Files/*:Seeds/*/?:Seeds/*/1?";
constexpr int kDigestDigits = 16;

/// Gives each test a recorder of its own and writes what it has recorded.
class DigestWriter final : public testing::EmptyTestEventListener {
 public:
  DigestWriter(const std::string& digests_file, std::string trace_file)
      : digests_(digests_file), trace_file_(std::move(trace_file)) {}

  [[nodiscard]] bool good() const { return digests_.good(); }

  void OnTestStart(const testing::TestInfo& /*test*/) override {
    recorder_ =
        trace_file_.empty() ? std::make_unique<TrafficRecorder>() : std::make_unique<TrafficRecorder>(trace_file_);
    TrafficRecorder::install(recorder_.get());
  }

  void OnTestEnd(const testing::TestInfo& test) override {
    TrafficRecorder::install(nullptr);
    std::string digest(kDigestDigits, '0');
    std::snprintf(digest.data(), digest.size() + 1, "%016llx", static_cast<unsigned long long>(recorder_->digest()));
    const std::string name = std::string(test.test_suite_name()) + "." + test.name();
    digests_ << name << ' ' << recorder_->count() << ' ' << digest << '\n' << std::flush;
    if (test.result()->Failed()) std::fprintf(stderr, "fails: %s\n", name.c_str());
  }

 private:
  std::ofstream digests_;
  std::string trace_file_;
  std::unique_ptr<TrafficRecorder> recorder_;
};

}  // namespace

int main(int argc, char** argv) {
  testing::GTEST_FLAG(filter) = kPlayed;
  testing::InitGoogleTest(&argc, argv);
  if (argc < 2 || argc > 3) {
    std::fprintf(stderr, "behaviour_digest DIGESTS [TRACE] [--gtest_filter=...]\n");
    return 2;
  }
  auto writer = std::make_unique<DigestWriter>(argv[1], argc > 2 ? argv[2] : "");
  if (!writer->good()) {
    std::fprintf(stderr, "%s can't be written\n", argv[1]);
    return 1;
  }
  testing::TestEventListeners& listeners = testing::UnitTest::GetInstance()->listeners();
  delete listeners.Release(listeners.default_result_printer());
  const DigestWriter& kept = *writer;
  listeners.Append(writer.release());
  if (RUN_ALL_TESTS() != 0) std::fprintf(stderr, "some expectations fail; the digests are written all the same\n");
  return kept.good() ? 0 : 1;
}
