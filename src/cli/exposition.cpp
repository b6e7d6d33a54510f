#include "cli/exposition.h"

#include <prometheus/text_serializer.h>

#include <set>
#include <string_view>

namespace foxshunt::cli {
namespace {

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;

// Those that only grow until the node is started again; any other may fall.
bool only_grows(const std::string& name) {
  static const std::set<std::string_view> kNames{
      "connections_refused",   "processor_s",     "reports", "reports_bad",   "reports_granted",
      "reports_refused",       "reports_relayed", "passes",  "passes_jobs",   "passes_portions",
      "tasks_started",         "users_requests",  "writes",  "writes_failed", "users_requests_bad",
      "users_requests_refused"};
  return kNames.contains(name);
}

}  // namespace

std::string exposition(const wire::Value& counters) {
  const wire::Value::Map* entries = counters.as_map();
  if (entries == nullptr) throw wire::Malformed("must be a map");
  const std::string& node = counters.text("node");
  std::vector<MetricFamily> families;
  for (const auto& [name, value] : *entries) {
    if (name == "node") continue;
    MetricFamily family{.name = "foxshunt_" + name, .help = {}, .type = MetricType::Gauge, .metric = {}};
    ClientMetric metric;
    metric.label.push_back({.name = "node", .value = node});
    double figure = 0;
    if (const auto* count = value.as_count()) {
      figure = static_cast<double>(*count);
    } else if (const auto* real = value.as_real()) {
      figure = *real;
    } else if (const auto* flag = value.as_bool()) {
      figure = *flag ? 1 : 0;
    } else if (const auto* text = value.as_text()) {
      metric.label.push_back({.name = "is", .value = *text});
      figure = 1;
    } else {
      continue;  // nothing that the format could hold
    }
    if (only_grows(name)) {
      family.type = MetricType::Counter;
      metric.counter.value = figure;
    } else {
      metric.gauge.value = figure;
    }
    family.metric.push_back(std::move(metric));
    families.push_back(std::move(family));
  }
  return prometheus::TextSerializer().Serialize(families);
}

}  // namespace foxshunt::cli
