// A few clients that many threads share, each leased to one of them at a time.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

namespace foxshunt::node {

/// At most `max_clients` clients, made when first needed and kept. Thread-safe.
template <typename Client>
class ClientPool {
 public:
  using Factory = std::function<std::unique_ptr<Client>()>;

  ClientPool(std::size_t max_clients, Factory factory) : max_clients_(max_clients), factory_(std::move(factory)) {}

  /// Holds a client for its own lifetime; `get` is null when all were leased.
  class Lease {
   public:
    explicit Lease(ClientPool& pool) : pool_(pool), client_(pool.acquire()) {}
    ~Lease() {
      if (client_) pool_.release(std::move(client_));
    }
    Lease(const Lease&) = delete;
    Lease& operator=(const Lease&) = delete;
    [[nodiscard]] Client* get() const { return client_.get(); }

   private:
    ClientPool& pool_;
    std::unique_ptr<Client> client_;
  };

 private:
  std::unique_ptr<Client> acquire() {
    const std::lock_guard lock(mutex_);
    if (idle_clients_.empty()) {
      if (leased_count_ >= max_clients_) return nullptr;
      idle_clients_.push_back(factory_());
    }
    ++leased_count_;
    std::unique_ptr<Client> client = std::move(idle_clients_.back());
    idle_clients_.pop_back();
    return client;
  }
  void release(std::unique_ptr<Client> client) {
    const std::lock_guard lock(mutex_);
    --leased_count_;
    idle_clients_.push_back(std::move(client));
  }

  std::size_t max_clients_;
  Factory factory_;
  std::mutex mutex_;
  std::vector<std::unique_ptr<Client>> idle_clients_;
  std::size_t leased_count_ = 0;
};

}  // namespace foxshunt::node
