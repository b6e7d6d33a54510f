#include "net/socket.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <spdlog/spdlog.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <system_error>
#include <thread>
#include <utility>

#include "config/constants.h"

namespace foxshunt::net {
namespace {

int left_ms(Deadline until) {
  const auto left = std::chrono::ceil<std::chrono::milliseconds>(until - Clock::now()).count();
  return static_cast<int>(std::clamp<decltype(left)>(left, 0, 3'600'000));
}

// poll() for one event; true when it is there before the deadline.
bool wait_for(int fd, short event, Deadline until) {
  while (true) {
    pollfd entry{.fd = fd, .events = event, .revents = 0};
    const int found = ::poll(&entry, 1, left_ms(until));
    if (found > 0) return true;
    if (found == 0 && Clock::now() >= until) return false;
    if (found < 0 && errno != EINTR) return false;
  }
}

std::optional<sockaddr_in> to_native(const Address& address) {
  sockaddr_in native{};
  native.sin_family = AF_INET;
  native.sin_port = htons(address.port);
  if (::inet_pton(AF_INET, address.host.c_str(), &native.sin_addr) != 1) return std::nullopt;
  return native;
}

}  // namespace

std::optional<Address> parse_address(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  Address found{.host = std::string(text.substr(0, colon)), .port = 0};
  const std::string_view port = text.substr(colon + 1);
  const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), found.port);
  if (error != std::errc{} || end != port.data() + port.size()) return std::nullopt;
  if (!to_native(found)) return std::nullopt;
  return found;
}

Socket& Socket::operator=(Socket&& other) noexcept {
  if (this != &other) {
    close();
    fd_ = std::exchange(other.fd_, -1);
  }
  return *this;
}

void Socket::close() {
  if (fd_ >= 0) ::close(std::exchange(fd_, -1));
}

void Socket::shut() const {
  if (fd_ >= 0) ::shutdown(fd_, SHUT_RDWR);
}

bool Socket::wait_readable(Deadline until) const { return wait_for(fd_, POLLIN, until); }

void Socket::limit_reads(std::chrono::milliseconds most) const {
  const auto seconds = std::chrono::floor<std::chrono::seconds>(most);
  const timeval limit{.tv_sec = seconds.count(), .tv_usec = std::chrono::microseconds(most - seconds).count()};
  ::setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
}

ssize_t Socket::read_blocking(char* into, std::size_t size) const {
  while (true) {
    const ssize_t got = ::recv(fd_, into, size, 0);
    if (got >= 0 || errno != EINTR) return got;
  }
}

ssize_t Socket::read_some(char* into, std::size_t size, Deadline until) const {
  while (true) {
    const ssize_t got = ::recv(fd_, into, size, MSG_DONTWAIT);
    if (got >= 0) return got;
    if (errno == EINTR) continue;
    if (errno != EAGAIN && errno != EWOULDBLOCK) return -1;
    if (!wait_for(fd_, POLLIN, until)) return -1;
  }
}

bool Socket::write_all(const char* from, std::size_t size, Deadline until) const {
  while (size > 0) {
    const ssize_t sent = ::send(fd_, from, size, MSG_DONTWAIT | MSG_NOSIGNAL);
    if (sent >= 0) {
      from += sent;
      size -= static_cast<std::size_t>(sent);
      continue;
    }
    if (errno == EINTR) continue;
    if (errno != EAGAIN && errno != EWOULDBLOCK) return false;
    if (!wait_for(fd_, POLLOUT, until)) return false;
  }
  return true;
}

bool Socket::stale() const {
  char byte = 0;
  const ssize_t got = ::recv(fd_, &byte, 1, MSG_DONTWAIT | MSG_PEEK);
  return got >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

Socket connect_to(const Address& to, Deadline until) {
  const auto native = to_native(to);
  if (!native) return {};
  Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
  if (!socket.open()) return {};
  const int on = 1;
  ::setsockopt(socket.fd(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (::connect(socket.fd(), reinterpret_cast<const sockaddr*>(&*native), sizeof *native) != 0) {
    if (errno != EINPROGRESS && errno != EINTR) return {};
    if (!wait_for(socket.fd(), POLLOUT, until)) return {};
    int error = 0;
    socklen_t length = sizeof error;
    if (::getsockopt(socket.fd(), SOL_SOCKET, SO_ERROR, &error, &length) != 0 || error != 0) return {};
  }
  return socket;
}

Socket listen_on(const Address& at) {
  const auto native = to_native(at);
  if (!native) throw std::system_error(EINVAL, std::generic_category(), at.text());
  const Deadline until = Clock::now() + constants::kListenTimeout;
  for (bool told = false;; told = true) {
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const int on = 1;
    if (socket.open() && ::setsockopt(socket.fd(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) == 0 &&
        ::bind(socket.fd(), reinterpret_cast<const sockaddr*>(&*native), sizeof *native) == 0 &&
        ::listen(socket.fd(), constants::kListenBacklog) == 0) {
      return socket;
    }
    const int error = errno;
    if ((error != EADDRINUSE && error != EADDRNOTAVAIL) || Clock::now() >= until) {
      throw std::system_error(error, std::generic_category(), "listen on " + at.text());
    }
    if (!told) spdlog::warn("address {} can't be had yet: {}", at.text(), std::generic_category().message(error));
    std::this_thread::sleep_for(constants::kListenRetryInterval);
  }
}

Address local_address(const Socket& socket) {
  sockaddr_in native{};
  socklen_t length = sizeof native;
  ::getsockname(socket.fd(), reinterpret_cast<sockaddr*>(&native), &length);
  std::array<char, INET_ADDRSTRLEN> text{};
  ::inet_ntop(AF_INET, &native.sin_addr, text.data(), text.size());
  return {.host = text.data(), .port = ntohs(native.sin_port)};
}

}  // namespace foxshunt::net
