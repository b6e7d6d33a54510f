#include "node/stop_sender.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <atomic>
#include <deque>
#include <map>
#include <memory>
#include <system_error>
#include <thread>
#include <utility>

#include "config/constants.h"
#include "net/http.h"

namespace foxshunt::node {

void StopSender::send(const control::DirectHalt& halt) {
  const auto address = net::parse_address(halt.address);
  if (!address) return;
  net::HttpClient client(*address, constants::kHaltCallLimit);
  const auto answer = client.call({.method = "POST",
                                   .path = "/commands",
                                   .body = wire::encode(wire::direct_commands(halt.term, halt.session, halt.commands))},
                                  net::Clock::now() + constants::kHaltCallLimit);
  // What became of it is learnt from the worker's next report, which alone is proof.
  spdlog::debug("direct_stop_sent machine={} tasks={} status={}", halt.machine.text(), halt.commands.size(),
                answer ? std::to_string(answer->status) : "none");
}

void StopSender::run(const std::stop_token& stop) {
  struct Sender {
    std::atomic<bool> done{false};
    std::jthread thread;
  };
  std::map<MachineId, std::unique_ptr<Sender>> senders;
  std::deque<control::DirectHalt> waiting;  // the oldest first, one a machine
  while (!stop.stop_requested()) {
    context_.wakeups.stop_sender.wait(stop, !waiting.empty()  ? constants::kTick
                                            : senders.empty() ? constants::kForGood
                                                              : constants::kHaltCallLimit);
    std::erase_if(senders, [](const auto& entry) { return entry.second->done.load(); });
    std::vector<control::DirectHalt> due;
    Term term;
    {
      const std::lock_guard lock(context_.control_state.mutex.handle(LockPriority::reports));
      due = std::exchange(context_.control_state.halts, {});
      term = context_.control_state.controller.term();
    }
    for (control::DirectHalt& halt : due) {
      if (senders.contains(halt.machine)) continue;
      const auto same = std::ranges::find(waiting, halt.machine, &control::DirectHalt::machine);
      if (same != waiting.end()) {
        *same = std::move(halt);
      } else {
        waiting.push_back(std::move(halt));
      }
    }
    for (; !waiting.empty() && senders.size() < constants::kHaltsAtOnce; waiting.pop_front()) {
      control::DirectHalt& next = waiting.front();
      // What an ended lead wanted gone the next one may want, also if this process leads again.
      if (next.term != term) continue;
      const MachineId machine = next.machine;
      auto sender = std::make_unique<Sender>();
      Sender* const raw = sender.get();
      try {
        sender->thread = std::jthread([this, raw, halt = std::move(next)] {
          send(halt);
          raw->done = true;
        });
      } catch (const std::system_error& error) {
        spdlog::warn("no_thread_for_direct_stop machine={} error=\"{}\"", machine.text(), error.what());
        continue;  // halts are repeated until proof
      }
      senders.emplace(machine, std::move(sender));
    }
  }
}

}  // namespace foxshunt::node
