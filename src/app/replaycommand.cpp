#include "app/replaycommand.h"

#include "app/exitcode.h"
#include "replay/replayer.h"
#include "replay/replaytext.h"
#include "replay/tracemaker.h"
#include "replay/tracereader.h"
#include "replay/tracewriter.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>

namespace Basilbend
{

namespace Internal
{

struct ReplayOptions {
    std::string trace;
    std::string tableDirectory;
    std::string tracesDirectory;
    std::string output = "text";
    bool decisions = false;
    std::uint64_t seedOffset = 0;
};

[[noreturn]] static void exitWithError(const Error &error, const std::string &file)
{
    std::cerr << "error " << static_cast<int>(error.code) << " (" << resultCodeName(error.code) << "): " << file << ": " << error.message << "\n";
    throw CLI::RuntimeError(OperationFailed);
}

static std::string outcomesFileOf(const std::string &trace)
{
    return std::filesystem::path(trace).replace_extension("outcomes.json").string();
}

static MadeTrace loadTrace(const std::string &file)
{
    std::ifstream in(file);
    if (!in) {
        exitWithError({ResultCode::TraceInvalid, "the file can't be read"}, file);
    }
    auto trace = TraceReader::read(in, std::filesystem::path(file).stem().string());
    if (!trace) {
        exitWithError(trace.error(), file);
    }
    const auto outcomesFile = outcomesFileOf(file);
    std::ifstream outcomesInput(outcomesFile);
    std::stringstream text;
    text << outcomesInput.rdbuf();
    auto outcomes = readOutcomes(text.str());
    if (!outcomesInput || !outcomes) {
        exitWithError(outcomes ? Error{ResultCode::TraceInvalid, "the file can't be read"} : outcomes.error(), outcomesFile);
    }
    return {std::move(trace.value()), outcomes.value()};
}

static void writeTraces(const std::string &directory, std::uint64_t seedOffset)
{
    std::filesystem::create_directories(directory);
    for (const auto &made : makeTraces(seedOffset)) {
        const auto file = directory + "/" + made.trace.name + ".jsonl";
        std::ofstream out(file);
        writeTrace(made.trace, out);
        std::ofstream(outcomesFileOf(file)) << writeOutcomes(made.outcomes);
        std::cout << file << "\n";
        if (!out.flush()) {
            exitWithError({ResultCode::TraceInvalid, "the file can't be written"}, file);
        }
    }
}

static void printTable(const std::string &directory)
{
    std::vector<std::string> files;
    for (const auto &file : std::filesystem::directory_iterator(directory)) {
        if (file.path().extension() == ".jsonl") {
            files.push_back(file.path().string());
        }
    }
    std::sort(files.begin(), files.end());
    std::vector<ReplayReport> reports;
    reports.reserve(files.size());
    for (const auto &file : files) {
        const auto made = loadTrace(file);
        reports.push_back(Replayer::compare(made.trace, made.outcomes, true));
    }
    std::cout << replayPage(reports);
}

static void runReplay(const ReplayOptions &options)
{
    if (!options.tracesDirectory.empty()) {
        return writeTraces(options.tracesDirectory, options.seedOffset);
    }
    if (!options.tableDirectory.empty()) {
        return printTable(options.tableDirectory);
    }
    if (options.trace.empty()) {
        throw CLI::RequiredError("TRACE");
    }
    const auto made = loadTrace(options.trace);
    const auto report = Replayer::compare(made.trace, made.outcomes, options.decisions);
    std::cout << (options.output == "json" ? replayJson(report) : replayText(report));
    if (!report.allMet()) {
        throw CLI::RuntimeError(OperationFailed);
    }
}

}

void addReplayCommand(CLI::App &app)
{
    auto *command = app.add_subcommand("replay", "Replay a recording against its stated outcomes; exit code 1 when one is not met");
    const auto options = std::make_shared<Internal::ReplayOptions>();
    command->add_option("TRACE", options->trace, "JSON lines; the stated outcomes are in NAME.outcomes.json beside it");
    command->add_option("--output", options->output, "text or json")->check(CLI::IsMember({"text", "json"}));
    command->add_flag("--decisions", options->decisions, "Also run with each decision switched off");
    command->add_option("--table", options->tableDirectory, "Print docs/replay-results.md from all traces of a directory");
    command->add_option("--make-traces", options->tracesDirectory, "Write the traces of both users and the mixes to a directory");
    command->add_option("--seed-offset", options->seedOffset, "Offset of the seeds, to make other traces of the same kind");
    command->callback([options] { Internal::runReplay(*options); });
}

}
