#pragma once

#include "base/result.h"
#include "config/configuration.h"

#include <nlohmann/json_fwd.hpp>
#include <string_view>

namespace Basilbend
{

nlohmann::json toJson(const Plan &plan);
nlohmann::json toJson(const Access &access);
nlohmann::json toJson(const Workspace &workspace);
nlohmann::json toJson(const Route &route);
nlohmann::json toJson(const KeyRecord &key);
nlohmann::json toJson(const Configuration &configuration);

/// These functions reject unknown fields, wrong types and values out of range. JsonReader documents the result codes.
Result<Plan> planFromJson(const nlohmann::json &json);
Result<Access> accessFromJson(const nlohmann::json &json);
Result<Workspace> workspaceFromJson(const nlohmann::json &json);
Result<Route> routeFromJson(const nlohmann::json &json);
Result<KeyRecord> keyRecordFromJson(const nlohmann::json &json);
Result<Configuration> configurationFromJson(const nlohmann::json &json);

/// Returns "plans", "access", "workspaces", "routes" or "keys".
std::string_view listName(ConfigurationList list);

}
