#include "app/standincommand.h"

#include "app/exitcode.h"
#include "net/httpclient.h"
#include "standins/standinfactory.h"
#include "standins/standinserver.h"

#include <CLI/CLI.hpp>
#include <charconv>
#include <csignal>
#include <iostream>
#include <system_error>

namespace Basilbend
{

namespace Internal
{

struct StandInOptions {
    std::string name;
    std::string listen;
    std::string settings = "{}";
};

void serveStandIn(const StandInOptions &options)
{
    const auto colon = options.listen.rfind(':');
    std::uint16_t port = 0;
    const auto digits = colon == std::string::npos ? std::string() : options.listen.substr(colon + 1);
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (digits.empty() || parsed.ec != std::errc() || parsed.ptr != digits.data() + digits.size()) {
        std::cerr << "--listen takes ADDRESS:PORT\n";
        throw CLI::RuntimeError(WrongUsage);
    }
    // Blocked before any thread starts, so that only sigwait receives them.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);

    HttpClient client;
    auto standIn = makeStandIn(options.name, nlohmann::json::parse(options.settings, nullptr, false), client);
    if (!standIn) {
        std::cerr << static_cast<int>(standIn.error().code) << " " << resultCodeName(standIn.error().code) << ": " << standIn.error().message << "\n";
        throw CLI::RuntimeError(WrongUsage);
    }
    try {
        StandInServer server(std::move(standIn).value(), options.listen.substr(0, colon), port);
        std::cout << options.name << " listens on " << server.url() << std::endl;
        int signal = 0;
        sigwait(&signals, &signal);
    } catch (const std::system_error &error) {
        std::cerr << "can't listen on " << options.listen << ": " << error.what() << "\n";
        throw CLI::RuntimeError(OperationFailed);
    }
}

}

void addStandInCommand(CLI::App &app)
{
    auto *command = app.add_subcommand("stand-in", "Serve a stand-in for an external system until SIGINT or SIGTERM");
    auto options = std::make_shared<Internal::StandInOptions>();
    command->add_option("name", options->name, "Which stand-in")->required()->check(CLI::IsMember(standInNames()));
    command->add_option("--listen", options->listen, "ADDRESS:PORT; port 0 takes a free one")->required();
    command->add_option("--settings", options->settings, "JSON object, for example {\"slots\": 8}");
    command->callback([options] { Internal::serveStandIn(*options); });
}

}
