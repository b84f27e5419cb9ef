#include "sidecar/enginestream.h"

#include "net/jsontext.h"

#include <nlohmann/json.hpp>

namespace Basilbend
{

namespace Internal
{

constexpr std::size_t MaxErrorBytes = 4096;
constexpr std::string_view DataPrefix = "data:";

EndpointChunk chunkFromJson(const nlohmann::json &object)
{
    EndpointChunk chunk;
    chunk.text = object.at("text").get<std::string>();
    chunk.tokens = unsignedField(object, "tokens");
    if (const auto it = object.find("weight_version"); it != object.end() && !it->is_null()) {
        chunk.version = unsignedField(object, "weight_version");
    }
    if (const auto it = object.find("finish_reason"); it != object.end() && !it->is_null()) {
        chunk.finishReason = it->get<std::string>();
    }
    chunk.promptTokens = object.contains("prompt_tokens") ? unsignedField(object, "prompt_tokens") : 0;
    return chunk;
}

void addChunk(std::vector<EndpointChunk> &chunks, EndpointChunk chunk)
{
    if (!chunks.empty() && chunks.back().version == chunk.version && chunks.back().finishReason.empty()) {
        auto &last = chunks.back();
        last.text += chunk.text;
        last.tokens += chunk.tokens;
        last.promptTokens = std::max(last.promptTokens, chunk.promptTokens);
        last.finishReason = std::move(chunk.finishReason);
    } else {
        chunks.push_back(std::move(chunk));
    }
}

}

EngineStream::EngineStream(std::string requestId)
    : m_requestId(std::move(requestId))
{
}

std::vector<EndpointChunk> EngineStream::feed(int status, std::string_view data)
{
    std::vector<EndpointChunk> chunks;
    constexpr int HttpOk = 200;
    if (status != HttpOk) {
        m_errorBody.append(data.substr(0, Internal::MaxErrorBytes - std::min(m_errorBody.size(), Internal::MaxErrorBytes)));
        return chunks;
    }
    if (!m_crossed && !m_lines.feed(data, [this, &chunks](std::string_view line) { return readEvent(line, chunks); })) {
        m_crossed = true;
    }
    return chunks;
}

bool EngineStream::readEvent(std::string_view line, std::vector<EndpointChunk> &chunks)
{
    if (m_finished || line.substr(0, Internal::DataPrefix.size()) != Internal::DataPrefix) {
        return true;
    }
    line.remove_prefix(Internal::DataPrefix.size());
    line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
    if (line == "[DONE]") {
        return true;
    }
    try {
        const auto object = nlohmann::json::parse(line);
        if (object.at("request_id").get_ref<const std::string &>() != m_requestId) {
            return false;
        }
        auto chunk = Internal::chunkFromJson(object);
        m_anyChunk = true;
        m_finished = !chunk.finishReason.empty();
        Internal::addChunk(chunks, std::move(chunk));
        return true;
    } catch (const std::exception &) {
        return false;
    }
}

std::optional<Error> EngineStream::failure(const HttpClientResponse &response) const
{
    if (m_finished) {
        return std::nullopt;
    }
    if (m_crossed) {
        return Error{ResultCode::EndpointFailed, "the engine sent a chunk that is malformed or of another request", Execution::Ran};
    }
    if (response.failure == TransportFailure::ConnectionRefused || response.failure == TransportFailure::ConnectFailed) {
        return Error{ResultCode::EndpointFailed, "the engine can't be reached", Execution::NotRun};
    }
    constexpr int HttpOk = 200;
    if (response.failure == TransportFailure::None && response.status != HttpOk) {
        return Error{ResultCode::EndpointFailed,
                     "the engine refused the request with status " + std::to_string(response.status) + ": " + m_errorBody,
                     Execution::NotRun};
    }
    return Error{ResultCode::EndpointFailed, "the engine's stream was cut", m_anyChunk ? Execution::Ran : Execution::Unknown};
}

}
