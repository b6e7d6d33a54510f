#include <algorithm>
#include <stdexcept>

#include "explorer/model.h"

namespace foxshunt::explorer {

namespace {

constexpr std::array kSortNames{"lead", "write", "user", "report", "answer", "halt", "ask", "grant"};
constexpr std::array kFateNames{"comes late, without answer", "is carried out, its answer lost",
                                "is carried out, its answer slow", "is held"};
constexpr std::array kDutyNames{"looks to the lead", "follows the records", "plans", "writes", "asks for a grant"};

wire::JobSpec job(int number, wire::JobKind kind = wire::JobKind::array, std::uint32_t tasks = 1, double cpus = 2) {
  wire::JobSpec spec;
  spec.id = JobId("j-00000" + std::to_string(number));
  spec.job_class = "c";
  spec.team = "red";
  spec.kind = kind;
  spec.tasks = tasks;
  spec.cpus = cpus;
  spec.ram_gb = 1;
  spec.image = "img";
  spec.estimate_s = 1000;
  return spec;
}

constexpr Action kSubmitted{.kind = Kind::submit};
constexpr Action kSecond{.kind = Kind::pass};

std::vector<Setup> make() {
  const std::set<Kind> troubles{Kind::pass,   Kind::submit, Kind::cancel,  Kind::crash, Kind::freeze,
                                Kind::refuse, Kind::outage, Kind::capture, Kind::arrive};
  std::set<Kind> troubles_and_stalls = troubles;
  troubles_and_stalls.insert(Kind::stall);
  std::vector<Setup> made;
  // One job that runs, at the moment in which troubles begin.
  made.push_back({.name = "one",
                  .machines = {"a"},
                  .jobs = {job(1)},
                  .kinds = troubles_and_stalls,
                  .begins = {kSubmitted, kSecond, kSecond},
                  .captures = {Sort::lead, Sort::write, Sort::user}});
  // The same before anything happened.
  made.push_back({.name = "fresh",
                  .machines = {"a"},
                  .jobs = {job(1)},
                  .kinds = troubles,
                  .begins = {},
                  .captures = {Sort::write, Sort::user}});
  // A worker's messages, two machines that could both run it.
  made.push_back({.name = "two",
                  .machines = {"a", "a"},
                  .jobs = {job(1)},
                  .kinds = {Kind::pass, Kind::crash, Kind::freeze, Kind::cut, Kind::hang, Kind::deaf, Kind::capture,
                            Kind::arrive, Kind::heartbeat, Kind::refuse},
                  .begins = {kSubmitted, kSecond, kSecond},
                  .captures = {Sort::heartbeat, Sort::answer, Sort::halt}});
  // The same before anything happened.
  made.push_back({.name = "start",
                  .machines = {"a", "a"},
                  .jobs = {job(1)},
                  .kinds = {Kind::pass, Kind::submit, Kind::crash, Kind::cut, Kind::hang, Kind::capture, Kind::arrive},
                  .begins = {},
                  .captures = {Sort::write, Sort::heartbeat}});
  // Its end.
  made.push_back({.name = "ends",
                  .machines = {"a"},
                  .jobs = {job(1)},
                  .run_s = 3,
                  .kinds = {Kind::pass, Kind::submit, Kind::cancel, Kind::ask, Kind::crash, Kind::refuse, Kind::capture,
                            Kind::arrive},
                  .begins = {kSubmitted, kSecond, kSecond},
                  .captures = {Sort::write, Sort::heartbeat, Sort::answer, Sort::user}});
  // Two jobs of a team that may run one task at a time.
  made.push_back({.name = "limit",
                  .machines = {"a", "a"},
                  .jobs = {job(1), job(2)},
                  .team_cpus_most = 2,
                  .kinds = {Kind::pass, Kind::submit, Kind::cancel, Kind::crash, Kind::cut, Kind::hang, Kind::freeze,
                            Kind::capture, Kind::arrive},
                  .begins = {kSubmitted, kSecond, kSecond},
                  .captures = {Sort::write, Sort::heartbeat}});
  wire::JobSpec spread = job(1, wire::JobKind::array, 2, kMachineCpus);
  spread.spread = true;
  made.push_back({.name = "spread",
                  .machines = {"a", "a"},
                  .jobs = {spread},
                  .kinds = {Kind::pass, Kind::turn, Kind::heartbeat, Kind::crash, Kind::cut, Kind::hang},
                  .begins = {kSubmitted, kSecond, kSecond},
                  .captures = {}});
  wire::JobSpec near = job(1, wire::JobKind::gang, 2, kMachineCpus);
  near.one_zone = true;
  made.push_back({.name = "gang",
                  .machines = {"a", "a", "b"},
                  .jobs = {near},
                  .run_s = 20,
                  .kinds = {Kind::pass, Kind::cancel, Kind::crash, Kind::cut, Kind::hang, Kind::refuse, Kind::capture,
                            Kind::arrive},
                  .begins = {kSubmitted, kSecond, kSecond},
                  .captures = {Sort::write, Sort::heartbeat, Sort::answer}});
  // Two zones, in the second of which a sibling answers by grant.
  made.push_back({.name = "zones",
                  .machines = {"b", "a"},
                  .jobs = {job(1)},
                  .delegations = true,
                  .kinds = {Kind::pass, Kind::cancel, Kind::crash, Kind::freeze, Kind::refuse, Kind::outage, Kind::part,
                            Kind::cut, Kind::hang, Kind::capture, Kind::arrive},
                  .begins = {kSubmitted, kSecond, kSecond, {.kind = Kind::pass, .a = 1}},
                  .captures = {Sort::ask, Sort::delegation, Sort::heartbeat}});
  // Three controllers.
  made.push_back({.name = "three",
                  .nodes = 3,
                  .machines = {"a", "b"},
                  .jobs = {job(1), job(2)},
                  .team_cpus_most = 2,
                  .kinds = troubles,
                  .begins = {kSubmitted, kSecond, kSecond},
                  .captures = {Sort::lead, Sort::write}});
  return made;
}

}  // namespace

const std::vector<Setup>& setups() {
  static const std::vector<Setup> kAll = make();
  return kAll;
}

const Setup& setup_named(const std::string& name) {
  const auto found = std::ranges::find(setups(), name, &Setup::name);
  if (found == setups().end()) throw std::out_of_range("no such setup: " + name);
  return *found;
}

std::string text(const Action& action) {
  const std::string a = std::to_string(action.a);
  const std::string b = std::to_string(action.b);
  const auto machine = [&] { return "machine m-00000" + std::to_string(action.a + 1); };
  const auto job = [&] { return "j-00000" + std::to_string(action.a + 1); };
  switch (action.kind) {
    case Kind::pass:
      return std::to_string(kSpans.at(action.a).count() / 1000) + " s pass" + (action.b == 1 ? ", reports first" : "");
    case Kind::turn: return "node-" + a + " " + kDutyNames.at(action.b);
    case Kind::heartbeat: return machine() + " reports";
    case Kind::submit: return "a user submits " + job() + " at node-" + b;
    case Kind::cancel: return "its user cancels " + job() + " at node-" + b;
    case Kind::ask: return "its user asks for " + job() + " at node-" + b;
    case Kind::crash: return "node-" + a + " crashes and begins anew";
    case Kind::freeze: return "node-" + a + " stands still, or goes on";
    case Kind::refuse: return "the state service refuses node-" + a + " alone, or serves it again";
    case Kind::stall: return "node-" + a + " gets no time for what " + kDutyNames.at(action.b) + ", or gets it again";
    case Kind::outage: return "an outage of the state service begins, or ends";
    case Kind::part: return "siblings are parted, or no longer";
    case Kind::cut: return machine() + " and node-" + b + " are parted, or no longer";
    case Kind::hang: return machine() + " hangs, or goes on";
    case Kind::deaf: return machine() + " hears nothing, or hears again";
    case Kind::capture:
      return "the next " + std::string(kSortNames.at(action.a)) + " of " +
             (action.a == static_cast<int>(Sort::heartbeat) || action.a == static_cast<int>(Sort::answer) ||
                      action.a == static_cast<int>(Sort::halt)
                  ? "machine m-00000" + std::to_string(action.b + 1)
                  : "node-" + b) +
             " " + kFateNames.at(action.c);
    case Kind::arrive: return "what was captured as number " + a + " arrives";
  }
  return {};
}

}  // namespace foxshunt::explorer
