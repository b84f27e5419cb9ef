#include "app/checkconfigcommand.h"

#include "app/exitcode.h"
#include "base/textfile.h"
#include "catalog/configurationcheck.h"
#include "platform/configurationcodec.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Basilbend
{

namespace
{

using nlohmann::json;

constexpr std::size_t BytesPerMegabyte = 1024 * 1024;

/// A finding and the line where its subject is first named; zero if there is none.
struct LocatedFinding {
    Finding finding;
    std::string file;
    std::size_t line = 0;
};

std::size_t lineAt(const std::string &text, std::size_t position)
{
    const auto end = text.begin() + static_cast<std::ptrdiff_t>(std::min(position, text.size()));
    return 1 + static_cast<std::size_t>(std::count(text.begin(), end, '\n'));
}

/// The line of the first mention of each quoted word of a text.
std::unordered_map<std::string_view, std::size_t> linesOfWords(std::string_view text)
{
    std::unordered_map<std::string_view, std::size_t> lines;
    std::size_t line = 1;
    std::size_t start = std::string_view::npos;
    for (std::size_t i = 0; i < text.size(); ++i) {
        line += text[i] == '\n' ? 1 : 0;
        if (text[i] != '"') {
            continue;
        }
        if (start == std::string_view::npos) {
            start = i + 1;
        } else {
            lines.emplace(text.substr(start, i - start), line);
            start = std::string_view::npos;
        }
    }
    return lines;
}

LocatedFinding errorIn(const std::string &file, const std::string &code, const std::string &message, std::size_t line)
{
    return {{FindingSeverity::Error, code, {}, message}, file, line};
}

/// Line of a syntax error in a JSON text; zero if there is none.
std::size_t lineOfSyntaxError(const std::string &text)
{
    try {
        return json::parse(text).is_discarded() ? 1 : 0;
    } catch (const json::parse_error &error) {
        return lineAt(text, error.byte > 0 ? error.byte - 1 : 0);
    }
}

/// Reads and decodes a configuration with the decoder of the running system. Adds an error to the findings if that fails.
std::unique_ptr<RouteTable> readConfiguration(const std::string &file, std::string &text, std::vector<LocatedFinding> &findings)
{
    const auto content = readTextFile(file);
    if (!content) {
        findings.push_back(errorIn(file, "unreadable", "the file can't be read", 0));
        return nullptr;
    }
    text = *content;
    if (const auto line = lineOfSyntaxError(text); line > 0) {
        findings.push_back(errorIn(file, "syntax", "is not valid JSON", line));
        return nullptr;
    }
    auto configuration = decodeConfiguration(text);
    if (!configuration) {
        findings.push_back(errorIn(file, "not_accepted", configuration.error().message, 0));
        return nullptr;
    }
    return std::make_unique<RouteTable>(std::move(configuration.value()));
}

void write(const std::vector<LocatedFinding> &findings, bool writesJson, std::ostream &out)
{
    auto array = json::array();
    for (const auto &[finding, file, line] : findings) {
        if (writesJson) {
            array.push_back({{"severity", findingSeverityName(finding.severity)},
                             {"code", finding.code},
                             {"file", file},
                             {"line", line},
                             {"subject", finding.subject},
                             {"message", finding.message}});
            continue;
        }
        out << file << (line > 0 ? ":" + std::to_string(line) : std::string()) << ": " << findingSeverityName(finding.severity) << " [" << finding.code << "] "
            << (finding.subject.empty() ? std::string() : finding.subject + ": ") << finding.message << "\n";
    }
    if (writesJson) {
        out << array.dump(2, ' ', false, json::error_handler_t::replace) << "\n";
    }
}

}

int checkConfigurationFile(const ConfigCheckRequest &request, std::ostream &out)
{
    std::vector<LocatedFinding> located;
    std::string text;
    const auto table = readConfiguration(request.file, text, located);
    std::string textInForce;
    const auto inForce = request.against.empty() ? nullptr : readConfiguration(request.against, textInForce, located);
    if (!located.empty()) {
        write(located, request.writesJson, out);
        return WrongUsage;
    }
    auto findings = checkConfiguration(*table, request.hostMemoryBytes);
    if (inForce) {
        auto differences = compareConfigurations(*inForce, *table);
        std::move(differences.begin(), differences.end(), std::back_inserter(findings));
    }
    const auto lines = linesOfWords(text);
    for (auto &finding : findings) {
        const auto it = lines.find(finding.subject);
        located.push_back({std::move(finding), request.file, it == lines.end() || it->first.empty() ? 0 : it->second});
    }
    write(located, request.writesJson, out);
    return located.empty() ? Success : OperationFailed;
}

void addCheckConfigCommand(CLI::App &app)
{
    auto *command = app.add_subcommand("check-config", "Check a configuration before it is sent");
    const auto request = std::make_shared<ConfigCheckRequest>();
    const auto memoryMegabytes = std::make_shared<std::size_t>(0);
    command->add_option("file", request->file, "The configuration, as it would be written to the store")->required();
    command->add_option("--against", request->against, "The version in force, to compare with");
    command->add_option("--host-memory", *memoryMegabytes, "Memory of the smallest gateway host in MB");
    command->add_flag("--json", request->writesJson, "Write the findings as a JSON array");
    command->callback([request, memoryMegabytes] {
        request->hostMemoryBytes = *memoryMegabytes * BytesPerMegabyte;
        const int code = checkConfigurationFile(*request, std::cout);
        std::cout.flush();
        if (code != Success) {
            throw CLI::RuntimeError(code);
        }
    });
}

}
