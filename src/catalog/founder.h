// The founding set: what a deployment's settings have put in force while nothing was ever declared.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "catalog/apply.h"
#include "catalog/xml.h"
#include "ledger/keeper.h"

namespace foxshunt::catalog {

// As `history` shows it.
inline constexpr const char* kBootstrapAuthor = "founding set";

// A file as it was read at the start, and what it is judged by. Machine types come later, from the cloud.
struct BootstrapCatalog {
  std::string file;                 // as messages name it
  std::optional<std::string> text;  // nothing: it can't be read
  Known known;
};

// What is wrong with it as far as is known, a line each; empty: nothing.
[[nodiscard]] std::vector<std::string> faults_of(const BootstrapCatalog& bootstrap);

// Writes the set while the state service holds no head: a function of the records and the file alone, so that a leader
// goes on where another one ended. Every write has the head's absence as a condition, or that of a stage that was begun
// under it; so a set comes into force once, and never in the place of another one.
class CatalogBootstrapper final : public record_cache::RecordController {
 public:
  // No file: it does nothing.
  CatalogBootstrapper(std::optional<BootstrapCatalog> bootstrap, const WriteLimits& limits);

  // The deployment's machine types, once they are known. Until then a set that names any waits.
  void learn_types(const std::set<std::string>& types);
  [[nodiscard]] bool wants_types() const { return set_ != nullptr && types_wanted_; }

  void on_change(const std::string& key, const wire::Value* data, Revision revision) override;
  [[nodiscard]] std::string prefix() const override { return kPrefix; }
  [[nodiscard]] std::optional<kv::Txn> next_write(const record_cache::Jobs& jobs, record_cache::Moment now,
                                                  std::size_t changes_most) override;
  void on_written(const kv::Txn& txn, const kv::TxnResult& result) override;

  // Whether there is a set still that may be written.
  [[nodiscard]] bool waits() const { return set_ != nullptr; }

 private:
  void judge();
  void give_up();

  std::optional<BootstrapCatalog> founding_;  // until it is judged to the end
  WriteLimits limits_;
  std::shared_ptr<const Set> set_;  // null: none, no good, or over as there is a head
  std::string file_;
  std::string digest_;
  std::string stage_;
  bool types_wanted_ = false;
  Revision stage_mark_;                    // of the stage's record; 0: none
  std::map<std::string, Revision> items_;  // of the stage, by key
  std::optional<std::chrono::steady_clock::time_point> pause_until_;
  bool failed_ = false;
};

}  // namespace foxshunt::catalog
