#include "catalog/session.h"

#include <algorithm>

#include "catalog/book.h"
#include "config/constants.h"

namespace foxshunt::catalog {
namespace {

std::optional<Edition> now_of(const HeadLook& look) { return look.head ? std::optional(look.head->now) : std::nullopt; }

Outcome without_head(const HeadLook& look) {
  switch (look.found) {
    case HeadLook::Found::newer_form: return {.kind = Outcome::Kind::newer_form, .ours = {}, .theirs = {}};
    case HeadLook::Found::unreadable: return {.kind = Outcome::Kind::unreadable, .ours = {}, .theirs = {}};
    default: return {.kind = Outcome::Kind::no_answer, .ours = {}, .theirs = {}};
  }
}

// Sends what the writer asks for until it is done, or can't go on by itself.
void drive(Store& store, Writer& writer) {
  while (true) {
    if (writer.state() == Writer::State::wants_stage) {
      const kv::GetResult stage = store.get(stage_key(writer.edition().stage()));
      kv::ListResult items;
      if (stage.status == kv::Status::ok) {
        items = store.list(kItemPrefix + writer.edition().stage() + "/");
        if (items.status != kv::Status::ok) return;
      } else if (stage.status != kv::Status::not_found) {
        return;
      }
      std::set<std::string> there;
      for (const kv::Entry& entry : items.entries) there.insert(entry.key);
      writer.on_stage(stage.status == kv::Status::ok ? stage.entry.revision : Revision(0), there);
      continue;
    }
    if (writer.state() == Writer::State::refused && !store.pause()) return;
    const auto txn = writer.next();
    if (!txn) return;
    writer.on_result(store.txn(*txn));
  }
}

}  // namespace

HeadLook look_at_head(Store& store) {
  HeadLook look;
  const kv::GetResult got = store.get(kHeadKey);
  if (got.status == kv::Status::not_found) {
    look.found = HeadLook::Found::read;
  } else if (got.status == kv::Status::ok) {
    look.revision = got.entry.revision;
    try {
      look.head = head_from(got.entry.data, got.entry.revision);
      look.found = HeadLook::Found::read;
    } catch (const NewerForm&) {
      look.found = HeadLook::Found::newer_form;
    } catch (const wire::Malformed&) {
      look.found = HeadLook::Found::unreadable;
    }
  }
  return look;
}

SetLook look_at_set(Store& store, const Edition& edition) {
  SetLook look;
  const kv::ListResult list = store.list(kItemPrefix + edition.stage() + "/");
  if (list.status != kv::Status::ok) return look;
  look.found = SetLook::Found::unreadable;
  Items items;
  for (const kv::Entry& entry : list.entries) {
    const std::uint64_t* form = entry.data["form"].as_count();
    const auto key = item_key_from(entry.key);
    if (form != nullptr && *form > (key ? newest_form(key->kind) : kForm)) {
      look.found = SetLook::Found::newer_form;
      return look;
    }
    if (key) items[{key->kind, key->number}] = wire::encode(entry.data);
  }
  try {
    look.set = whole_set(edition, items);
  } catch (const wire::Malformed&) {
    return look;
  }
  if (look.set != nullptr) look.found = SetLook::Found::read;
  return look;
}

Outcome put_in_force(Store& store, const Set& set, Version base, const std::string& author, std::int64_t wall_ms,
                     const WriteLimits& limits) {
  const std::string digest = digest_of(set);
  while (true) {
    const HeadLook look = look_at_head(store);
    if (look.found != HeadLook::Found::read) return without_head(look);
    switch (standing_of(look.head, base, digest)) {
      case Standing::in_force: return {.kind = Outcome::Kind::in_force, .ours = look.head->now, .theirs = {}};
      case Standing::replaced:
        return {.kind = Outcome::Kind::replaced, .ours = *look.head->find(base.next()), .theirs = now_of(look)};
      case Standing::lost: return {.kind = Outcome::Kind::lost, .ours = {}, .theirs = now_of(look)};
      case Standing::open: break;
    }
    Writer writer(look.head, look.revision, set, author, wall_ms, limits);
    drive(store, writer);
    if (writer.state() == Writer::State::in_force) {
      return {.kind = Outcome::Kind::in_force, .ours = writer.edition(), .theirs = {}};
    }
    if (writer.state() == Writer::State::rejected) {
      return {.kind = Outcome::Kind::rejected, .ours = {}, .theirs = {}};
    }
    // Changed by another, or not known: the head tells.
    if (!store.pause()) return {.kind = Outcome::Kind::no_answer, .ours = {}, .theirs = {}};
  }
}

}  // namespace foxshunt::catalog
