#pragma once

#include "base/result.h"
#include "standins/standin.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace Basilbend
{

class HttpClient;

/// Names of the stand-ins that serve HTTP, as the command line takes them.
std::vector<std::string> standInNames();

/// Makes a stand-in from its settings, a JSON object whose fields are the settings' names. The client must outlive it.
/// Fails with SettingsInvalid when the name or a field is unknown or a value has the wrong type.
Result<std::unique_ptr<StandIn>> makeStandIn(const std::string &name, const nlohmann::json &settings, HttpClient &client);

}
