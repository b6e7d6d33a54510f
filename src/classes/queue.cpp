#include "classes/queue.h"

#include <spdlog/fmt/fmt.h>

#include "config/constants.h"

namespace foxshunt::classes {

wire::Value queue_answer(const std::vector<Rank>& ranks, const Table& table, const Basis& basis, const QueueAsk& ask) {
  std::uint64_t jobs = 0;
  std::uint64_t tasks = 0;
  std::size_t bytes = 0;
  wire::Value::List lines;
  wire::Value next;
  for (const Rank& rank : ranks) {
    if (rank.place == 0) continue;
    ++jobs;
    tasks += rank.waiting;
    const std::string class_name = rank.of ? table.at(*rank.of).name : std::string();
    if (rank.place < ask.from || !next.is_null()) continue;
    if (!ask.class_name.empty() && ask.class_name != class_name) continue;
    if (!ask.team.empty() && ask.team != rank.team) continue;
    const wire::Value line = wire::Value::Map{{"place", static_cast<std::uint64_t>(rank.place)},
                                              {"job", rank.job.text()},
                                              {"team", rank.team},
                                              {"class", rank.of ? wire::Value(class_name) : wire::Value()},
                                              {"borrowed", rank.borrowed},
                                              {"standing", std::uint64_t{rank.standing}},
                                              {"waited_s", static_cast<std::uint64_t>(rank.waited_s)},
                                              {"tasks", rank.waiting},
                                              {"kept_back", rank.capped},
                                              {"reason", reason(rank, table)}};
    bytes += wire::json_length(line) + 1;
    if (lines.size() == constants::kQueuePage || bytes + constants::kQueueFrameBytes > constants::kMaxBodyBytes) {
      next = static_cast<std::uint64_t>(rank.place);
      continue;
    }
    lines.push_back(line);
  }
  return wire::Value::Map{{"catalog", basis.version.number()},
                          {"catalog_revision", basis.catalog_revision.number()},
                          {"revision", basis.revision.number()},
                          {"step", basis.step.number()},
                          {"digest", fmt::format("{:016x}", digest_of(ranks, table))},
                          {"jobs", jobs},
                          {"tasks", tasks},
                          {"lines", std::move(lines)},
                          {"next", next}};
}

}  // namespace foxshunt::classes
