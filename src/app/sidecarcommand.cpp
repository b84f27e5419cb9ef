#include "app/sidecarcommand.h"

#include "app/exitcode.h"
#include "app/settingsfile.h"
#include "app/shutdown.h"
#include "base/systemclock.h"
#include "sidecar/controlsidecar.h"
#include "sidecar/sidecarservice.h"

#include <CLI/CLI.hpp>
#include <iostream>
#include <log4cplus/configurator.h>
#include <log4cplus/initializer.h>
#include <log4cplus/loggingmacros.h>
#include <memory>

namespace Basilbend
{

namespace Internal
{

// Entries write usage every 10 s; twice that covers records that just missed a write.
constexpr Milliseconds UsageDeliveryTimeout{20'000};

struct SidecarOptions {
    SidecarSettings settings;
    bool untagged = false;
    std::int64_t drainLimitMs = 600000;
};

void runSidecar(const SidecarOptions &options)
{
    prepareProcess();
    const log4cplus::Initializer logging;
    log4cplus::BasicConfigurator::doConfigure(log4cplus::Logger::getDefaultHierarchy(), true);
    std::unique_ptr<ControlSidecar> control;
    SidecarService service(options.settings, systemNow);
    control = std::make_unique<ControlSidecar>(service, options.settings.entries, systemNow);
    try {
        service.start();
    } catch (const std::system_error &error) {
        std::cerr << "the address can't be bound: " << error.what() << "\n";
        throw CLI::RuntimeError(OperationFailed);
    }
    std::cout << "sidecar " << options.settings.node << " at " << service.address() << std::endl;
    waitForShutdownSignal();
    service.beginLeaving();
    const bool drained = waitUntilDrained([&service] { return service.isDrained(); }, Milliseconds(options.drainLimitMs));
    const bool usageDelivered = waitUntilDrained([&control] { return control->heldRecords() == 0; }, UsageDeliveryTimeout);
    service.stop();
    if (!drained || !usageDelivered) {
        throw CLI::RuntimeError(OperationFailed);
    }
}

}

void addSidecarCommand(CLI::App &app)
{
    auto options = std::make_shared<Internal::SidecarOptions>();
    auto settingsFile = std::make_shared<std::string>();
    auto *command = app.add_subcommand("sidecar", "Run the process beside one endpoint until SIGTERM");
    command->add_option("--node", options->settings.node, "Name of this process")->capture_default_str();
    command->add_option("--zone", options->settings.zone, "Availability zone")->capture_default_str();
    command->add_option("--region", options->settings.region, "Region")->capture_default_str();
    command->add_option("--address", options->settings.address, "IP address for the other processes of the system")->capture_default_str();
    command->add_option("--port", options->settings.port, "Port; 0 takes a free one")->capture_default_str();
    command->add_option("--endpoint", options->settings.endpointUrl, "URL of the endpoint, for example http://127.0.0.1:8000");
    command->add_option("--serves", options->settings.serves, "Policy of the engine, or route of the plain service");
    command->add_flag("--service", options->settings.isService, "The endpoint is a plain service");
    command->add_flag("--untagged", options->untagged, "The engine does not name its weight version on each chunk");
    command->add_option("--entry", options->settings.entries, "Internal address of an entry; may be repeated");
    command->add_option("--engine-bound", options->settings.queue.engineBound, "Maximum number of concurrent requests in the endpoint")->capture_default_str();
    command->add_option("--drain-limit-ms", options->drainLimitMs, "Longest wait for open requests at shutdown")->capture_default_str();
    auto *file = command->add_option("--settings", *settingsFile, "YAML settings file, in place of the options that it covers")->check(CLI::ExistingFile);
    for (const auto *name :
         {"--node", "--zone", "--region", "--address", "--port", "--endpoint", "--serves", "--service", "--untagged", "--entry", "--engine-bound"}) {
        command->get_option(name)->excludes(file);
    }
    command->callback([options, settingsFile] {
        if (!settingsFile->empty()) {
            options->settings = *requireSettings(*settingsFile, "sidecar").sidecar;
        } else {
            if (options->settings.endpointUrl.empty() || options->settings.serves.empty()) {
                throw CLI::RequiredError("--settings, or --endpoint and --serves,");
            }
            options->settings.engineTagsChunks = !options->untagged;
        }
        Internal::runSidecar(*options);
    });
}

}
