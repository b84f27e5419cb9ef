#include "app/entrycommand.h"

#include "app/exitcode.h"
#include "app/settingsfile.h"
#include "app/shutdown.h"
#include "base/systemclock.h"
#include "config/configurationjson.h"
#include "entry/controlentry.h"
#include "entry/entryservice.h"
#include "entry/stepapi.h"

#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>
#include <log4cplus/configurator.h>
#include <log4cplus/initializer.h>
#include <log4cplus/loggingmacros.h>
#include <memory>
#include <nlohmann/json.hpp>

namespace Basilbend
{

namespace Internal
{

struct EntryOptions {
    EntrySettings settings;
    std::string configurationFile;
    std::string spanFile;
    PlatformSettings platform;
    /// The other entries, each as "NODE,ZONE,ADDRESS:PORT".
    std::vector<std::string> peers;
    std::int64_t drainLimitMs = 600000;
    /// Time for the load balancer to notice that the entry is not ready.
    std::int64_t unreadyMs = 5000;
};

Configuration readConfiguration(const std::string &file)
{
    std::ifstream input(file);
    const auto json = nlohmann::json::parse(input, nullptr, false);
    const auto configuration =
        json.is_discarded() ? Result<Configuration>(Error{ResultCode::MalformedRequest, "not a JSON file"}) : configurationFromJson(json);
    if (!configuration) {
        std::cerr << file << ": " << configuration.error().message << "\n";
        throw CLI::RuntimeError(WrongUsage);
    }
    return configuration.value();
}

SpanWriter::LineSink fileSink(const std::string &file)
{
    if (file.empty()) {
        return nullptr;
    }
    auto output = std::make_shared<std::ofstream>(file, std::ios::app);
    return [output](const std::string &line) { *output << line << std::flush; };
}

std::vector<StepPeer> stepPeers(const std::vector<Peer> &peers)
{
    std::vector<StepPeer> others;
    others.reserve(peers.size());
    for (const auto &peer : peers) {
        others.push_back({peer.node, peer.zone, peer.address});
    }
    return others;
}

std::vector<Peer> readPeers(const std::vector<std::string> &texts)
{
    std::vector<Peer> peers;
    for (const auto &text : texts) {
        const auto peer = peerFromText(text);
        if (!peer) {
            std::cerr << peer.error().message << "\n";
            throw CLI::RuntimeError(WrongUsage);
        }
        peers.push_back(peer.value());
    }
    return peers;
}

std::unique_ptr<ControlEntry> makeControl(EntryService &service, const PlatformSettings &platform)
{
    if (platform.storeUrl.empty()) {
        return nullptr;
    }
    ControlEntrySettings settings;
    settings.storeUrl = platform.storeUrl;
    settings.hostListUrl = platform.hostListUrl;
    settings.usageReportsUrl = platform.usageReportsUrl;
    settings.operatorCredentialDigest = platform.operatorCredentialDigest;
    for (const auto &peer : platform.peers) {
        settings.entries.push_back({peer.address, peer.address, peer.zone});
    }
    return std::make_unique<ControlEntry>(service, std::move(settings), systemNow);
}

void runEntry(const EntryOptions &options)
{
    const auto configuration = options.configurationFile.empty() ? Configuration() : readConfiguration(options.configurationFile);
    prepareProcess();
    const log4cplus::Initializer logging;
    log4cplus::BasicConfigurator::doConfigure(log4cplus::Logger::getDefaultHierarchy(), true);
    EntryService service(options.settings, systemNow, fileSink(options.spanFile));
    StepApi steps(service, options.settings, systemNow);
    steps.setPeers(stepPeers(options.platform.peers));
    const auto control = makeControl(service, options.platform);
    try {
        service.start();
    } catch (const std::system_error &error) {
        std::cerr << "an address can't be bound: " << error.what() << "\n";
        throw CLI::RuntimeError(OperationFailed);
    }
    if (!control) {
        service.publishConfiguration(configuration);
    }
    std::cout << "entry " << options.settings.node << ": callers at " << service.address() << ", processes at " << service.internalAddress() << std::endl;
    waitForShutdownSignal();
    service.beginLeaving();
    steps.handOver();
    if (control) {
        // Other processes take a refused connection as the end of this one, so duties are released before the listener closes.
        control->beginLeaving();
        waitUntilDrained([&control] { return control->isFlushed(); }, Milliseconds(options.drainLimitMs));
    }
    waitUntilDrained([] { return false; }, Milliseconds(options.unreadyMs));
    service.stopAccepting();
    const bool drained = waitUntilDrained([&service, &steps] { return service.isDrained() && steps.isIdle(); }, Milliseconds(options.drainLimitMs));
    service.stop();
    if (!drained) {
        throw CLI::RuntimeError(OperationFailed);
    }
}

}

void addEntryCommand(CLI::App &app)
{
    auto options = std::make_shared<Internal::EntryOptions>();
    auto settingsFile = std::make_shared<std::string>();
    auto *command = app.add_subcommand("entry", "Run the process of an entry host until SIGTERM");
    command->add_option("--node", options->settings.node, "Name of this process")->capture_default_str();
    command->add_option("--zone", options->settings.zone, "Availability zone")->capture_default_str();
    command->add_option("--region", options->settings.region, "Region")->capture_default_str();
    command->add_option("--address", options->settings.address, "IP address for callers")->capture_default_str();
    command->add_option("--port", options->settings.port, "Port for callers; 0 takes a free one")->capture_default_str();
    command->add_option("--internal-address", options->settings.internalAddress, "IP address for the other processes of the system")->capture_default_str();
    command->add_option("--internal-port", options->settings.internalPort, "Port for the other processes of the system; 0 takes a free one")
        ->capture_default_str();
    command->add_option("--threads", options->settings.serverThreads, "Threads that serve callers")->check(CLI::Range(1, 64))->capture_default_str();
    command->add_option("--configuration", options->configurationFile, "JSON file with the configuration to start with")->check(CLI::ExistingFile);
    command->add_option("--peer", options->peers, "Another entry, as NODE,ZONE,ADDRESS:PORT of its internal address; may be repeated");
    command->add_option("--spans", options->spanFile, "File to append spans to");
    command->add_option("--drain-limit-ms", options->drainLimitMs, "Longest wait for open requests at shutdown")->capture_default_str();
    command->add_option("--unready-ms", options->unreadyMs, "Time between readiness off and the last new connection")->capture_default_str();
    auto *file = command->add_option("--settings", *settingsFile, "YAML settings file, in place of the options that it covers")->check(CLI::ExistingFile);
    for (const auto *name : {"--node", "--zone", "--region", "--address", "--port", "--internal-address", "--internal-port", "--threads", "--peer"}) {
        command->get_option(name)->excludes(file);
    }
    command->callback([options, settingsFile] {
        if (!settingsFile->empty()) {
            const auto settings = requireSettings(*settingsFile, "entry");
            options->settings = *settings.entry;
            options->platform = settings.platform;
        } else {
            options->platform.peers = Internal::readPeers(options->peers);
        }
        Internal::runEntry(*options);
    });
}

}
