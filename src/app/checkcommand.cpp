#include "app/checkcommand.h"

#include "app/exitcode.h"
#include "app/settingsfile.h"
#include "daemon/daemonsettings.h"

#include <CLI/CLI.hpp>
#include <iostream>
#include <memory>

namespace Basilbend
{

namespace
{

void checkDaemonSettings(const std::string &fileName)
{
    const auto settings = readDaemonSettings(fileName, {});
    if (!settings) {
        std::cerr << settings.error().message << "\n";
        throw CLI::RuntimeError(WrongUsage);
    }
    std::cout << fileName << ": valid settings of a " << settings.value().role << "\n";
}

}

void addCheckCommand(CLI::App &app)
{
    auto *command = app.add_subcommand("check", "Check a settings file");
    const auto fileName = std::make_shared<std::string>();
    command->add_option("file", *fileName, "Settings file of a gateway, a scheduler, an entry or a sidecar")->required();
    command->callback([fileName] {
        if (isDaemonSettingsFile(*fileName)) {
            checkDaemonSettings(*fileName);
            return;
        }
        const auto file = readSettingsFile(*fileName);
        if (!file) {
            std::cerr << file.error().message << "\n";
            throw CLI::RuntimeError(WrongUsage);
        }
        std::cout << *fileName << ": valid settings of " << (file.value().entry ? "an entry" : "a sidecar") << "\n";
    });
}

}
