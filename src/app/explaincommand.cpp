#include "app/explaincommand.h"

#include "app/exitcode.h"
#include "log/logtrace.h"

#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>
#include <memory>

namespace Basilbend
{

namespace
{

void printLine(const TracedLine &line)
{
    std::cout << line.timeMs << "  " << line.node << "  " << line.event << (line.isWarning ? " (!)" : "") << "  " << line.fields << "\n";
}

void explain(const std::string &id, const std::vector<std::string> &files)
{
    LogTrace trace(id);
    for (const auto &name : files) {
        std::ifstream input(name);
        trace.read(input);
    }
    const auto lines = trace.lines();
    for (const auto &line : lines) {
        printLine(line);
    }
    if (lines.empty()) {
        std::cerr << "no line mentions " << id << "\n";
        throw CLI::RuntimeError(OperationFailed);
    }
    if (const auto failure = trace.firstFailure()) {
        std::cout << "\nfirst failure: ";
        printLine(*failure);
    } else {
        std::cout << "\nno failure\n";
    }
}

}

void addExplainCommand(CLI::App &app)
{
    auto *command = app.add_subcommand("explain", "Print the log lines about a request, batch, item, endpoint, window or host, in order of time");
    const auto id = std::make_shared<std::string>();
    const auto files = std::make_shared<std::vector<std::string>>();
    command->add_option("id", *id, "The id")->required();
    command->add_option("files", *files, "Log files of gateways and schedulers")->required()->check(CLI::ExistingFile);
    command->callback([id, files] { explain(*id, *files); });
}

}
