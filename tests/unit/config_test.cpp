#include <gtest/gtest.h>

#include "config/settings.h"

namespace foxshunt::config {
namespace {

const std::string kDeploy = R"({
  "host_name": "n-0", "zone": "a", "bind": "127.0.0.1:0", "peer_listen": "127.0.0.1:0",
  "siblings": [{"host_name": "n-1", "zone": "b", "endpoint": "127.0.0.1:9"}],
  "outside": {"cloud": "127.0.0.1:1", "state": "127.0.0.1:2"}, "later": 1,
  "params": {"nodes": 2, "zones": ["a", "b"],
    "teams": [{"name": "red", "cpus": 8.0, "cpus_max": 16.0, "gpus": 0.0, "gpus_max": 0.0}],
    "objectives": [{"kind": "wait", "class": "c", "within_s": 8.0, "share": 0.7}, {"kind": "new"}],
    "workers": {"report_s": 1.0, "lease_s": 10.0, "gang_wait_s": 45.0, "gang_peer_s": 4.0, "cancel_s": 40.0},
    "state": {"rps": 250.0, "write_rps": 50.0, "value_kb": 8.0, "txn_ops": 24},
    "cloud": {"rps": 1.5, "list_lag_s": 10.0},
    "limits": {"cpu": 0.08, "ram_mb": 56.0, "max_connections": 700}, "skew_ms": 250.0}})";

std::string error_of(const std::string& from, const std::string& to) {
  std::string text = kDeploy;
  text.replace(text.find(from), from.size(), to);
  try {
    (void)parse_settings(text, "deploy.json");
  } catch (const BadSettings& error) {
    return error.what();
  }
  return "";
}

TEST(DeployFile, IsReadAndUnknownFieldsAreIgnored) {
  const Settings settings = parse_settings(kDeploy, "deploy.json");
  EXPECT_EQ(settings.name, NodeName("n-0"));
  EXPECT_EQ(settings.siblings.at(0).endpoint, "127.0.0.1:9");
  EXPECT_EQ(settings.team("red")->cpus_max, 16);
  EXPECT_EQ(settings.team("blue"), nullptr);
  EXPECT_EQ(settings.objectives.size(), 2U);
}

TEST(DeployFile, WhatIsMissingOrWrongIsNamed) {
  EXPECT_EQ(error_of("\"host_name\": \"n-0\", ", ""), "deploy.json.host_name: is missing");
  EXPECT_EQ(error_of("\"lease_s\": 10.0, ", ""), "deploy.json.params.workers.lease_s: is missing");
  EXPECT_EQ(error_of("\"cancel_s\": 40.0", "\"cancel_s\": 4.0"),
            "deploy.json.params.workers.cancel_s: must be above lease_s");
  EXPECT_NE(error_of("\"rps\": 250.0", "\"rps\": -1").find("params.state.rps"), std::string::npos);
  EXPECT_NE(error_of("\"rps\": 250.0", "\"rps\": \"x\"").find("params.state.rps: must be a number"), std::string::npos);
  EXPECT_NE(error_of("{\"name\": \"red\", ", "{").find("params.teams[0].name"), std::string::npos);
  EXPECT_NE(error_of("\"zone\": \"a\",", "").find("zone"), std::string::npos);
  EXPECT_NE(error_of("\"limits\": {", "\"limited\": {").find("params.limits: is missing"), std::string::npos);
  EXPECT_NE(error_of("\"cpu\": 0.08", "\"cpu\": 0").find("params.limits.cpu: must be at least"), std::string::npos);
  EXPECT_NE(error_of("\"ram_mb\": 56.0", "\"ram_mb\": 8").find("params.limits.ram_mb: must be at least"),
            std::string::npos);
  EXPECT_NE(error_of("\"ram_mb\": 56.0", "\"ram_mb\": -56.0").find("params.limits.ram_mb: must be at least"),
            std::string::npos);
  EXPECT_NE(error_of("\"ram_mb\": 56.0, ", "").find("params.limits.ram_mb: is missing"), std::string::npos);
  EXPECT_NE(error_of("\"max_connections\": 700", "\"max_connections\": 20")
                .find("params.limits.max_connections: must be at least"),
            std::string::npos);
  EXPECT_NE(error_of("\"ram_mb\": 56.0", "\"ram_mb\": 1e999").find("deploy.json"), std::string::npos);
  EXPECT_EQ(error_of("\"ram_mb\": 56.0", "\"ram_mb\": 24"), "");
  EXPECT_NE(error_of("{", "").find("not JSON"), std::string::npos);
}

TEST(OperatorSettings, AreValidated) {
  Settings settings = parse_settings(kDeploy, "deploy.json");
  parse_operator_settings("<foxshunt><idle-return-s>90</idle-return-s><may-rent>false</may-rent></foxshunt>", "o.xml",
                          settings);
  EXPECT_EQ(settings.operators.idle_return_s, 90);
  EXPECT_FALSE(settings.operators.can_scale_out);
  parse_operator_settings(
      "<foxshunt><zone-grants>true</zone-grants><zone-out-of-service>a</zone-out-of-service></foxshunt>", "o.xml",
      settings);
  EXPECT_TRUE(settings.operators.zone_lease_delegation);
  EXPECT_FALSE(settings.operators.zone_watch);
  EXPECT_FALSE(settings.in_service("a"));
  EXPECT_TRUE(settings.in_service("b"));
  // Beside the settings, unless it says where.
  const std::string bootstrap = "<foxshunt><founding-catalog>c.xml</founding-catalog></foxshunt>";
  parse_operator_settings(bootstrap, "/etc/foxshunt/o.xml", settings);
  EXPECT_EQ(settings.operators.bootstrap_catalog, "/etc/foxshunt/c.xml");
  parse_operator_settings(bootstrap, "o.xml", settings);
  EXPECT_EQ(settings.operators.bootstrap_catalog, "c.xml");
  for (const char* shown : {"/operator.example.xml", "/operator.xml"}) {
    EXPECT_NO_THROW(load_operator_settings(std::string(FOXSHUNT_DEPLOY) + shown, settings)) << shown;
  }
  for (const char* bad :
       {"<foxshunt><idle-return-s>soon</idle-return-s></foxshunt>",
        "<foxshunt><idle-return-s>-1</idle-return-s></foxshunt>", "<foxshunt><may-rent>maybe</may-rent></foxshunt>",
        "<foxshunt><colour>red</colour></foxshunt>", "<other/>", "<foxshunt>", "",
        "<foxshunt><may-rent>true</may-rent><may-rent>true</may-rent></foxshunt>",
        "<foxshunt><zone-grants>perhaps</zone-grants></foxshunt>", "<foxshunt><founding-catalog/></foxshunt>",
        "<foxshunt><zone-out-of-service>atlantis</zone-out-of-service></foxshunt>",
        "<foxshunt><zone-out-of-service/></foxshunt>",
        "<foxshunt><zone-out-of-service>a</zone-out-of-service><zone-out-of-service>a</zone-out-of-service></"
        "foxshunt>"}) {
    settings.operators.zones_out.clear();
    EXPECT_THROW(parse_operator_settings(bad, "o.xml", settings), BadSettings) << bad;
  }
}

}  // namespace
}  // namespace foxshunt::config
