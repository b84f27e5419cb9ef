#include "app/checkcommand.h"
#include "app/checkconfigcommand.h"
#include "app/codescommand.h"
#include "app/daemoncommands.h"
#include "app/democommand.h"
#include "app/entrycommand.h"
#include "app/exitcode.h"
#include "app/explaincommand.h"
#include "app/operatorcommands.h"
#include "app/replaycommand.h"
#include "app/sidecarcommand.h"
#include "app/standincommand.h"

#include <CLI/CLI.hpp>

int main(int argc, char **argv)
{
    CLI::App app{"basilbend: rollout service for reinforcement learning"};
    app.require_subcommand(1);
    Basilbend::addCheckCommand(app);
    Basilbend::addCheckConfigCommand(app);
    Basilbend::addCodesCommand(app);
    Basilbend::addDaemonCommands(app);
    Basilbend::addExplainCommand(app);
    Basilbend::addReplayCommand(app);
    Basilbend::addEntryCommand(app);
    Basilbend::addSidecarCommand(app);
    Basilbend::addOperatorCommands(app);
    Basilbend::addStandInCommand(app);
    Basilbend::addDemoCommand(app);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        const auto code = app.exit(error);
        return code == Basilbend::Success || code == Basilbend::OperationFailed ? code : Basilbend::WrongUsage;
    }
    return 0;
}
