// The command line: help, what each command asks of a controller and prints for a given answer, and exit codes.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <map>
#include <mutex>
#include <sstream>

#include "cluster/local_cluster.h"
#include "golden/golden_file.h"
#include "net/http.h"

namespace foxshunt::golden {
namespace {

void replace_all(std::string& text, const std::string& what, const std::string& by) {
  for (std::size_t at = text.find(what); at != std::string::npos; at = text.find(what, at + by.size())) {
    text.replace(at, what.size(), by);
  }
}

// A controller whose answers are committed: a line `STATUS METHOD PATH JSON` each in commands_answers.txt.
class CannedController {
 public:
  CannedController() {
    std::ifstream file(path_of("commands_answers.txt"));
    int status = 0;
    std::string method;
    std::string path;
    std::string json;
    while (file >> status >> method >> path && std::getline(file, json)) {
      answers_[method + " " + path] = {.status = status, .body = wire::encode(from_json(json)), .retry_after_s = {}};
    }
  }

  [[nodiscard]] net::Address address() const { return server_.address(); }
  // The requests since the last call, a line each.
  std::string take_requests() {
    const std::lock_guard lock(mutex_);
    return std::exchange(requests_, {});
  }

 private:
  net::HttpResponse handle(const net::HttpRequest& request) {
    const std::lock_guard lock(mutex_);
    const std::string what = request.method + " " + request.path;
    requests_ += "> " + what;
    for (const auto& [key, value] : request.query) requests_ += " " + key + "=" + value;
    if (!request.body.empty()) requests_ += " " + to_json(wire::decode(request.body));
    requests_ += "\n";
    const auto found = answers_.find(what);
    return found == answers_.end() ? net::HttpResponse{.status = 404, .body = {}, .retry_after_s = {}} : found->second;
  }

  std::map<std::string, net::HttpResponse> answers_;
  std::mutex mutex_;
  std::string requests_;
  net::HttpServer server_{net::Address{"127.0.0.1", 0}, net::ServerLimits{.connections = 4},
                          [this](const net::HttpRequest& request) { return handle(request); }};
};

class GoldenCommands : public ::testing::Test {
 protected:
  GoldenCommands() {
    std::string pattern = (std::filesystem::temp_directory_path() / "foxshunt-golden-XXXXXX").string();
    folder_ = ::mkdtemp(pattern.data());
  }
  ~GoldenCommands() override { std::filesystem::remove_all(folder_); }

  void write(const std::string& file, const std::string& text) const { std::ofstream(folder_ / file) << text; }

  // The command, its exit code, the requests it made and what it printed. FOLDER and CONTROLLER stand for their names.
  void run(const std::string& arguments) { told_ += transcript(arguments, true); }
  // For bad input only the exit code is golden: messages may become clearer.
  void run_for_code(const std::string& arguments) { told_ += transcript(arguments, false); }
  void expect_golden(const std::string& file) const { expect_same(file, told_); }

 private:
  std::string transcript(const std::string& arguments, bool with_output) {
    std::string real = arguments;
    replace_all(real, "FOLDER", folder_.string());
    replace_all(real, "CONTROLLER", controller_.address().text());
    const cluster::Ran ran = cluster::run(real);
    std::string text = "$ foxshunt " + arguments + "\nexit " + std::to_string(ran.code) + "\n";
    if (with_output) text += controller_.take_requests() + ran.out;
    replace_all(text, folder_.string(), "FOLDER");
    replace_all(text, controller_.address().text(), "CONTROLLER");
    replace_all(text, cluster::program(), "foxshunt");
    return text;
  }

  std::filesystem::path folder_;
  CannedController controller_;
  std::string told_;
};

TEST_F(GoldenCommands, Help) {
  run("--help");
  for (const char* command : {"serve",
                              "check-config",
                              "submit",
                              "status",
                              "counters",
                              "zones",
                              "pools",
                              "accounts",
                              "standby",
                              "queue",
                              "calendar",
                              "calendar waive",
                              "calendar acknowledge",
                              "cancel",
                              "apply",
                              "get",
                              "export",
                              "history",
                              "try",
                              "version"}) {
    run(std::string(command) + " --help");
  }
  run("version");
  expect_golden("commands_help.txt");
}

constexpr const char* kJobFile =
    R"({"id":"j-000412","breed":"work","pack":"red","gait":"array","rank":"standard","cubs":5,"cpus":2,"cards":0,)"
    R"("ramGb":1.0,"pelt":"img","pullGb":0.1,"burrows":null,"covert":null,"samePlace":false,"spread":false,)"
    R"("strays":false,"runS":1,"cacheS":0,"buryS":0,"duskS":null})";

constexpr const char* kDeployFile =
    R"({"host_name":"node-0","zone":"a","bind":"127.0.0.1:1","peer_listen":"127.0.0.1:2",)"
    R"("siblings":[{"host_name":"node-1","zone":"b","endpoint":"127.0.0.1:3"}],)"
    R"("outside":{"cloud":"127.0.0.1:4","state":"127.0.0.1:5"},"params":{"nodes":2,"zones":["a","b"],)"
    R"("teams":[{"name":"red","cpus":8.0,"cpus_max":16.0,"gpus":0.0,"gpus_max":0.0}],)"
    R"("objectives":[{"kind":"start","class":"work","within_s":30.0,"share":0.9}],)"
    R"("workers":{"report_s":0.5,"lease_s":5.0,"gang_wait_s":10.0,"gang_peer_s":2.0,"cancel_s":20.0},)"
    R"("state":{"rps":400.0,"write_rps":100.0,"value_kb":8.0,"txn_ops":24},"cloud":{"rps":20.0,"list_lag_s":0.0},)"
    R"("limits":{"cpu":1.0,"ram_mb":42.0,"max_connections":700},"skew_ms":5.0}})";

// Every setting there is.
constexpr const char* kOperatorSettings =
    "<foxshunt><idle-return-s>60</idle-return-s><may-rent>true</may-rent><may-return>false</may-return>"
    "<preemption>true</preemption><zone-grants>true</zone-grants><zone-watch>true</zone-watch>"
    "<zone-evacuation>true</zone-evacuation><shared-records>true</shared-records><standby>true</standby>"
    "<founding-catalog>set.xml</founding-catalog><zone-out-of-service>b</zone-out-of-service></foxshunt>";

TEST_F(GoldenCommands, Output) {
  write("job.json", kJobFile);
  write("set.xml", "<catalog>\n<class name=\"a\" order=\"1\" standing=\"1\"><takes/></class>\n</catalog>\n");
  write("deploy.json", kDeployFile);
  write("settings.xml", kOperatorSettings);
  run("submit --to CONTROLLER FOLDER/job.json");
  for (const char* job :
       {"j-000412", "j-000413", "j-000400", "j-000404", "j-000409", "j-000422", "j-000500", "j-000600", "j-999999"}) {
    run(std::string("status --to CONTROLLER ") + job);
  }
  run("status --wait --to CONTROLLER j-000412");
  run("status --plan --to CONTROLLER j-000413");
  run("status --plan --to CONTROLLER j-000421");
  run("cancel --to CONTROLLER j-000413");
  run("cancel --to CONTROLLER j-999999");
  run("counters --to CONTROLLER");
  run("counters --text --to CONTROLLER");
  for (const char* command : {"zones", "pools", "accounts", "standby", "queue", "calendar --days 2", "export",
                              "history", "get class", "get calendar", "get pool"}) {
    run(std::string(command) + " --to CONTROLLER");
    run(std::string(command) + " --json --to CONTROLLER");
  }
  run("accounts --csv --to CONTROLLER");
  run("queue --class 'night render' --team 'a&b' --from 2 --to CONTROLLER");
  run("calendar waive --to CONTROLLER 'dawn forecast' 2026-12-03T03:30:00Z --by ada --why 'not needed'");
  run("calendar acknowledge --to CONTROLLER 'dawn forecast' 2026-12-03T03:30:00Z --by ada");
  run("get class 'night render' --to CONTROLLER");
  run("get class 'night render' --json --to CONTROLLER");
  run("get pool nobody --to CONTROLLER");
  run("apply --dry-run --author ada --to CONTROLLER FOLDER/set.xml");
  run("check-config --config FOLDER/deploy.json");
  run("check-config --config FOLDER/deploy.json --settings FOLDER/settings.xml");
  expect_golden("commands_output.txt");
}

TEST_F(GoldenCommands, ExitCodesOfBadInput) {
  write("bad.json", "{");
  write("field.json", R"({"id":"j-000412"})");
  write("bad.xml", "<catalog><class name=\"a\" order=\"1\"/></catalog>");
  write("no.xml", "<catalog>");
  write("deploy.json", R"({"host_name":"node-0"})");
  for (const char* arguments : {"",
                                "nonsense",
                                "--nonsense",
                                "serve",
                                "serve --config /nowhere.json",
                                "serve --config FOLDER/deploy.json",
                                "check-config",
                                "check-config --config /nowhere.json",
                                "check-config --config FOLDER/bad.json",
                                "check-config --config FOLDER/deploy.json",
                                "check-config --config FOLDER/deploy.json --settings /nowhere.xml",
                                "submit",
                                "submit --to CONTROLLER",
                                "submit --to CONTROLLER /nowhere.json",
                                "submit --to CONTROLLER FOLDER/bad.json",
                                "submit --to CONTROLLER FOLDER/field.json",
                                "status",
                                "status --to nonsense j-000412",
                                "status --to CONTROLLER:1 j-000412",
                                "status --wait --plan j-000412",
                                "status j-000412 more",
                                "counters --to localhost:1",
                                "counters more",
                                "counters --json",
                                "zones --to nonsense",
                                "pools --csv",
                                "accounts --json --csv",
                                "standby --to 1.2.3.4",
                                "queue --from 0",
                                "queue --from x",
                                "calendar --days 0",
                                "calendar --days 1000000",
                                "calendar nonsense",
                                "calendar waive",
                                "calendar waive entry",
                                "calendar waive entry when",
                                "calendar acknowledge entry when",
                                "cancel",
                                "cancel --to nonsense j-000412",
                                "apply",
                                "apply --to CONTROLLER /nowhere.xml",
                                "apply --to CONTROLLER FOLDER/bad.xml",
                                "apply --to CONTROLLER FOLDER/no.xml",
                                "apply --back 0",
                                "apply --back 1000",
                                "apply --back 1 FOLDER/bad.xml",
                                "apply --author 'a  b' --to CONTROLLER FOLDER/bad.xml",
                                "get",
                                "get harbour",
                                "export more",
                                "history more",
                                "try more",
                                "version more"}) {
    run_for_code(arguments);
  }
  expect_golden("commands_bad_input.txt");
}

}  // namespace
}  // namespace foxshunt::golden
