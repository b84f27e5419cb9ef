#include "app/settingsfile.h"

#include "app/exitcode.h"
#include "base/textfile.h"
#include "config/settingsreader.h"
#include "entry/entrysettingsreader.h"
#include "sidecar/sidecarsettingsreader.h"

#include <CLI/CLI.hpp>
#include <iostream>

namespace Basilbend
{

Result<SettingsFile> readSettingsFile(const std::string &fileName)
{
    const auto text = readTextFile(fileName);
    if (!text) {
        return Error{ResultCode::SettingsInvalid, fileName + ": can't be read"};
    }
    SettingsReader reader(*text, fileName);
    SettingsFile file;
    if (reader.oneOf("role", {"entry", "sidecar"}, "entry") == "sidecar") {
        file.sidecar = readSidecarSettings(reader);
    } else {
        file.entry = readEntrySettings(reader);
        file.platform = readPlatformSettings(reader);
    }
    BOOST_OUTCOME_TRYV(reader.finish());
    return file;
}

SettingsFile requireSettings(const std::string &fileName, const std::string &role)
{
    auto file = readSettingsFile(fileName);
    if (!file) {
        std::cerr << file.error().message << "\n";
        throw CLI::RuntimeError(WrongUsage);
    }
    if ((role == "entry") != file.value().entry.has_value()) {
        std::cerr << fileName << ": role: must be " << role << "\n";
        throw CLI::RuntimeError(WrongUsage);
    }
    return std::move(file.value());
}

}
