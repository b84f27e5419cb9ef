#include "app/daemoncommands.h"

#include "app/exitcode.h"
#include "daemon/daemonruntime.h"
#include "daemon/gatewaydaemon.h"
#include "daemon/schedulerdaemon.h"

#include <CLI/CLI.hpp>
#include <cstdlib>
#include <iostream>
#include <memory>

namespace Basilbend
{

namespace
{

using RunFunction = void (*)(DaemonRuntime &);

/// Environment variable in which the platform passes the name of the settings file.
constexpr const char *SettingsVariable = "BASILBEND_CONFIG";

void runDaemon(const std::string &role, const std::string &fileName, RunFunction run)
{
    auto settings = readDaemonSettings(fileName, role);
    if (!settings) {
        std::cerr << settings.error().message << "\n";
        throw CLI::RuntimeError(WrongUsage);
    }
    try {
        DaemonRuntime runtime(fileName, std::move(settings.value()));
        run(runtime);
        // All state is in the store and the log is flushed. Exiting here skips the exit handlers of libraries, one of which can
        // wait for a thread that never ends.
        std::cout.flush();
        std::_Exit(Success);
    } catch (const std::system_error &error) {
        std::cerr << "the process can't run: " << error.what() << "\n";
        throw CLI::RuntimeError(OperationFailed);
    }
}

void addDaemonCommand(CLI::App &app, const std::string &role, const std::string &description, RunFunction run)
{
    auto *command = app.add_subcommand(role, description);
    const auto fileName = std::make_shared<std::string>();
    command->add_option("--settings", *fileName, "YAML settings file")->envname(SettingsVariable)->required();
    command->callback([role, fileName, run] { runDaemon(role, *fileName, run); });
}

}

void addDaemonCommands(CLI::App &app)
{
    addDaemonCommand(app, "gateway", "Serve clients on an entry host until SIGTERM", runGateway);
    addDaemonCommand(app, "scheduler", "Run batches, weights and usage reports until SIGTERM", runScheduler);
}

}
