#pragma once

#include "base/result.h"

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace CLI
{
class App;
}

namespace Basilbend
{

/// Holds the options that all operator commands share, and calls the operators' API of an entry, which is a process that
/// serves callers and operators.
class OperatorClient
{
public:
    /// Adds --entry, --credential-file and --output.
    void addOptions(CLI::App &command);

    /// Sends a request to the operators' API and returns the JSON body of the answer. Fails with the error of the answer, or with
    /// NoEndpoint when the entry does not answer.
    Result<nlohmann::json> call(const std::string &method, const std::string &path, const std::string &body = {}) const;

    /// Whether "--output json" was given.
    bool wantsJson() const;

private:
    std::string m_entry = "127.0.0.1:8080";
    std::string m_credentialFile;
    std::string m_output = "table";
};

}
