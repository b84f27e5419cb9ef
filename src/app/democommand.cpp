#include "app/democommand.h"

#include "app/demo.h"
#include "app/exitcode.h"
#include "app/shutdown.h"

#include <CLI/CLI.hpp>
#include <iostream>
#include <log4cplus/initializer.h>
#include <log4cplus/logger.h>

namespace Basilbend
{

void addDemoCommand(CLI::App &app)
{
    auto *command = app.add_subcommand("demo", "Run entries, endpoints and stand-ins on loopback and check the figures");
    command->callback([] {
        prepareProcess();
        const log4cplus::Initializer logging;
        log4cplus::Logger::getRoot().setLogLevel(log4cplus::OFF_LOG_LEVEL);
        Demo demo(std::cout);
        demo.runPadana();
        demo.runBengal();
        if (!demo.printSummary()) {
            throw CLI::RuntimeError(OperationFailed);
        }
    });
}

}
