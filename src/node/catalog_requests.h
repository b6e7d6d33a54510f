// Operators' side of the catalog over HTTP, at any node.
//
//   POST /catalog/part    a piece of a file that is too long for one request
//   POST /catalog/apply   judges a file (or a former set), tells the difference, and puts it in force
//   GET /catalog          what is in force here, with its items; ?version=N one of the sets that are kept
//   GET /catalog/history  the sets that are kept
#pragma once

#include <map>
#include <mutex>
#include <optional>
#include <string>

#include "catalog/book.h"
#include "catalog/founder.h"
#include "catalog/session.h"
#include "catalog/xml.h"
#include "net/http.h"
#include "node/context.h"

namespace foxshunt::node {

class CatalogRequestHandler {
 public:
  explicit CatalogRequestHandler(Context& context) : context_(context) {}

  // Of paths that begin with /catalog.
  [[nodiscard]] net::HttpResponse handle(const net::HttpRequest& request);

 private:
  struct Upload {
    std::vector<std::string> parts;
    net::Clock::time_point begun;
  };
  struct Wanted;

  net::HttpResponse part(const std::string& body);
  net::HttpResponse apply(const std::string& body);
  net::HttpResponse apply(catalog::Store& store, Wanted wanted);
  [[nodiscard]] net::HttpResponse show(const net::HttpRequest& request) const;
  [[nodiscard]] net::HttpResponse history() const;
  [[nodiscard]] std::optional<std::string> uploaded(const std::string& id);

  Context& context_;
  std::mutex uploads_mutex_;
  std::map<std::string, Upload> uploads_;
  std::mutex apply_mutex_;  // one at a time: a large set takes memory and budget
};

}  // namespace foxshunt::node
