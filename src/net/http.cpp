#include "net/http.h"

#include <httplib.h>
#include <malloc.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <spdlog/spdlog.h>
#include <sys/resource.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <list>
#include <mutex>
#include <thread>

#include "config/constants.h"

namespace foxshunt::net {
namespace {

// The stream that httplib reads and writes: buffered both ways, with one deadline for the whole exchange.
class SocketStream final : public httplib::Stream {
 public:
  explicit SocketStream(const Socket& socket) : socket_(socket) {}

  void set_deadline(Deadline until) { until_ = until; }
  // Nothing is left of an exchange that broke off.
  void begin(Deadline until) {
    until_ = until;
    at_ = filled_ = 0;
    out_.clear();
  }
  // What has come and is not read yet: the beginning of a request.
  [[nodiscard]] std::string_view begun() const { return {buffer_.data() + at_, filled_ - at_}; }
  // Sleeps until a request begins; false when the connection is over.
  bool await_request() {
    if (at_ < filled_) return true;
    const ssize_t got = socket_.read_blocking(buffer_.data(), buffer_.size());
    if (got <= 0) return false;
    at_ = 0;
    filled_ = static_cast<std::size_t>(got);
    return true;
  }

  bool is_readable() const override { return true; }
  bool is_writable() const override { return true; }

  ssize_t read(char* into, std::size_t size) override {
    const bool asked = !out_.empty();
    if (!flush()) return -1;
    if (at_ == filled_) {
      // What was asked only now is not answered yet: a look would be in vain.
      if (asked && !socket_.wait_readable(until_)) return -1;
      const ssize_t got = socket_.read_some(buffer_.data(), buffer_.size(), until_);
      if (got <= 0) return got;
      at_ = 0;
      filled_ = static_cast<std::size_t>(got);
    }
    const std::size_t part = std::min(size, filled_ - at_);
    std::memcpy(into, buffer_.data() + at_, part);
    at_ += part;
    return static_cast<ssize_t>(part);
  }

  ssize_t write(const char* from, std::size_t size) override {
    out_.append(from, size);
    return static_cast<ssize_t>(size);
  }

  // Header and body leave in one packet.
  bool flush() {
    if (out_.empty()) return true;
    const bool sent = socket_.write_all(out_.data(), out_.size(), until_);
    out_.clear();
    if (out_.capacity() > constants::kStreamBufferBytes) out_.shrink_to_fit();
    return sent;
  }

  void get_remote_ip_and_port(std::string&, int&) const override {}
  void get_local_ip_and_port(std::string&, int&) const override {}
  // httplib compares it with FD_SETSIZE only; waiting is done here, by poll().
  socket_t socket() const override { return 0; }

 private:
  const Socket& socket_;
  Deadline until_{};
  std::array<char, constants::kStreamBufferBytes> buffer_;
  std::size_t at_ = 0;
  std::size_t filled_ = 0;
  std::string out_;
};

// httplib's parser and printer without its accept loop, pool and keep-alive polling (which wakes every idle
// connection many times a second).
class Protocol final : public httplib::Server {
 public:
  explicit Protocol(const HttpServer::Handler& handler) {
    set_payload_max_length(constants::kMaxBodyBytes);
    set_keep_alive_max_count(1'000'000);
    set_keep_alive_timeout(
        std::chrono::seconds(std::chrono::floor<std::chrono::seconds>(constants::kServerIdleTimeout)).count());
    // httplib's routes are regular expressions, whose matcher recurses once a character of the path: that took 16 KiB
    // of every connection's stack, and a long path overflowed it. No route is registered, so that httplib reads each
    // request and leaves it, as one that it has no route for, to the handler of errors.
    set_error_handler(
        httplib::Server::HandlerWithResponse([&handler](const httplib::Request& request, httplib::Response& response) {
          if (response.status == 404) {
            serve(handler, request, response);
          } else if (response.status == 413) {
            response.status = 400;  // PROTOCOL knows one answer to a body that is too long
          }
          return HandlerResponse::Handled;
        }));
  }

  // Serves one request; false when the connection has to be closed.
  bool serve_one(SocketStream& stream) {
    bool closed = false;
    bool body_left = false;
    const bool good = process_request(stream, false, closed, [&body_left](httplib::Request& request) {
      if (!request.has_header("Content-Length")) return;
      const auto length = request.get_header_value<std::uint64_t>("Content-Length");
      if (length > constants::kMaxBodyBytes || request.path.size() > constants::kMaxPathBytes) body_left = true;
    });
    return stream.flush() && good && !closed && !body_left;
  }

 private:
  static void serve(const HttpServer::Handler& handler, const httplib::Request& request, httplib::Response& response) {
    if (request.path.size() > constants::kMaxPathBytes) {
      response.status = 400;
      return;
    }
    try {
      const HttpResponse answer = handler({.method = request.method,
                                           .path = request.path,
                                           .body = request.body,
                                           .query = {request.params.begin(), request.params.end()}});
      response.status = answer.status;
      if (answer.retry_after_s) response.set_header("Retry-After", std::to_string(*answer.retry_after_s));
      if (!answer.body.empty()) {
        response.set_content(answer.body, answer.is_text ? "text/plain" : "application/cbor");
      }
    } catch (const std::exception& error) {
      spdlog::error("request {} {} failed inside: {}", request.method, request.path, error.what());
      response.status = 500;
    }
  }
};

}  // namespace

void tune_process_for_threads() {
  // Every connection holds a socket; what the process may have is the hard limit.
  rlimit files{};
  if (::getrlimit(RLIMIT_NOFILE, &files) == 0) {
    files.rlim_cur = files.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &files);
  }
  pthread_attr_t attributes;
  pthread_attr_init(&attributes);
#ifndef __SANITIZE_THREAD__  // which keeps more than that for itself in every thread
  pthread_attr_setstacksize(&attributes, constants::kThreadStackBytes);
  pthread_setattr_default_np(&attributes);
#endif
  pthread_attr_destroy(&attributes);
  mallopt(M_ARENA_MAX, 1);                // only one thread runs at a time; arenas would only hold memory
  mallopt(M_TRIM_THRESHOLD, 256 * 1024);  // give back what a burst took
  mallopt(M_MMAP_THRESHOLD, 128 * 1024);
}

class HttpServer::Impl {
 public:
  Impl(const Address& at, ServerLimits limits, Handler handler)
      : handler_(std::move(handler)),
        protocol_(handler_),
        subscriber_(listen_on(at)),
        limits_(std::move(limits)),
        acceptor_([this](const std::stop_token& stop) { accept_loop(stop); }) {}

  ~Impl() {
    acceptor_.request_stop();
    subscriber_.shut();
    acceptor_.join();
    std::list<Connection> rest;
    {
      const std::lock_guard lock(mutex_);
      for (Connection& connection : live_) connection.socket.shut();
      rest.splice(rest.end(), live_);
      rest.splice(rest.end(), finished_);
    }
    // Joining happens as `rest` goes, outside the lock that finishing connections take.
  }

  [[nodiscard]] Address address() const { return local_address(subscriber_); }
  [[nodiscard]] int open_connections() const { return open_; }
  [[nodiscard]] int max_connections() const { return limits_.connections; }
  [[nodiscard]] std::uint64_t refused_connections() const { return refused_; }

 private:
  struct Connection {
    Socket socket;
    std::jthread thread;
  };

  void accept_loop(const std::stop_token& stop) {
    while (!stop.stop_requested()) {
      const int fd = ::accept4(subscriber_.fd(), nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        if (stop.stop_requested()) return;
        if (errno != EINTR && errno != ECONNABORTED) std::this_thread::sleep_for(constants::kAcceptRetryBackoff);
        continue;
      }
      Socket socket(fd);
      reap();
      if (open_ >= limits_.connections) {
        refuse(socket);
        continue;
      }
      const int on = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      const std::lock_guard lock(mutex_);
      live_.push_back({.socket = std::move(socket), .thread = {}});
      const auto entry = std::prev(live_.end());
      ++open_;
      try {
        entry->thread = std::jthread([this, entry] { serve(entry); });
      } catch (const std::system_error& error) {
        if (threadless_++ % constants::kRefusalsPerWarning == 0) {
          spdlog::warn("no thread for a connection: {}; {} are open", error.what(), open_.load());
        }
        refuse(entry->socket);
        --open_;
        live_.erase(entry);
      }
    }
  }

  void refuse(const Socket& socket) {
    if (refused_++ % constants::kRefusalsPerWarning == 0) {
      spdlog::warn("connections are refused: {} are open, {} of them not for reserved paths", open_.load(),
                   unreserved_.load());
    }
    static constexpr std::string_view kFull =
        "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
    (void)socket.write_all(kFull.data(), kFull.size(), Clock::now());
  }

  // By the path in the request line, which comes in one piece from any client that means well.
  [[nodiscard]] bool reserved(std::string_view request) const {
    const std::size_t blank = request.find(' ');
    if (blank == std::string_view::npos) return false;
    const std::string_view path = request.substr(blank + 1, request.find(' ', blank + 1) - blank - 1);
    return std::ranges::find(limits_.reserved_paths, path) != limits_.reserved_paths.end();
  }

  void serve_all(const Socket& socket) {
    const auto stream = std::make_unique<SocketStream>(socket);
    // Whoever connects and asks nothing holds a place for a moment only.
    socket.limit_reads(constants::kServerRequestTimeout);
    if (!stream->await_request()) return;
    const bool counted = !reserved(stream->begun());
    if (!counted || ++unreserved_ <= limits_.unreserved) {
      socket.limit_reads(constants::kServerIdleTimeout);
      while (stream->await_request()) {
        stream->set_deadline(Clock::now() + constants::kServerRequestTimeout);
        if (!protocol_.serve_one(*stream)) break;
      }
    } else {
      refuse(socket);
    }
    if (counted) --unreserved_;
  }

  void serve(std::list<Connection>::iterator entry) {
    serve_all(entry->socket);
    const std::lock_guard lock(mutex_);
    entry->socket.close();
    --open_;
    // The destructor may have taken the entry away already; it then joins this thread.
    if (!acceptor_.get_stop_token().stop_requested()) finished_.splice(finished_.end(), live_, entry);
  }

  void reap() {
    std::list<Connection> done;
    const std::lock_guard lock(mutex_);
    done.splice(done.end(), finished_);
  }

  Handler handler_;
  Protocol protocol_;
  Socket subscriber_;
  ServerLimits limits_;
  std::atomic<int> open_{0};
  std::atomic<int> unreserved_{0};
  std::atomic<std::uint64_t> refused_{0};
  std::uint64_t threadless_ = 0;  // connections that no thread could be had for
  std::mutex mutex_;
  std::list<Connection> live_;
  std::list<Connection> finished_;
  std::jthread acceptor_;
};

HttpServer::HttpServer(const Address& at, const ServerLimits& limits, Handler handler)
    : impl_(std::make_unique<Impl>(at, limits, std::move(handler))) {}
HttpServer::~HttpServer() = default;
Address HttpServer::address() const { return impl_->address(); }
int HttpServer::open_connections() const { return impl_->open_connections(); }
int HttpServer::max_connections() const { return impl_->max_connections(); }
std::uint64_t HttpServer::refused_connections() const { return impl_->refused_connections(); }

class HttpClient::Impl final : private httplib::ClientImpl {
 public:
  Impl(Address to, std::chrono::milliseconds connect_limit)
      : httplib::ClientImpl(to.host, to.port), to_(std::move(to)), connect_limit_(connect_limit) {
    set_url_encode(false);
    set_decompress(false);
    set_keep_alive(true);
  }

  std::optional<HttpResponse> call(const HttpRequest& asked, Deadline until) {
    const bool reused = ready(until);
    if (!connection_.open()) return std::nullopt;
    auto answer = exchange(asked, until);
    // The server may close an idle connection just as it is used again. Only requests that change nothing
    // are sent once more; the caller decides about the others.
    if (!answer && reused && asked.method == "GET" && Clock::now() < until) {
      if (ready(until); connection_.open()) answer = exchange(asked, until);
    }
    return answer;
  }

  void abort() {
    const std::lock_guard lock(mutex_);
    connection_.shut();
  }

  [[nodiscard]] const Address& to() const { return to_; }

 private:
  // True when an earlier connection is there to be used again.
  bool ready(Deadline until) {
    {
      const std::lock_guard lock(mutex_);
      if (connection_.open() && !connection_.stale()) return true;
      connection_.close();
    }
    net::Socket fresh = connect_to(to_, std::min(until, Clock::now() + connect_limit_));
    const std::lock_guard lock(mutex_);
    connection_ = std::move(fresh);
    return false;
  }

  std::optional<HttpResponse> exchange(const HttpRequest& asked, Deadline until) {
    stream_.begin(until);
    httplib::Request request;
    request.method = asked.method;
    request.path = asked.path;
    request.body = asked.body;
    if (!asked.body.empty()) request.set_header("Content-Type", "application/cbor");
    httplib::Response response;
    httplib::Error error = httplib::Error::Success;
    const bool good = process_request(stream_, request, response, false, error);
    if (!good || response.get_header_value("Connection") == "close") {
      const std::lock_guard lock(mutex_);
      connection_.close();
    }
    if (!good) return std::nullopt;
    HttpResponse answer{.status = response.status, .body = std::move(response.body), .retry_after_s = {}};
    if (response.has_header("Retry-After")) {
      // httplib reads headers as std::uint64_t only: for any other type its template returns nothing at all, which
      // ended processes when a 503 came with Retry-After.
      constexpr std::uint64_t kMost = 3600;
      answer.retry_after_s = static_cast<int>(std::min(kMost, response.get_header_value<std::uint64_t>("Retry-After")));
    }
    return answer;
  }

  Address to_;
  std::chrono::milliseconds connect_limit_;
  std::mutex mutex_;  // for abort() against closing and connecting
  net::Socket connection_;
  SocketStream stream_{connection_};  // not on the stack, of which every thread that calls would keep its pages
};

HttpClient::HttpClient(Address to, std::chrono::milliseconds connect_limit)
    : impl_(std::make_unique<Impl>(std::move(to), connect_limit)) {}
HttpClient::~HttpClient() = default;
HttpClient::HttpClient(HttpClient&&) noexcept = default;
HttpClient& HttpClient::operator=(HttpClient&&) noexcept = default;
std::optional<HttpResponse> HttpClient::call(const HttpRequest& request, Deadline until) {
  return impl_->call(request, until);
}
void HttpClient::abort() { impl_->abort(); }
const Address& HttpClient::to() const { return impl_->to(); }

}  // namespace foxshunt::net
