// HTTP/1.1 over blocking sockets: cpp-httplib parses and prints, foxshunt owns sockets, threads and deadlines.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "net/socket.h"

namespace foxshunt::net {

struct HttpRequest {
  std::string method;
  std::string path;
  std::string body;
  std::map<std::string, std::string> query{};  // of requests that a server receives
};

struct HttpResponse {
  int status = 200;
  std::string body;  // CBOR, or text when `is_text`
  std::optional<int> retry_after_s;
  bool is_text = false;
};

// How many connections a server takes. One whose first request is for a reserved path may be any of them; all others
// together leave the rest free, so that a flood of them shuts nobody of the former out.
struct ServerLimits {
  int connections = 1;
  std::vector<std::string> reserved_paths{};
  int unreserved = connections;
};

// One thread accepts, one thread serves each connection.
class HttpServer {
 public:
  using Handler = std::function<HttpResponse(const HttpRequest&)>;

  HttpServer(const Address& at, const ServerLimits& limits, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  [[nodiscard]] Address address() const;
  [[nodiscard]] int open_connections() const;
  [[nodiscard]] int max_connections() const;
  [[nodiscard]] std::uint64_t refused_connections() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

// A client of one server with one persistent connection; not to be shared between threads.
class HttpClient {
 public:
  HttpClient(Address to, std::chrono::milliseconds connect_limit);
  ~HttpClient();
  HttpClient(HttpClient&&) noexcept;
  HttpClient& operator=(HttpClient&&) noexcept;

  // Nothing when there was no whole answer by the deadline; the request may have been executed all the same.
  [[nodiscard]] std::optional<HttpResponse> call(const HttpRequest& request, Deadline until);
  // Wakes a call that is under way in another thread.
  void abort();
  [[nodiscard]] const Address& to() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

// To be called once, before threads exist: thread stacks and allocator arenas fit for hundreds of threads, and
// as many open files as the process may have.
void tune_process_for_threads();

}  // namespace foxshunt::net
