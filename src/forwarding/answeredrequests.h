#pragma once

#include "base/timestamp.h"
#include "forwarding/announcedlimits.h"
#include "forwarding/requestfingerprint.h"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace Basilbend
{

/// Remembers the requests that endpoints have answered lately. Many clients send the same request again and again; if an endpoint crashes
/// under one that others have just answered, the request is hardly the cause.
class AnsweredRequests
{
public:
    void record(const RequestFingerprint &request, Timestamp now);

    /// Whether an answer speaks for the request after the crash of an endpoint. An answer speaks against one crash only, so that a request
    /// that endpoints no longer bear is soon suspected.
    bool excuses(const RequestFingerprint &request, const EndpointStart &crashed, Timestamp now);

    static constexpr std::size_t MaxRequests = 2048;
    static constexpr Milliseconds Retention{60000};

private:
    struct Answer {
        Timestamp at;
        /// The crash that the answer has excused.
        std::optional<std::string> excused;
    };

    std::map<RequestFingerprint, Answer> m_answers;
    /// In the order of their first answers.
    std::deque<RequestFingerprint> m_order;
};

}
