#include "node/catalog_settings.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <fstream>

#include "calendar/civil.h"
#include "config/constants.h"

namespace foxshunt::node {

catalog::Known catalog_constraints_of(const config::Settings& settings) {
  catalog::Known known;
  known.teams.emplace();
  for (const config::Team& team : settings.teams) known.teams->insert(team.name);
  known.zones.emplace(settings.zones.begin(), settings.zones.end());
  known.time_zone = calendar::zone_exists;
  known.record_bytes_most = static_cast<std::size_t>(settings.state_value_kb * 1024) - constants::kRecordSpareBytes;
  return known;
}

catalog::WriteLimits catalog_write_limits_of(const config::Settings& settings) {
  return {.changes = settings.state_txn_ops,
          .bytes = constants::kMaxTxnBytes,
          .portion = std::min(settings.state_txn_ops, constants::kMaxCatalogPortion)};
}

std::optional<catalog::BootstrapCatalog> bootstrap_catalog_of(const config::Settings& settings) {
  const std::string& path = settings.operators.bootstrap_catalog;
  if (path.empty()) return std::nullopt;
  if (!settings.operators.shared_records) {
    spdlog::warn("bootstrap_catalog_unused file=\"{}\" reason=\"shared-records is off\"", path);
    return std::nullopt;
  }
  catalog::BootstrapCatalog bootstrap{.file = path, .text = {}, .known = catalog_constraints_of(settings)};
  std::ifstream file(path, std::ios::binary);
  if (!file) return bootstrap;
  std::string text(constants::kMaxCatalogXmlBytes + 1, '\0');  // a longer one is refused by its length
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (file.bad()) return bootstrap;
  text.resize(static_cast<std::size_t>(file.gcount()));
  text.shrink_to_fit();
  bootstrap.text = std::move(text);
  return bootstrap;
}

}  // namespace foxshunt::node
