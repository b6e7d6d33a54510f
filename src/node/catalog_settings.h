// What the settings say about the catalog.
#pragma once

#include <optional>

#include "catalog/founder.h"
#include "catalog/xml.h"
#include "config/settings.h"

namespace foxshunt::node {

// What a catalog is judged by in this deployment; its machine types come from the cloud.
[[nodiscard]] catalog::Known catalog_constraints_of(const config::Settings& settings);
// Of transactions that write a set.
[[nodiscard]] catalog::WriteLimits catalog_write_limits_of(const config::Settings& settings);
// The founding set's file, read now; nothing: the settings name none, or the records are not followed.
[[nodiscard]] std::optional<catalog::BootstrapCatalog> bootstrap_catalog_of(const config::Settings& settings);

}  // namespace foxshunt::node
