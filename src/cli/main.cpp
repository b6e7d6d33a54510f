#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>

#include "cli/calendar.h"
#include "cli/catalog.h"
#include "cli/client.h"
#include "cli/pools.h"
#include "cli/queue.h"
#include "cli/standby.h"
#include "cli/try.h"
#include "config/constants.h"
#include "config/settings.h"
#include "net/http.h"
#include "node/catalog_settings.h"
#include "node/node.h"

namespace {

using namespace foxshunt;

constexpr int kUsageError = 2;

void set_up_log() {
  auto logger = spdlog::stderr_logger_mt("foxshunt");
  logger->set_pattern("%L %v");
  spdlog::set_default_logger(std::move(logger));
  const char* level = std::getenv("LOG_LEVEL");
  spdlog::set_level(level == nullptr ? spdlog::level::info : spdlog::level::from_str(level));
}

config::Settings load(const std::string& config_path, const std::string& operator_path) {
  config::Settings settings = config::load_settings(config_path);
  if (!operator_path.empty()) config::load_operator_settings(operator_path, settings);
  return settings;
}

int serve(const std::string& config_path, const std::string& operator_path) {
  const config::Settings settings = load(config_path, operator_path);
  net::tune_process_for_threads();
  // Taken by sigwait below; threads inherit the mask.
  sigset_t ends;
  sigemptyset(&ends);
  sigaddset(&ends, SIGINT);
  sigaddset(&ends, SIGTERM);
  pthread_sigmask(SIG_BLOCK, &ends, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  const node::Node node(settings);
  int signal = 0;
  sigwait(&ends, &signal);
  spdlog::info("stopping on signal {}", signal);
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("foxshunt, a cluster scheduler");
  app.require_subcommand(1);
  std::string config_path;
  std::string operator_path;
  CLI::App* serve_command = app.add_subcommand("serve", "run a controller until it is told to stop");
  serve_command->add_option("--config", config_path, "deploy file (JSON)")->required();
  serve_command->add_option("--settings", operator_path, "operators' own settings (XML)");
  CLI::App* check_command = app.add_subcommand("check-config", "say whether the files can be used");
  check_command->add_option("--config", config_path, "deploy file (JSON)")->required();
  check_command->add_option("--settings", operator_path, "operators' own settings (XML)");
  std::string to = "127.0.0.1:8080";
  std::string job;
  std::string path;
  bool wait = false;
  bool show_plan = false;
  CLI::App* submit_command = app.add_subcommand("submit", "submit the job of a JSON file");
  submit_command->add_option("--to", to, "address of a controller or load balancer")->capture_default_str();
  submit_command->add_option("file", path, "the job, with the fields of POST /api/jobs")->required();
  CLI::App* status_command = app.add_subcommand("status", "show a job's state");
  status_command->add_option("--to", to, "address of a controller or load balancer")->capture_default_str();
  status_command->add_option("job", job, "the job's id")->required();
  CLI::Option* wait_option = status_command->add_flag("--wait", wait, "ask until the job is done or withdrawn");
  status_command->add_flag("--plan", show_plan, "say why its tasks wait; to be asked of the leader")
      ->excludes(wait_option);
  CLI::App* counters_command = app.add_subcommand("counters", "show what a controller counts");
  counters_command->add_option("--to", to, "address of the controller")->capture_default_str();
  bool as_exposition = false;
  counters_command->add_flag("--text", as_exposition, "print Prometheus' text exposition");
  bool as_json = false;
  CLI::App* zones_command = app.add_subcommand("zones", "show what the leader sees of each zone");
  zones_command->add_option("--to", to, "address of a controller; the leader knows most")->capture_default_str();
  zones_command->add_flag("--json", as_json, "print JSON");
  bool as_csv = false;
  CLI::App* pools_command = app.add_subcommand("pools", "show the warm pools");
  pools_command->add_option("--to", to, "address of a controller")->capture_default_str();
  pools_command->add_flag("--json", as_json, "print JSON");
  CLI::App* accounts_command = app.add_subcommand("accounts", "show what pools cost, whom, and what they saved");
  accounts_command->add_option("--to", to, "address of a controller")->capture_default_str();
  CLI::Option* accounts_json = accounts_command->add_flag("--json", as_json, "print JSON");
  accounts_command->add_flag("--csv", as_csv, "print comma-separated values")->excludes(accounts_json);
  CLI::App* standby_command = app.add_subcommand("standby", "show what a controller knows of the leader's plans");
  standby_command->add_option("--to", to, "address of a controller")->capture_default_str();
  standby_command->add_flag("--json", as_json, "print JSON");
  cli::QueueOptions queue_options;
  CLI::App* queue_command = app.add_subcommand("queue", "show the order of waiting jobs and why; any controller knows");
  queue_command->add_option("--to", to, "address of a controller")->capture_default_str();
  queue_command->add_option("--class", queue_options.class_name, "of one class; left out: all");
  queue_command->add_option("--team", queue_options.team, "of one team; left out: all");
  queue_command->add_option("--from", queue_options.from, "the first place shown")->check(CLI::PositiveNumber);
  queue_command->add_flag("--json", queue_options.as_json, "print JSON");
  cli::CalendarCommand calendar_command(app);
  CLI::App* cancel_command = app.add_subcommand("cancel", "withdraw a job");
  cancel_command->add_option("--to", to, "address of a controller or load balancer")->capture_default_str();
  cancel_command->add_option("job", job, "the job's id")->required();
  cli::ApplyOptions apply_options;
  CLI::App* apply_command = app.add_subcommand("apply", "put the catalog of an XML file in force");
  apply_command->add_option("--to", to, "address of a controller or load balancer")->capture_default_str();
  CLI::Option* apply_file = apply_command->add_option("file", apply_options.file, "the catalog (XML)");
  apply_command->add_flag("--dry-run", apply_options.dry_run, "judge it and print the difference, no more");
  apply_command->add_option("--back", apply_options.back, "not a file: the Nth set before")
      ->check(CLI::Range(std::size_t{1}, constants::kMaxCatalogKept - 1))
      ->excludes(apply_file);
  apply_command->add_option("--author", apply_options.author, "who declares it; left out: the user's name");
  std::string kind;
  std::string item;
  CLI::App* get_command = app.add_subcommand("get", "show what the catalog declares");
  get_command->add_option("--to", to, "address of a controller or load balancer")->capture_default_str();
  get_command->add_flag("--json", as_json, "print JSON");
  get_command->add_option("kind", kind, "class, calendar or pool")->required();
  get_command->add_option("name", item, "of one item; left out: the names of all");
  CLI::App* export_command = app.add_subcommand("export", "print the catalog in force as apply takes it");
  export_command->add_option("--to", to, "address of a controller or load balancer")->capture_default_str();
  export_command->add_flag("--json", as_json, "print JSON");
  CLI::App* history_command = app.add_subcommand("history", "show the catalogs that are kept, newest first");
  history_command->add_option("--to", to, "address of a controller or load balancer")->capture_default_str();
  history_command->add_flag("--json", as_json, "print JSON");
  bool keep = false;
  CLI::App* try_command =
      app.add_subcommand("try", "a first look: three controllers, jobs and a kill, here on loopback");
  try_command->add_flag("--keep", keep, "leave the cluster up until Ctrl-C");
  CLI::App* version_command = app.add_subcommand("version", "print the version");
  try {
    app.parse(argc, argv);
  } catch (const CLI::CallForHelp& help) {
    return app.exit(help);
  } catch (const CLI::ParseError& error) {
    app.exit(error);
    return kUsageError;
  }
  try {
    set_up_log();
    if (version_command->parsed()) {
      std::cout << "foxshunt " << FOXSHUNT_VERSION << "\n";
      return 0;
    }
    if (check_command->parsed()) {
      const config::Settings settings = load(config_path, operator_path);
      if (!settings.operators.bootstrap_catalog.empty() && !settings.operators.shared_records) {
        throw config::BadSettings(operator_path + ": <founding-catalog> needs <shared-records>true</shared-records>");
      }
      if (const auto bootstrap = node::bootstrap_catalog_of(settings)) {
        const std::vector<std::string> faults = catalog::faults_of(*bootstrap);
        for (const std::string& fault : faults) std::cerr << "foxshunt: " << fault << "\n";
        if (!faults.empty()) return kUsageError;
      }
      std::cout << "ok\n";
      return 0;
    }
    if (try_command->parsed()) return static_cast<int>(cli::try_out(keep));
    if (submit_command->parsed()) return static_cast<int>(cli::submit(to, path));
    if (zones_command->parsed()) return static_cast<int>(cli::zones(to, as_json));
    if (pools_command->parsed()) return static_cast<int>(cli::pools(to, as_json));
    if (standby_command->parsed()) return static_cast<int>(cli::standby(to, as_json));
    if (accounts_command->parsed()) return static_cast<int>(cli::accounts(to, as_json, as_csv));
    if (queue_command->parsed()) {
      queue_options.to = to;
      return static_cast<int>(cli::queue(queue_options));
    }
    if (calendar_command.parsed()) return static_cast<int>(calendar_command.run());
    if (counters_command->parsed()) return static_cast<int>(cli::counters(to, as_exposition));
    if (status_command->parsed() && show_plan) return static_cast<int>(cli::plan(to, job));
    if (status_command->parsed()) return static_cast<int>(cli::status(to, job, wait));
    if (cancel_command->parsed()) return static_cast<int>(cli::cancel(to, job));
    if (apply_command->parsed()) {
      if (apply_options.file.empty() == !apply_options.back) {
        std::cerr << "foxshunt: apply needs a file, or --back\n";
        return kUsageError;
      }
      apply_options.to = to;
      return static_cast<int>(cli::apply(apply_options));
    }
    if (get_command->parsed()) return static_cast<int>(cli::get(to, kind, item, as_json));
    if (export_command->parsed()) return static_cast<int>(cli::export_set(to, as_json));
    if (history_command->parsed()) return static_cast<int>(cli::history(to, as_json));
    if (serve_command->parsed()) return serve(config_path, operator_path);
  } catch (const config::BadSettings& error) {
    std::cerr << "foxshunt: " << error.what() << "\n";
    return kUsageError;
  } catch (const std::invalid_argument& error) {
    std::cerr << "foxshunt: " << error.what() << "\n";
    return kUsageError;
  } catch (const std::exception& error) {
    std::cerr << "foxshunt: " << error.what() << "\n";
    return 1;
  }
  return kUsageError;
}
