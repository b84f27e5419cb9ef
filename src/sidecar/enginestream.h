#pragma once

#include "net/httpclient.h"
#include "net/linereader.h"
#include "sidecar/sidecarcore.h"

#include <string>
#include <string_view>
#include <vector>

namespace Basilbend
{

/// Reads the server-sent events that an engine answers a completion with.
class EngineStream
{
public:
    explicit EngineStream(std::string requestId);

    /// Returns the chunks in the data; parts of one buffer with the same version are joined.
    std::vector<EndpointChunk> feed(int status, std::string_view data);

    /// What ended the call when no chunk with a finish reason was read, or nothing.
    std::optional<Error> failure(const HttpClientResponse &response) const;

private:
    bool readEvent(std::string_view line, std::vector<EndpointChunk> &chunks);

    std::string m_requestId;
    LineReader m_lines;
    std::string m_errorBody;
    bool m_anyChunk = false;
    bool m_finished = false;
    bool m_crossed = false;
};

}
