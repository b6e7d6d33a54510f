// What users are answered. Pure: a request says what it asks of the state service next, is told what came of that, and
// ends with its reply; src/node moves the bytes.
#pragma once

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "config/settings.h"
#include "state/job_records.h"
#include "kv/txn.h"
#include "wire/messages.h"

namespace foxshunt::user_api {

// An HTTP response before it is encoded.
struct Reply {
  int status = 200;
  wire::Value body;
  std::optional<int> retry_after_s;
};
[[nodiscard]] Reply error_reply(int status, const std::string& why);
[[nodiscard]] Reply come_back(const std::string& why);

// Why the job can never run, if so.
[[nodiscard]] std::optional<std::string> never_runs(const wire::JobSpec& spec, const config::Settings& settings,
                                                    const std::vector<wire::MachineType>& types);

// Final states that a node knows of; they never change. To be used by several threads.
class FinalStates {
 public:
  void keep(const wire::JobStatus& status);
  [[nodiscard]] std::optional<wire::JobStatus> find(const JobId& job);

 private:
  std::mutex mutex_;
  std::unordered_map<JobId, wire::JobStatus> states_;
};

// What the node that is asked knows.
struct Known {
  const config::Settings& settings;
  FinalStates& finals;
  std::vector<wire::MachineType> types;  // empty: not known yet
  std::int64_t wall_ms = 0;              // now, by the time of day
};

// One request of a user. What it refers to has to outlive it.
class Request {
 public:
  struct Read {
    std::string key;
  };
  // What it asks of the state service next, or its reply.
  using Step = std::variant<Read, kv::Txn, Reply>;

  [[nodiscard]] static Request submission(Known known, const std::string& body);
  [[nodiscard]] static Request question(Known known, const std::string& job);
  [[nodiscard]] static Request cancellation(Known known, const std::string& job);

  [[nodiscard]] const Step& step() const { return step_; }
  [[nodiscard]] const Reply* reply() const { return std::get_if<Reply>(&step_); }
  // What came of the read, or of the transaction, that the step asked for.
  void on_read(const kv::GetResult& found);
  void on_written(const kv::TxnResult& result);
  // The machine types, if it knows them or has read them.
  [[nodiscard]] const std::vector<wire::MachineType>& types() const { return known_.types; }

 private:
  enum class Purpose { submission, question, cancellation };
  enum class Reading { types, live, over };
  enum class Found { live, over, nowhere, unknown };

  [[nodiscard]] static Request of_job(Purpose purpose, Known known, const std::string& job);
  Request(Purpose purpose, Known known) : purpose_(purpose), known_(std::move(known)) {}
  void answer(Reply reply) { step_ = std::move(reply); }
  void answer(int status, const wire::JobStatus& job);
  void judge();  // the submission
  // Looks the job up; a submission or question is answered with what is found, or else so.
  void look(Reply otherwise);
  void read(Reading what);  // of the job's records
  void looked(Found found, const wire::JobStatus& status);
  void on_types(const kv::GetResult& found);
  void on_live(const kv::GetResult& live);
  void on_over(const kv::GetResult& over);

  Purpose purpose_;
  Known known_;
  JobId job_;
  wire::JobSpec spec_;  // of a submission
  Reading reading_ = Reading::live;
  state::JobRecord record_;  // as found by a cancellation
  Revision mark_;
  wire::JobStatus withdrawn_;
  int tries_ = 0;
  Reply otherwise_;
  Step step_;
};

}  // namespace foxshunt::user_api
