#include "platform/clientrequest.h"

#include "platform/wirenames.h"

#include <charconv>
#include <cstdio>

namespace Basilbend
{

namespace
{

std::optional<std::uint64_t> parseUnsigned(std::string_view text)
{
    std::uint64_t n = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    const bool isNumber = !text.empty() && ec == std::errc{} && end == text.data() + text.size();
    return isNumber ? std::optional(n) : std::nullopt;
}

std::optional<Milliseconds> millisecondsField(const HttpFields &fields, const char *name)
{
    const auto n = parseUnsigned(fields.value(name));
    return n ? std::optional(Milliseconds(*n)) : std::nullopt;
}

bool startsWith(std::string_view text, std::string_view prefix)
{
    return text.substr(0, prefix.size()) == prefix;
}

ClientAction actionOf(const RequestMessage &message)
{
    if (startsWith(message.target, Wire::BatchPath)) {
        if (message.method == "GET") {
            return ClientAction::ReadResults;
        }
        return message.method == "DELETE" ? ClientAction::EndBatch : ClientAction::Submit;
    }
    const bool readsItem = message.method == "GET" && startsWith(message.target, Wire::ItemPath);
    return readsItem ? ClientAction::ReadItem : ClientAction::Submit;
}

}

ClientRequest decodeClientRequest(const RequestMessage &message)
{
    ClientRequest request;
    request.action = actionOf(message);
    request.host = std::string(message.fields.value("Host"));
    request.path = std::string(targetPath(message.target));
    request.attemptId = std::string(message.fields.value(Wire::AttemptId));
    request.apiKey = std::string(message.fields.value(Wire::ApiKey));
    request.deadline = millisecondsField(message.fields, Wire::DeadlineMs);
    request.lastEventId = parseUnsigned(message.fields.value(Wire::LastEventId)).value_or(0);
    request.resumedAttemptId = std::string(message.fields.value(Wire::Resumes));
    request.wait = millisecondsField(message.fields, Wire::WaitMs).value_or(Milliseconds(0));
    if (request.action != ClientAction::Submit) {
        const std::string_view prefix = request.action == ClientAction::ReadItem ? Wire::ItemPath : Wire::BatchPath;
        request.batchId = percentDecoded(std::string_view(request.path).substr(prefix.size()));
        request.itemId = queryValue(message.target, "id");
        request.afterPosition = parseUnsigned(queryValue(message.target, "after")).value_or(0);
    }
    return request;
}

bool isReadinessRequest(const RequestMessage &message)
{
    return targetPath(message.target) == Wire::ReadinessPath;
}

HttpField retryAfterField(Milliseconds span)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.2f", static_cast<double>(span.count()) / 1000);
    return {Wire::RetryAfter, text};
}

HttpField attemptIdField(const std::string &attemptId)
{
    return {Wire::AttemptId, attemptId};
}

}
