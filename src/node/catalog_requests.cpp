#include "node/catalog_requests.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <thread>

#include "calendar/civil.h"
#include "config/constants.h"
#include "node/catalog_settings.h"
#include "node/clock.h"
#include "node/http_responses.h"
#include "kv/client.h"

namespace foxshunt::node {

using catalog::Edition;
using catalog::Version;
using net::HttpResponse;
using wire::Value;

namespace {

class StateStore final : public catalog::Store {
 public:
  explicit StateStore(Context& context)
      : context_(context),
        client_(context.state_address, context.rate_limiter, kv::Priority::user),
        until_(net::Clock::now() + constants::kCatalogCallTimeout) {}

  kv::GetResult get(const std::string& key) override { return heard(client_.get(key, until_)); }
  kv::ListResult list(const std::string& prefix) override {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until_ - net::Clock::now());
    return heard(client_.list(prefix, std::max(left, std::chrono::milliseconds(1))));
  }
  kv::TxnResult txn(const kv::Txn& txn) override { return heard(client_.txn(txn, until_)); }
  bool pause() override {
    std::this_thread::sleep_for(constants::kCatalogRetryBackoff);
    return net::Clock::now() < until_;
  }

 private:
  template <typename Result>
  Result heard(Result result) {
    if (result.status != kv::Status::unknown) context_.on_store_answered();
    return result;
  }

  Context& context_;
  kv::Client client_;
  net::Deadline until_;
};

HttpResponse answer(int status, Value::Map map) {
  return {.status = status, .body = wire::encode(Value(std::move(map))), .retry_after_s = {}};
}

Value::Map map_of(const Edition& edition) {
  return {{"version", edition.version.number()},
          {"revision", edition.revision.number()},
          {"author", edition.author},
          {"wall_ms", static_cast<std::uint64_t>(edition.wall_ms)},
          {"digest", edition.digest},
          {"classes", edition.classes},
          {"calendar", edition.calendar},
          {"pools", edition.pools}};
}

template <typename Def>
Value list_of(const std::vector<Def>& defs) {
  Value::List list;
  for (const Def& one : defs) list.push_back(catalog::to_value(one));
  return list;
}

HttpResponse faults_answer(const std::string& file, const catalog::Reading& reading) {
  Value::List faults;
  for (const catalog::Fault& fault : reading.faults) {
    faults.push_back(
        Value::Map{{"line", std::uint64_t{fault.line}}, {"element", fault.element}, {"reason", fault.reason}});
  }
  return answer(422, {{"error", file + " can't be taken"}, {"faults", faults}, {"more", reading.more_faults}});
}

}  // namespace

struct CatalogRequestHandler::Wanted {
  std::string file;
  std::string author;
  std::string xml;
  bool dry_run = false;
  std::optional<Version> base;
  std::string digest;                 // with `base`: of what was judged before
  std::optional<std::uint64_t> back;  // that many sets before the one in force
  std::optional<Version> from;        // or this one
};

HttpResponse CatalogRequestHandler::handle(const net::HttpRequest& request) {
  const std::string& path = request.path;
  if (!context_.settings.operators.shared_records) {
    return error_response(409, "this node has no catalog: shared-records is off in its settings");
  }
  try {
    if (request.method == "POST" && path == "/catalog/part") return part(request.body);
    if (request.method == "POST" && path == "/catalog/apply") return apply(request.body);
    if (request.method == "GET" && path == "/catalog") return show(request);
    if (request.method == "GET" && path == "/catalog/history") return history();
  } catch (const wire::Malformed& error) {
    return error_response(400, error.what());
  }
  return error_response(404, "no such path");
}

HttpResponse CatalogRequestHandler::part(const std::string& body) {
  const Value asked = wire::decode(body);
  const std::string& id = asked.text("upload");
  const std::uint64_t number = asked.count("part");
  const std::uint64_t of = asked.count("of");
  const std::string& text = asked.text("text");
  const std::size_t most = constants::kMaxCatalogXmlBytes / constants::kCatalogPartBytes + 1;
  if (id.empty() || id.size() > constants::kMaxCatalogName || of == 0 || of > most || number >= of ||
      text.size() > constants::kCatalogPartBytes) {
    return error_response(400, "no such part of a file");
  }
  const std::lock_guard lock(uploads_mutex_);
  const auto now = net::Clock::now();
  std::erase_if(uploads_, [&](const auto& one) { return now - one.second.begun > constants::kCatalogUploadKept; });
  if (!uploads_.contains(id) && uploads_.size() >= constants::kMaxCatalogUploads) {
    return retry_later("too many files under way");
  }
  Upload& upload = uploads_[id];
  if (upload.parts.size() != of) upload = {.parts = std::vector<std::string>(of), .begun = now};
  upload.begun = now;
  upload.parts[number] = text;
  return answer(200, {});
}

std::optional<std::string> CatalogRequestHandler::uploaded(const std::string& id) {
  const std::lock_guard lock(uploads_mutex_);
  const auto found = uploads_.find(id);
  if (found == uploads_.end()) return std::nullopt;
  std::string whole;
  for (const std::string& text : found->second.parts) {
    if (text.empty()) return std::nullopt;
    whole += text;
  }
  return whole;
}

HttpResponse CatalogRequestHandler::apply(const std::string& body) {
  const Value asked = wire::decode(body);
  Wanted wanted;
  wanted.file = asked.text("file");
  wanted.author = asked.text("author");
  wanted.dry_run = asked.flag("dry_run");
  if (!catalog::is_name(wanted.author)) return error_response(400, "author: must be a name");
  if (!asked["base"].is_null()) {
    wanted.base = Version(asked.count("base"));
    wanted.digest = asked.text("digest");
  }
  if (!asked["back"].is_null()) {
    wanted.back = asked.count("back");
  } else if (!asked["from"].is_null()) {
    wanted.from = Version(asked.count("from"));
  } else if (!asked["upload"].is_null()) {
    auto text = uploaded(asked.text("upload"));
    if (!text) return error_response(410, "parts of the file are missing at this node");
    wanted.xml = std::move(*text);
  } else {
    wanted.xml = asked.text("xml");
  }
  const std::unique_lock lock(apply_mutex_, std::try_to_lock);
  if (!lock) return retry_later("another set is being applied here");
  StateStore store(context_);
  return apply(store, std::move(wanted));
}

HttpResponse CatalogRequestHandler::apply(catalog::Store& store, Wanted wanted) {
  using Found = catalog::SetLook::Found;
  const catalog::HeadLook look = catalog::look_at_head(store);
  switch (look.found) {
    case catalog::HeadLook::Found::read: break;
    case catalog::HeadLook::Found::no_answer: return retry_later("the state service can't be reached");
    case catalog::HeadLook::Found::newer_form:
      return error_response(409, "the catalog was written by a newer program; apply at a node that runs it");
    case catalog::HeadLook::Found::unreadable: return error_response(409, "the record catalog/head can't be read");
  }
  const Edition now = look.head ? look.head->now : Edition{};
  const Version base = wanted.base.value_or(now.version);

  const auto lost_to = [&](const Edition& theirs) {
    return answer(409,
                  {{"error", "lost against another set"}, {"ours", base.next().number()}, {"theirs", map_of(theirs)}});
  };
  const auto held = [&](const char* standing, const Edition& ours, const Edition& in_force) {
    return answer(200, {{"node", context_.settings.name.text()},
                        {"standing", standing},
                        {"ours", map_of(ours)},
                        {"now", map_of(in_force)}});
  };
  // What an earlier request of the same has brought about, before anything else can stand in the way of saying so.
  if (wanted.base) {
    switch (catalog::standing_of(look.head, base, wanted.digest)) {
      case catalog::Standing::open: break;
      case catalog::Standing::in_force: return held("in_force", now, now);
      case catalog::Standing::replaced: return held("replaced", *look.head->find(base.next()), now);
      case catalog::Standing::lost: return lost_to(now);
    }
  }

  catalog::Known judged_by = catalog_constraints_of(context_.settings);
  {
    const std::lock_guard lock(context_.cluster_view.mutex);
    if (!context_.cluster_view.types.empty()) judged_by.types.emplace();
    for (const wire::MachineType& type : context_.cluster_view.types) judged_by.types->insert(type.name);
  }
  if (wanted.back || wanted.from) {
    std::optional<Edition> edition;
    if (wanted.back && look.head && *wanted.back >= 1 && *wanted.back <= look.head->former.size()) {
      edition = look.head->former[*wanted.back - 1];
    } else if (wanted.from && look.head) {
      if (const Edition* found = look.head->find(*wanted.from)) edition = *found;
    }
    if (!edition) {
      const std::size_t kept = look.head ? look.head->former.size() : 0;
      return error_response(422, "there is no such former set; kept are " + std::to_string(kept));
    }
    const catalog::SetLook former = catalog::look_at_set(store, *edition);
    if (former.found == Found::no_answer) return retry_later("the state service can't be reached");
    if (former.found != Found::read) return error_response(409, "that set can't be read by this program");
    wanted.file = "version " + std::to_string(edition->version.number());
    wanted.xml = catalog::write_xml(*former.set);
    wanted.from = edition->version;
  }
  const catalog::Reading reading = catalog::read_xml(wanted.xml, judged_by);
  if (!reading.faults.empty()) return faults_answer(wanted.file, reading);
  const auto names_types = [](const catalog::PoolDef& pool) { return !pool.types.empty(); };
  if (!judged_by.types && std::ranges::any_of(reading.set.pools, names_types)) {
    return retry_later("machine types are not known yet");
  }
  const std::string digest = catalog::digest_of(reading.set);

  if (wanted.dry_run || !wanted.base) {
    std::shared_ptr<const catalog::Set> before = std::make_shared<const catalog::Set>();
    bool readable = true;
    if (look.head) {
      const catalog::SetLook set = catalog::look_at_set(store, now);
      if (set.found == Found::no_answer) return retry_later("the state service can't be reached");
      if (set.found == Found::newer_form) {
        return error_response(409, "the set in force was written by a newer program; apply at a node that runs it");
      }
      readable = set.found == Found::read;
      if (readable) before = set.set;
    }
    Value::List changes;
    for (const catalog::Difference& one : catalog::difference(*before, reading.set)) {
      changes.push_back(Value::Map{
          {"change", catalog::name_of(one.change)}, {"kind", catalog::name_of(one.kind)}, {"name", one.name}});
    }
    Value::Map map{{"node", context_.settings.name.text()},
                   {"standing", "open"},
                   {"base", base.number()},
                   {"digest", digest},
                   {"changes", changes},
                   {"base_readable", readable}};
    if (look.head) map.emplace_back("now", map_of(now));
    if (wanted.from) map.emplace_back("from", wanted.from->number());
    return answer(200, std::move(map));
  }

  if (digest != wanted.digest) return error_response(409, "this is not the content that was judged");
  const catalog::Outcome outcome = catalog::put_in_force(store, reading.set, base, wanted.author, wall_ms(),
                                                         catalog_write_limits_of(context_.settings));
  switch (outcome.kind) {
    case catalog::Outcome::Kind::in_force:
      spdlog::info("catalog_applied version={} revision={} author=\"{}\" digest={}", outcome.ours.version.number(),
                   outcome.ours.revision.number(), outcome.ours.author, outcome.ours.digest);
      return held("in_force", outcome.ours, outcome.ours);
    case catalog::Outcome::Kind::replaced: return held("replaced", outcome.ours, *outcome.theirs);
    case catalog::Outcome::Kind::lost: return lost_to(outcome.theirs.value_or(Edition{}));
    case catalog::Outcome::Kind::no_answer: return retry_later("the state service did not tell the outcome in time");
    case catalog::Outcome::Kind::rejected: return error_response(500, "the state service does not take the set");
    default: return error_response(409, "the catalog's head can't be read by this program");
  }
}

HttpResponse CatalogRequestHandler::show(const net::HttpRequest& request) const {
  std::optional<Version> version;
  if (const auto asked = request.query.find("version"); asked != request.query.end()) {
    std::uint64_t number = 0;
    const std::string& text = asked->second;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc{} || end != text.data() + text.size())
      return error_response(400, "version: must be a number");
    version = Version(number);
  }
  std::shared_ptr<const catalog::Set> set;
  std::size_t unreadable = 0;
  Version head;
  Revision records;
  {
    const std::lock_guard lock(context_.shared.mutex);
    const catalog::CatalogView& book = context_.shared.catalog;
    set = version ? book.edition(*version) : book.in_force();
    unreadable = book.unreadable();
    head = book.head() ? book.head()->now.version : Version(0);
    records = context_.shared.record_cache.revision();
  }
  if (records == Revision(0)) return retry_later("the records are not known yet");
  if (set == nullptr) return error_response(404, "no such version is kept");
  return answer(200, {{"node", context_.settings.name.text()},
                      {"record_revision", records.number()},
                      {"newest", head.number()},
                      {"unreadable", std::uint64_t{unreadable}},
                      {"version", set->version.number()},
                      {"revision", set->revision.number()},
                      {"author", set->author},
                      {"wall_ms", static_cast<std::uint64_t>(set->wall_ms)},
                      {"digest", set->digest},
                      {"classes", list_of(set->classes)},
                      {"calendar", list_of(set->calendar)},
                      {"pools", list_of(set->pools)}});
}

HttpResponse CatalogRequestHandler::history() const {
  Value::List list;
  Revision records;
  std::uint64_t in_force = 0;
  {
    const std::lock_guard lock(context_.shared.mutex);
    const catalog::CatalogView& book = context_.shared.catalog;
    records = context_.shared.record_cache.revision();
    in_force = book.in_force()->version.number();
    if (book.head()) {
      list.push_back(map_of(book.head()->now));
      for (const Edition& edition : book.head()->former) list.push_back(map_of(edition));
    }
  }
  if (records == Revision(0)) return retry_later("the records are not known yet");
  return answer(200, {{"node", context_.settings.name.text()},
                      {"record_revision", records.number()},
                      {"in_force", in_force},
                      {"sets", list}});
}

}  // namespace foxshunt::node
