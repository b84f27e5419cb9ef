#include "platform/clienttext.h"

#include "http/httpsyntax.h"
#include "platform/wirenames.h"

#include <algorithm>
#include <boost/locale/utf.hpp>

namespace Basilbend
{

namespace
{

constexpr const char *IdMeaning = " must be valid UTF-8 of at most 1024 bytes without control characters or spaces at its ends";
constexpr const char *BatchIdMeaning = "the id of the batch must be valid UTF-8 of at most 174 bytes without control characters or spaces at its ends";
constexpr const char *TargetMeaning = " must begin with a slash and hold neither spaces nor control characters";
constexpr const char *InvalidFieldName = "a header has a name that HTTP does not allow";
constexpr const char *HostMeaning = " must be valid UTF-8 without control characters or spaces at its ends";

bool isValidUtf8(std::string_view text)
{
    namespace Utf = boost::locale::utf;
    for (const char *it = text.data(), *end = it + text.size(); it != end;) {
        if (!Utf::is_valid_codepoint(Utf::utf_traits<char>::decode(it, end))) {
            return false;
        }
    }
    return true;
}

/// Whether the text survives as the value of a header field and as a JSON text.
bool isPortableText(std::string_view text)
{
    const bool hasOuterSpace = !text.empty() && (text.front() == ' ' || text.back() == ' ');
    return !hasOuterSpace && isFieldValue(text) && text.find('\t') == std::string_view::npos && isValidUtf8(text);
}

std::optional<std::string> invalidReward(const RewardRequest &reward)
{
    if (!isClientId(reward.id)) {
        return std::string("the id of the scorer") + IdMeaning;
    }
    if (!isPortableText(reward.host)) {
        return std::string("the host of the scorer") + HostMeaning;
    }
    if (!isRequestTarget(reward.path)) {
        return std::string("the path of the scorer") + TargetMeaning;
    }
    return std::nullopt;
}

}

bool isClientId(std::string_view text)
{
    return !text.empty() && text.size() <= MaxClientIdBytes && isPortableText(text);
}

bool isBatchId(std::string_view text)
{
    return isClientId(text) && text.size() <= MaxBatchIdBytes;
}

std::optional<std::string> invalidTextOf(const RequestMessage &message, const ClientRequest &request)
{
    if (!isRequestTarget(message.target)) {
        return std::string("the request target") + TargetMeaning;
    }
    if (!std::all_of(message.fields.begin(), message.fields.end(), [](const HttpField &field) { return isHttpToken(field.name); })) {
        return std::string(InvalidFieldName);
    }
    const auto isInvalid = [](const std::string &id) { return !id.empty() && !isClientId(id); };
    if (isInvalid(request.attemptId)) {
        return std::string(Wire::AttemptId) + IdMeaning;
    }
    if (isInvalid(request.resumedAttemptId)) {
        return std::string(Wire::Resumes) + IdMeaning;
    }
    if (!request.batchId.empty() && !isBatchId(request.batchId)) {
        return std::string(BatchIdMeaning);
    }
    if (isInvalid(request.itemId)) {
        return std::string("the id of the item") + IdMeaning;
    }
    if (!isPortableText(request.host)) {
        return std::string("the host") + HostMeaning;
    }
    return std::nullopt;
}

std::optional<std::string> invalidTextOf(const BatchItem &item)
{
    if (!isClientId(item.id)) {
        return std::string("its id") + IdMeaning;
    }
    if (!isRequestTarget(item.path)) {
        return std::string("its path") + TargetMeaning;
    }
    for (const auto &field : item.fields) {
        if (!isHttpToken(field.name)) {
            return std::string(InvalidFieldName);
        }
        if (!isFieldValue(field.value)) {
            return "its header " + field.name + " holds control characters";
        }
    }
    return item.reward ? invalidReward(*item.reward) : std::nullopt;
}

}
