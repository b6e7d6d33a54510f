// Keeps the records of warm pools: on every node it follows them and answers from them; on the leader it decides, from the
// records, the sets of the catalog, the time of day and what the controller sees, what is written next. Pure.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "catalog/model.h"
#include "ledger/keeper.h"
#include "pools/desk.h"
#include "pools/records.h"

namespace foxshunt::pools {

// The milliseconds in a span that is not negative.
[[nodiscard]] inline std::uint64_t ms(std::chrono::milliseconds span) {
  return static_cast<std::uint64_t>(span.count());
}

// Whether one of the pool's windows is open at the time of day; asked only of pools that have windows.
using OpenNow = std::function<bool(const catalog::PoolDef& pool, std::int64_t wall_ms)>;

// A pool as its records tell it, the same on every node at the same revision.
struct PoolView {
  std::string name;
  std::string payer;
  std::uint32_t wanted = 0;
  std::uint32_t held = 0;
  std::uint32_t asked = 0;  // of the cloud, without an answer in a record
  std::uint32_t warm = 0;
  std::uint32_t in_use = 0;  // by the pool's users
  std::uint32_t warming = 0;
  std::uint32_t lent = 0;
  std::string why;                // it is less than the rule says
  std::uint64_t hour_micros = 0;  // charged in the latest hour
  std::uint64_t day_micros = 0;   // and on the latest day
  accounts::StartCounts starts;   // of that day
};

struct AccountView {
  std::string pool;
  std::uint64_t day = 0;
  accounts::Account account;
};

class WarmPoolController final : public record_cache::RecordController {
 public:
  // `value_bytes`: a record's longest length in JSON.
  WarmPoolController(OpenNow open_now, std::size_t value_bytes);

  // The set in force; nothing is decided before it is told.
  void declare(const catalog::Set& set);
  // Whether there are pools, or records of pools that are no more.
  [[nodiscard]] bool active() const;
  // Grows with each record of pools, and each declaration, that may change what the controller is told.
  [[nodiscard]] std::uint64_t changes() const { return changes_; }
  // What the controller of this node has to know, whether it leads or not.
  [[nodiscard]] PoolDirectives directives() const;
  // What the controller of the leader sees. Nothing is written for long without it.
  void observe(FleetObservation observation, record_cache::Moment now);

  // ledger::Keeper. It keeps `account/` as well as `pool/`.
  void on_change(const std::string& key, const wire::Value* data, Revision revision) override;
  [[nodiscard]] std::string prefix() const override { return kPoolPrefix; }
  [[nodiscard]] std::optional<kv::Txn> next_write(const record_cache::Jobs& jobs, record_cache::Moment now,
                                                  std::size_t changes_most) override;
  void on_written(const kv::Txn& txn, const kv::TxnResult& result) override;

  // ---- questions ----
  [[nodiscard]] std::vector<PoolView> pools() const;
  [[nodiscard]] std::vector<AccountView> accounts() const;
  // Of all that the answers are made of.
  [[nodiscard]] std::uint64_t digest() const;

 private:
  template <typename Data>
  struct Kept {
    Data data;
    Revision revision;
  };
  // Machine time that is in no record yet.
  struct Span {
    std::uint64_t from_ms = 0;
    std::uint64_t to_ms = 0;
    accounts::MachineUse use = accounts::MachineUse::idle;
    std::string team;
  };
  // What a transaction is about to change; conditions are the marks of what was read.
  struct Draft {
    std::string pool;
    std::map<std::uint64_t, Held> held;
    std::optional<PoolState> state;
    std::map<std::uint64_t, accounts::Account> accounts;
    kv::Txn txn;  // besides these
  };
  struct Wish {
    std::uint32_t wanted = 0;
    std::string why;
    bool in_use_only = false;  // for the ceiling: what is in use stays, whatever is wanted
  };
  using Chunks = std::map<std::uint64_t, Kept<Held>>;

  void read(const std::string& key, const wire::Value* data, Revision revision);
  [[nodiscard]] const catalog::PoolDef* pool(const std::string& name) const;
  // No record of it is of a newer form.
  [[nodiscard]] bool may_write(const std::string& pool) const;
  [[nodiscard]] const MachineObservation* sight_of(const MachineId& machine) const;
  [[nodiscard]] std::uint32_t members_of(const std::string& pool) const;
  [[nodiscard]] const PoolState& state_of(const std::string& pool) const;
  [[nodiscard]] std::uint32_t outstanding(const std::string& pool, const std::string& zone) const;
  [[nodiscard]] bool has_room(const catalog::PoolDef& pool, const std::string& type) const;
  [[nodiscard]] bool takes(const catalog::PoolDef& pool, const std::string& type, const std::string& zone,
                           bool spot) const;
  // Whether the machine has all images of the pool in its cache.
  [[nodiscard]] static bool has_all_images(const catalog::PoolDef& pool, const MachineObservation& observation);
  [[nodiscard]] std::uint64_t price_of(const std::string& type, bool spot) const;
  [[nodiscard]] Wish wish(const catalog::PoolDef& pool, std::uint64_t wall_ms) const;
  [[nodiscard]] std::optional<wire::ScaleOutRequest> choose(const catalog::PoolDef& pool, std::uint32_t wanted,
                                                            std::uint64_t wall_ms) const;

  PoolState& state_in(Draft& draft) const;
  Held& held_in(Draft& draft, std::uint64_t number) const;
  accounts::Account& account_in(Draft& draft, std::uint64_t day) const;
  void charge(Draft& draft, Member& member, std::uint64_t to_ms) const;
  // Members beyond a record's room go to the next.
  void join(Draft& draft, const std::vector<Member>& members) const;
  void refuse(Draft& draft, const std::string& kind, std::uint64_t wall_ms) const;
  void refresh(const catalog::PoolDef& pool, Member& member) const;
  [[nodiscard]] kv::Txn finish(Draft draft) const;

  [[nodiscard]] std::optional<kv::Txn> take_answer(std::uint64_t wall_ms) const;
  [[nodiscard]] std::optional<kv::Txn> let_go(const std::string& name, std::uint64_t wall_ms) const;
  [[nodiscard]] std::optional<kv::Txn> adopt(const catalog::PoolDef& pool, std::uint64_t wall_ms) const;
  [[nodiscard]] std::optional<kv::Txn> rent(const catalog::PoolDef& pool, std::uint64_t wall_ms) const;
  [[nodiscard]] std::optional<kv::Txn> charge_due(const std::string& name, record_cache::Moment now) const;
  [[nodiscard]] std::optional<kv::Txn> tell_state(const catalog::PoolDef& pool, record_cache::Moment now) const;
  [[nodiscard]] std::optional<kv::Txn> tell_holds(record_cache::Moment now);
  [[nodiscard]] std::optional<kv::Txn> clear_away(std::uint64_t wall_ms) const;
  [[nodiscard]] std::optional<kv::Txn> decide(record_cache::Moment now);
  // Whether the record was left alone for so long by this leader.
  [[nodiscard]] bool rested(const std::string& key, record_cache::Moment now, std::chrono::milliseconds span) const;

  OpenNow open_now_;
  std::size_t value_bytes_;
  std::vector<catalog::PoolDef> defs_;  // by name

  // records
  std::map<std::string, Chunks> held_;
  std::map<std::string, Kept<Rent>> rents_;  // by request name
  std::map<std::string, Kept<PoolState>> states_;
  std::map<std::string, Kept<Holds>> holds_;  // by key
  std::map<std::string, std::map<std::uint64_t, Kept<accounts::Account>>> accounts_;
  Kept<std::uint64_t> next_{};
  std::set<std::string> foreign_;  // keys of records of a newer form, or that can't be read
  Revision heard_;
  std::uint64_t changes_ = 0;

  // of this leader
  FleetObservation observation_;
  std::map<MachineId, const MachineObservation*> observations_;
  std::optional<record_cache::Moment> seen_;
  std::map<MachineId, std::vector<Span>> spans_;
  std::map<MachineId, std::chrono::steady_clock::time_point> unseen_;
  std::map<std::string, accounts::StartCounts> starts_;
  std::map<std::string, std::map<std::uint64_t, std::uint32_t>> peaks_;
  std::map<std::string, std::chrono::steady_clock::time_point> written_;  // by key
  std::chrono::steady_clock::time_point last_write_;
  std::chrono::steady_clock::time_point began_;  // of the write under way
  Revision awaited_;                             // what was written comes back by on_change first
  std::map<std::string, accounts::StartCounts> starts_sent_;
};

}  // namespace foxshunt::pools
