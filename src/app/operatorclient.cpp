#include "app/operatorclient.h"

#include "config/jsonreader.h"
#include "net/httpclient.h"

#include <CLI/CLI.hpp>
#include <fstream>
#include <nlohmann/json.hpp>

namespace Basilbend
{

namespace Internal
{

constexpr Milliseconds OperatorTimeout{10'000};

Error errorFromAnswer(const HttpClientResponse &response)
{
    const auto json = nlohmann::json::parse(response.body, nullptr, false);
    Error error{ResultCode::InternalError, "the entry answered with status " + std::to_string(response.status)};
    if (json.is_object() && json.contains("error") && json["error"].is_object()) {
        error.code = static_cast<ResultCode>(json["error"].value("code", static_cast<int>(ResultCode::InternalError)));
        error.message = json["error"].value("message", error.message);
    }
    return error;
}

}

void OperatorClient::addOptions(CLI::App &command)
{
    command.add_option("--entry", m_entry, "Address and port of an entry")->capture_default_str();
    command.add_option("--credential-file", m_credentialFile, "File that holds the operator credential")->required()->check(CLI::ExistingFile);
    command.add_option("--output", m_output, "table or json")->check(CLI::IsMember({"table", "json"}))->capture_default_str();
}

Result<nlohmann::json> OperatorClient::call(const std::string &method, const std::string &path, const std::string &body) const
{
    std::ifstream file(m_credentialFile);
    std::string credential;
    std::getline(file, credential);
    HttpClientRequest request;
    request.method = method;
    request.url = "http://" + m_entry + "/admin/v1/" + path;
    request.headers = {{"authorization", "Bearer " + credential}};
    request.body = body;
    request.timeout = Internal::OperatorTimeout;
    HttpClient client;
    const auto response = client.sendAndWait(request);
    if (response.failure != TransportFailure::None) {
        return Error{ResultCode::NoEndpoint, "entry " + m_entry + " does not answer"};
    }
    if (response.status >= 300) {
        return Internal::errorFromAnswer(response);
    }
    return parseJsonObject(response.body, "answer of the entry");
}

bool OperatorClient::wantsJson() const
{
    return m_output == "json";
}

}
