// A few clients that many threads share, each lent to one of them at a time.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

namespace foxshunt::node {

template <typename Client>
class Pool {
 public:
  using Make = std::function<std::unique_ptr<Client>()>;

  Pool(std::size_t most, Make make) : most_(most), make_(std::move(make)) {}

  // Gives its client back at its end; empty when all were lent.
  class Loan {
   public:
    explicit Loan(Pool& pool) : pool_(pool), client_(pool.take()) {}
    ~Loan() {
      if (client_) pool_.put(std::move(client_));
    }
    Loan(const Loan&) = delete;
    Loan& operator=(const Loan&) = delete;
    [[nodiscard]] Client* get() const { return client_.get(); }

   private:
    Pool& pool_;
    std::unique_ptr<Client> client_;
  };

 private:
  std::unique_ptr<Client> take() {
    const std::lock_guard lock(mutex_);
    if (idle_.empty()) {
      if (lent_ >= most_) return nullptr;
      idle_.push_back(make_());
    }
    ++lent_;
    std::unique_ptr<Client> client = std::move(idle_.back());
    idle_.pop_back();
    return client;
  }
  void put(std::unique_ptr<Client> client) {
    const std::lock_guard lock(mutex_);
    --lent_;
    idle_.push_back(std::move(client));
  }

  std::size_t most_;
  Make make_;
  std::mutex mutex_;
  std::vector<std::unique_ptr<Client>> idle_;
  std::size_t lent_ = 0;
};

}  // namespace foxshunt::node
