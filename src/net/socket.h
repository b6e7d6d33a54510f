// TCP sockets whose every operation is bounded by a deadline, counted as a whole.
#pragma once

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>

#include "net/address.h"

namespace foxshunt::net {

using Clock = std::chrono::steady_clock;
using Deadline = Clock::time_point;

class Socket {
 public:
  Socket() = default;
  explicit Socket(int fd) : fd_(fd) {}
  Socket(Socket&& other) noexcept : fd_(other.fd_) { other.fd_ = -1; }
  Socket& operator=(Socket&& other) noexcept;
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;
  ~Socket() { close(); }

  [[nodiscard]] bool open() const { return fd_ >= 0; }
  [[nodiscard]] int fd() const { return fd_; }
  void close();
  // Wakes whoever is blocked on the socket; the descriptor stays until close().
  void shut() const;

  // False when the deadline passed or the connection broke.
  [[nodiscard]] bool wait_readable(Deadline until) const;
  // From now on a read that nothing answers ends after this; for blocking reads.
  void limit_reads(std::chrono::milliseconds most) const;
  // One call that sleeps until something comes; 0 at the end, -1 after the limit or an error.
  ssize_t read_blocking(char* into, std::size_t size) const;
  // Bytes read; 0 at the end of the stream, -1 on a deadline or error.
  [[nodiscard]] ssize_t read_some(char* into, std::size_t size, Deadline until) const;
  [[nodiscard]] bool write_all(const char* from, std::size_t size, Deadline until) const;
  // True if the other side has closed or sent something unasked: the connection can't carry a new request.
  [[nodiscard]] bool stale() const;

 private:
  int fd_ = -1;
};

[[nodiscard]] Socket connect_to(const Address& to, Deadline until);
// An address that is still held, as by an earlier life of this process that has not quite ended, is waited for by
// kListenTimeout. Throws std::system_error when the address can't be bound.
[[nodiscard]] Socket listen_on(const Address& at);
[[nodiscard]] Address local_address(const Socket& socket);

}  // namespace foxshunt::net
