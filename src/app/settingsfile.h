#pragma once

#include "app/platformsettings.h"
#include "entry/entrysettings.h"
#include "sidecar/sidecarsettings.h"

#include <optional>
#include <string>

namespace Basilbend
{

/// Contents of a settings file: the settings of one role, and for an entry those of the platform.
struct SettingsFile {
    std::optional<EntrySettings> entry;
    PlatformSettings platform;
    std::optional<SidecarSettings> sidecar;
};

/// Reads and checks a settings file. Fails with SettingsInvalid and one line for each fault.
Result<SettingsFile> readSettingsFile(const std::string &fileName);

/// Reads a settings file of the given role. Prints the faults and throws CLI::RuntimeError(WrongUsage) when it is invalid or
/// has another role.
SettingsFile requireSettings(const std::string &fileName, const std::string &role);

}
