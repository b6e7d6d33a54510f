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

void StopSender::send(const control::DirectStop& direct_stop) {
  const auto address = net::parse_address(direct_stop.address);
  if (!address) return;
  net::HttpClient client(*address, constants::kDirectStopTimeout);
  const auto answer = client.call(
      {.method = "POST",
       .path = "/commands",
       .body = wire::encode(wire::direct_commands(direct_stop.term, direct_stop.incarnation, direct_stop.commands))},
      net::Clock::now() + constants::kDirectStopTimeout);
  // What became of it is learnt from the worker's next report, which alone is proof.
  spdlog::debug("direct_stop_sent machine={} tasks={} status={}", direct_stop.machine.text(),
                direct_stop.commands.size(), answer ? std::to_string(answer->status) : "none");
}

void StopSender::run(const std::stop_token& stop) {
  struct Sender {
    std::atomic<bool> done{false};
    std::jthread thread;
  };
  std::map<MachineId, std::unique_ptr<Sender>> senders;
  std::deque<control::DirectStop> waiting;  // the oldest first, one a machine
  while (!stop.stop_requested()) {
    context_.wakeups.stop_sender.wait(stop, !waiting.empty()  ? constants::kTick
                                            : senders.empty() ? constants::kUnboundedWait
                                                              : constants::kDirectStopTimeout);
    std::erase_if(senders, [](const auto& entry) { return entry.second->done.load(); });
    std::vector<control::DirectStop> due;
    Term term;
    {
      const std::lock_guard lock(context_.control_state.mutex.handle(LockPriority::heartbeats));
      due = std::exchange(context_.control_state.direct_stops, {});
      term = context_.control_state.controller.term();
    }
    for (control::DirectStop& direct_stop : due) {
      if (senders.contains(direct_stop.machine)) continue;
      const auto same = std::ranges::find(waiting, direct_stop.machine, &control::DirectStop::machine);
      if (same != waiting.end()) {
        *same = std::move(direct_stop);
      } else {
        waiting.push_back(std::move(direct_stop));
      }
    }
    for (; !waiting.empty() && senders.size() < constants::kMaxConcurrentDirectStops; waiting.pop_front()) {
      control::DirectStop& next = waiting.front();
      // What an ended lead wanted gone the next one may want, also if this process leads again.
      if (next.term != term) continue;
      const MachineId machine = next.machine;
      auto sender = std::make_unique<Sender>();
      Sender* const raw = sender.get();
      try {
        sender->thread = std::jthread([this, raw, direct_stop = std::move(next)] {
          send(direct_stop);
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
