#include "catalog/apply.h"

#include <algorithm>
#include <map>

#include "config/constants.h"

namespace foxshunt::catalog {
namespace {

// What a change takes of a transaction besides its data: its key and the frame around both.
constexpr std::size_t kChangeFrameBytes = 32;

std::size_t bytes_of(const kv::Change& change) {
  return change.key.size() + kChangeFrameBytes + (change.data ? wire::json_length(*change.data) : 0);
}

Head next_head(const std::optional<Head>& before, const Set& set, const std::string& author, std::int64_t wall_ms) {
  Head head;
  head.now = {.version = before ? before->now.version.next() : Version(1),
              .author = author,
              .wall_ms = wall_ms,
              .digest = digest_of(set),
              .classes = set.classes.size(),
              .calendar = set.calendar.size(),
              .pools = set.pools.size(),
              .revision = {}};
  if (before) {
    head.former.push_back(before->now);
    head.former.insert(head.former.end(), before->former.begin(), before->former.end());
    if (head.former.size() > constants::kMaxCatalogKept - 1) head.former.resize(constants::kMaxCatalogKept - 1);
  }
  return head;
}

}  // namespace

std::string_view name_of(ChangeKind kind) {
  switch (kind) {
    case ChangeKind::added: return "added";
    case ChangeKind::changed: return "changed";
    case ChangeKind::removed: return "removed";
  }
  return "";
}

std::vector<Difference> difference(const Set& from, const Set& to) {
  std::vector<Difference> found;
  const auto compare = [&found](Kind kind, const auto& before, const auto& after) {
    std::map<std::string, std::pair<decltype(&*before.begin()), decltype(&*after.begin())>> both;
    for (const auto& one : before) both[one.name].first = &one;
    for (const auto& one : after) both[one.name].second = &one;
    for (const auto& [name, pair] : both) {
      if (pair.first == nullptr) {
        found.push_back({.change = ChangeKind::added, .kind = kind, .name = name});
      } else if (pair.second == nullptr) {
        found.push_back({.change = ChangeKind::removed, .kind = kind, .name = name});
      } else if (!(*pair.first == *pair.second)) {
        found.push_back({.change = ChangeKind::changed, .kind = kind, .name = name});
      }
    }
  };
  compare(Kind::job_class, from.classes, to.classes);
  compare(Kind::calendar, from.calendar, to.calendar);
  compare(Kind::pool, from.pools, to.pools);
  return found;
}

Standing standing_of(const std::optional<Head>& head, Version base, const std::string& digest) {
  const Version now = head ? head->now.version : Version(0);
  if (now == base) return Standing::open;
  const auto is_it = [&](const Edition& one) { return one.version == base.next() && one.digest == digest; };
  if (head && is_it(head->now)) return Standing::in_force;
  if (head && std::ranges::any_of(head->former, is_it)) return Standing::replaced;
  return Standing::lost;
}

Writer::Writer(const std::optional<Head>& head, Revision revision, const Set& set, const std::string& author,
               std::int64_t wall_ms, const WriteLimits& limits)
    : head_(next_head(head, set, author, wall_ms)),
      mark_(revision),
      items_(items_of(set)),
      stage_{.author = author, .wall_ms = wall_ms},
      limits_(limits),
      written_(items_.size(), false) {
  std::size_t bytes = bytes_of({.key = kHeadKey, .data = to_value(head_), .lease = {}});
  for (const Item& item : items_) bytes += bytes_of(change_of(item));
  staged_ = items_.size() + 1 > limits.changes || bytes > limits.bytes;
  if (staged_) step_ = Step::stage;
}

kv::Change Writer::change_of(const Item& item) const {
  return {.key = item_key({.stage = head_.now.stage(), .kind = item.kind, .number = item.number}),
          .data = item.data,
          .lease = {}};
}

std::vector<std::size_t> Writer::portion() const {
  std::vector<std::size_t> found;
  std::size_t bytes = 0;
  for (std::size_t at = 0; at < items_.size() && found.size() < limits_.portion; ++at) {
    if (written_[at]) continue;
    bytes += bytes_of(change_of(items_[at]));
    if (!found.empty() && bytes > limits_.bytes) break;
    found.push_back(at);
  }
  return found;
}

std::optional<kv::Txn> Writer::next() const {
  if (state_ != State::writing && state_ != State::refused) return std::nullopt;
  const std::string stage = stage_key(head_.now.stage());
  kv::Txn txn;
  switch (step_) {
    case Step::whole:
      txn.preconditions = {{.key = kHeadKey, .revision = mark_}};
      txn.changes = {{.key = kHeadKey, .data = to_value(head_), .lease = {}}};
      for (const Item& item : items_) txn.changes.push_back(change_of(item));
      break;
    case Step::stage:
      txn.preconditions = {{.key = kHeadKey, .revision = mark_}, {.key = stage, .revision = Revision(0)}};
      txn.changes = {{.key = stage, .data = to_value(stage_), .lease = {}}};
      break;
    case Step::items:
      // Of the stage as it was found: what was swept meanwhile has to be begun anew.
      txn.preconditions = {{.key = stage, .revision = stage_mark_}};
      for (const std::size_t at : portion()) txn.changes.push_back(change_of(items_[at]));
      break;
    case Step::head:
      txn.preconditions = {{.key = kHeadKey, .revision = mark_}, {.key = stage, .revision = stage_mark_}};
      txn.changes = {{.key = kHeadKey, .data = to_value(head_), .lease = {}}, {.key = stage, .data = {}, .lease = {}}};
      break;
  }
  return txn;
}

void Writer::on_result(const kv::TxnResult& result) {
  switch (result.status) {
    case kv::Status::ok: break;
    case kv::Status::unavailable: state_ = State::refused; return;
    case kv::Status::conflict: {
      const bool stage_alone =
          step_ == Step::stage && std::ranges::find(result.failed_keys, kHeadKey) == result.failed_keys.end();
      state_ = stage_alone ? State::wants_stage : State::conflict;
      return;
    }
    case kv::Status::unknown: state_ = State::unknown; return;
    default: state_ = State::rejected; return;
  }
  state_ = State::writing;
  switch (step_) {
    case Step::whole:
    case Step::head:
      head_.now.revision = result.revision;
      state_ = State::in_force;
      break;
    case Step::stage:
      stage_mark_ = result.revision;
      step_ = Step::items;
      break;
    case Step::items:
      for (const std::size_t at : portion()) written_[at] = true;
      if (portion().empty()) step_ = Step::head;
      break;
  }
}

void Writer::on_stage(Revision revision, const std::set<std::string>& there) {
  stage_mark_ = revision;
  for (std::size_t at = 0; at < items_.size(); ++at) {
    written_[at] = revision != Revision(0) && there.contains(change_of(items_[at]).key);
  }
  step_ = revision == Revision(0) ? Step::stage : portion().empty() ? Step::head : Step::items;
  state_ = State::writing;
}

}  // namespace foxshunt::catalog
