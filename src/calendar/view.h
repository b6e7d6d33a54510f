// What operators see of the calendar, and what they may ask for. The bodies are CBOR, as all of foxshunt's answers.
#pragma once

#include <cstdint>
#include <string>

#include "calendar/keeper.h"
#include "wire/value.h"

namespace foxshunt::calendar {

// The occurrences due from yesterday on, at or after `from_ms`, for `days` from now on, in order of their due times: those
// that have records, and those that the catalog lets expect. As many as fit an answer; `next` is where to go on, 0: these
// were all. With the revision of the records, the catalog's version and a digest of the records (not of what is only
// expected: that needs this node's zone files).
[[nodiscard]] wire::Value shown(const DeadlineController& keeper, Revision revision, std::int64_t now_ms, int days,
                                std::int64_t from_ms, std::size_t skip);

struct Request {
  bool waive = false;  // or acknowledge
  std::string entry;
  std::string occurrence;  // its due time in UTC as it is shown, or by the entry's own clocks
  std::string by;
  std::string why;
};
[[nodiscard]] wire::Value to_value(const Request& request);
[[nodiscard]] Request request_from(const wire::Value& value);  // throws Malformed

// The transaction that a request asks for, decided from this node's records, or the status and the reason why not: 404 no
// such occurrence, 409 it can't be, 422 the request is no good.
struct Decision {
  std::optional<kv::Txn> txn;
  Revision done;  // with status 200 and no transaction: it was done already, as of here
  int status = 200;
  std::string error;
};
[[nodiscard]] Decision decide(const DeadlineController& keeper, const Request& request, std::int64_t now_ms);

}  // namespace foxshunt::calendar
