// The events of a scenario: what users do, and the troubles.
#include <algorithm>
#include <stdexcept>

#include "scenarios/scenario.h"

namespace foxshunt::standins {

namespace {

template <typename Names>
std::size_t index_of(const Names& names, const std::string& name, const char* what) {
  const auto found = std::ranges::find_if(names, [&](const char* one) { return name == one; });
  if (found == names.end()) throw std::runtime_error(std::string("no such ") + what + ": " + name);
  return static_cast<std::size_t>(found - names.begin());
}

}  // namespace

void Scenario::read_event(double when_s, const Words& words, int line) {
  const std::string& verb = words.at(0);
  if (verb == "submit") {
    return schedule(when_s, [this, submission = read_job(words)] { world().submit(submission); });
  }
  if (verb == "expect") {
    ++expectations_;
    return schedule(when_s, [this, words, line] { expect(words, line); });
  }
  Arguments arguments(words, 1);
  const bool known = read_user_event(when_s, verb, arguments) || read_controller_event(when_s, verb, arguments) ||
                     read_network_event(when_s, verb, arguments) || read_machine_event(when_s, verb, arguments) ||
                     read_message_event(when_s, verb, arguments);
  if (!known) throw std::runtime_error("unknown event " + verb);
  arguments.finish();
}

Scenario::Node Scenario::read_node(Arguments& arguments) {
  const std::string name = arguments.text("node");
  if (name == "leader") return [this] { return world().leader().value_or(0); };
  const std::size_t number = count_from(name, "node");
  if (number >= nodes_) throw std::runtime_error("no such node: " + name);
  return [number] { return number; };
}

Scenario::Machines Scenario::read_machines(Arguments& arguments) {
  const std::string name = arguments.text("machine");
  if (name == "share") {
    return [this, share = arguments.number("share")] { return world().some_machines(share); };
  }
  if (name == "zone") {
    return [this, zone = arguments.text("zone")] { return world().machines_in(zone); };
  }
  return [id = MachineId(name)] { return std::vector{id}; };
}

bool Scenario::read_user_event(double when_s, const std::string& verb, Arguments& arguments) {
  if (verb == "cancel") {
    schedule(when_s, [this, id = JobId(arguments.text("job"))] { world().cancel(id); });
  } else if (verb == "cancel_now") {
    const std::size_t count = arguments.count("jobs");
    const double hang_s = arguments.flag("hang") ? arguments.number("hang") : 0;
    schedule(when_s, [this, count, hang_s] { world().cancel_now(count, hang_s); });
  } else if (verb == "cancel_at_end") {
    const double share = arguments.number("share");
    schedule(when_s, [this, share, for_s = arguments.number("seconds")] { world().cancel_at_end(share, for_s); });
  } else if (verb == "odd_requests") {
    schedule(when_s, [this, for_s = arguments.number("seconds")] { world().odd_requests(for_s); });
  } else if (verb == "close_looks") {
    schedule(when_s, [this, for_s = arguments.number("seconds")] { world().close_looks(for_s); });
  } else {
    return false;
  }
  return true;
}

// crash N/leader/all SECONDS [times K every S]
void Scenario::read_crashes(double when_s, Arguments& arguments) {
  const bool all = arguments.flag("all");
  const Node node = all ? Node{} : read_node(arguments);
  const double for_s = arguments.number("seconds");
  std::size_t times = 1;
  double every_s = 0;
  if (arguments.flag("times")) {
    times = arguments.count("times");
    (void)arguments.choice("word", {"every"});
    every_s = arguments.number("every");
  }
  for (std::size_t time = 0; time < times; ++time) {
    schedule(when_s + every_s * static_cast<double>(time), [this, all, node, for_s] {
      if (!all) return world().crash(node(), for_s);
      for (std::size_t each = 0; each < nodes_; ++each) world().crash(each, for_s);
    });
  }
}

bool Scenario::read_controller_event(double when_s, const std::string& verb, Arguments& arguments) {
  if (verb == "crash") {
    read_crashes(when_s, arguments);
  } else if (verb == "crash_during") {
    const auto moment = static_cast<Moment>(index_of(kMomentNames, arguments.text("moment"), "moment"));
    const double for_s = arguments.number("seconds");
    schedule(when_s, [this, moment, for_s] { world().crash_during(moment, for_s); });
  } else if (verb == "late") {
    const std::string name = arguments.text("duty");
    std::vector<std::size_t> duties;
    if (name == "all") {
      for (std::size_t duty = 0; duty < kDutyNames.size(); ++duty) duties.push_back(duty);
    } else {
      duties.push_back(index_of(kDutyNames, name, "duty"));
    }
    const Node node = read_node(arguments);
    const double for_s = arguments.number("seconds");
    schedule(when_s, [this, duties, node, for_s] {
      for (const std::size_t duty : duties) world().delay_duty(node(), static_cast<Duty>(duty), for_s);
    });
  } else if (verb == "windows") {
    const bool open = arguments.choice("state of windows", {"open", "closed"}) == "open";
    schedule(when_s, [this, open] { world().open_windows(open); });
  } else {
    return false;
  }
  return true;
}

bool Scenario::read_network_event(double when_s, const std::string& verb, Arguments& arguments) {
  if (verb == "outage") {
    const bool state = arguments.choice("service", {"state", "cloud"}) == "state";
    const double for_s = arguments.number("seconds");
    schedule(when_s, [this, state, for_s] { state ? world().state_outage(for_s) : world().cloud_outage(for_s); });
  } else if (verb == "refuse_state") {
    const Node node = read_node(arguments);
    schedule(when_s, [this, node, for_s = arguments.number("seconds")] { world().refuse_state(node(), for_s); });
  } else if (verb == "cut_state") {
    const Node node = read_node(arguments);
    const double for_s = arguments.number("seconds");
    const bool hold = arguments.flag("hold");
    const bool peers = arguments.flag("peers");
    schedule(when_s, [this, node, for_s, hold, peers] {
      const std::size_t one = node();
      world().cut_node_from_state(one, for_s, hold);
      if (peers) world().cut_node_from_siblings(one, for_s);
    });
  } else if (verb == "cut_workers") {
    const Node node = read_node(arguments);
    schedule(when_s,
             [this, node, for_s = arguments.number("seconds")] { world().cut_node_from_workers(node(), for_s); });
  } else if (verb == "cut_siblings") {
    schedule(when_s, [this, for_s = arguments.number("seconds")] { world().cut_siblings(for_s); });
  } else if (verb == "cut_zone") {
    const std::string zone = arguments.text("zone");
    const double for_s = arguments.number("seconds");
    schedule(when_s, [this, zone, for_s, hold = arguments.flag("hold")] { world().cut_zone(zone, for_s, hold); });
  } else if (verb == "lose_zone") {
    const std::string zone = arguments.text("zone");
    schedule(when_s, [this, zone, for_s = arguments.number("seconds")] { world().lose_zone(zone, for_s); });
  } else if (verb == "slow_state") {
    schedule(when_s, [this, for_s = arguments.number("seconds")] { world().slow_state(for_s); });
  } else if (verb == "slow_links") {
    schedule(when_s, [this, for_s = arguments.number("seconds")] { world().slow_links(for_s); });
  } else {
    return false;
  }
  return true;
}

bool Scenario::read_machine_event(double when_s, const std::string& verb, Arguments& arguments) {
  const auto each = [&](void (World::*trouble)(const MachineId&, double)) {
    const Machines machines = read_machines(arguments);
    const double for_s = arguments.number("seconds");
    schedule(when_s, [this, machines, for_s, trouble] {
      for (const MachineId& id : machines()) (world().*trouble)(id, for_s);
    });
  };
  if (verb == "cut") {
    const MachineId id(arguments.text("machine"));
    const double for_s = arguments.number("seconds");
    schedule(when_s, [this, id, for_s, hold = arguments.flag("hold")] { world().cut_worker(id, for_s, hold); });
  } else if (verb == "die") {
    schedule(when_s, [this, id = MachineId(arguments.text("machine"))] { world().die(id); });
  } else if (verb == "faulty") {
    schedule(when_s, [this, id = MachineId(arguments.text("machine"))] { world().make_faulty(id); });
  } else if (verb == "hang") {
    each(&World::hang);
  } else if (verb == "notice") {
    each(&World::notice);
  } else if (verb == "deaf") {
    each(&World::make_deaf);
  } else if (verb == "mute") {
    each(&World::make_mute);
  } else if (verb == "hold_commands") {
    each(&World::hold_commands);
  } else if (verb == "quick_boots") {
    schedule(when_s, [this, for_s = arguments.number("seconds")] { world().quick_boots(for_s); });
  } else if (verb == "withdraw_type") {
    schedule(when_s, [this, type = arguments.text("type")] { world().withdraw_type(type); });
  } else {
    return false;
  }
  return true;
}

// What becomes of messages under way: transactions, reports, direct commands.
bool Scenario::read_message_event(double when_s, const std::string& verb, Arguments& arguments) {
  if (verb == "late_copies") {
    const bool on = arguments.choice("switch", {"on", "off"}) == "on";
    schedule(when_s, [this, on] { world().late_copies(on); });
    return true;
  }
  if (verb != "late_writes" && verb != "late_reports" && verb != "late_commands") return false;
  const double share = arguments.number("share");
  const double for_s = arguments.number("seconds");
  if (verb == "late_writes") {
    const bool at_once = arguments.flag("at_once");
    schedule(when_s, [this, share, for_s, at_once] { world().late_writes(share, for_s, at_once); });
  } else if (verb == "late_reports") {
    const bool for_next = arguments.flag("for_next");
    schedule(when_s, [this, share, for_s, for_next] { world().late_reports(share, for_s, for_next); });
  } else {
    schedule(when_s, [this, share, for_s] { world().late_commands(share, for_s); });
  }
  return true;
}

}  // namespace foxshunt::standins
