#pragma once

#include "base/eventloop.h"
#include "catalog/endpointrecord.h"
#include "http/webclient.h"

#include <functional>
#include <memory>
#include <string>

namespace Basilbend
{

/// Finds out whether an endpoint still runs as the process that its record names. Asked after a response without a length has ended,
/// because only a running process can have meant to end it. Destroying the check cancels it.
class IdentityCheck
{
public:
    /// Called once, from the event loop. isSame: the endpoint has answered as the same process; otherwise it has not answered in time
    /// or another process has.
    using Callback = std::function<void(bool isSame)>;

    /// The client must outlive the check.
    IdentityCheck(WebClient &client, EventLoop loop, EndpointRecord endpoint, std::string healthPath);
    ~IdentityCheck();
    IdentityCheck(const IdentityCheck &) = delete;
    IdentityCheck &operator=(const IdentityCheck &) = delete;

    void start(Callback callback);

    /// Half of the two seconds without an event after which clients abandon a stream.
    static constexpr Milliseconds Timeout{1000};

private:
    struct Question;

    static void ask(const std::shared_ptr<Question> &question);
    static void finish(const std::shared_ptr<Question> &question, bool isSame);

    std::shared_ptr<Question> m_question;
};

}
