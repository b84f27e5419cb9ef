#pragma once

#include "base/result.h"
#include "replay/trace.h"

#include <istream>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace Basilbend
{

class JsonReader;

/// Reads a trace of JSON lines, one event each, in ascending order of time. Fails with TraceInvalid and the number of the first
/// line that is wrong.
class TraceReader
{
public:
    static Result<Trace> read(std::istream &in, const std::string &name);

private:
    explicit TraceReader(std::string name);

    Result<void> addLine(const std::string &line);
    Result<void> addEvent(const std::string &kind, JsonReader &reader, Timestamp at);
    Result<void> addPool(JsonReader &reader);
    Result<void> addWorkspace(JsonReader &reader);
    Result<void> addRequest(JsonReader &reader, Timestamp at);
    Result<void> addTrainer(JsonReader &reader, Timestamp at);
    Result<void> addSample(JsonReader &reader);
    Result<void> addPublication(JsonReader &reader, Timestamp at);
    Result<void> addFault(JsonReader &reader, Timestamp at);
    Result<void> checkUse(const std::string &workspace, const std::string &policy, const std::string &zone) const;

    Trace m_trace;
    Timestamp m_lastAt{0};
};

}
