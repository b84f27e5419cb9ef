#pragma once

#include "base/eventloop.h"
#include "http/serverexchange.h"
#include "http/webclient.h"

#include <functional>
#include <memory>
#include <string>

namespace Basilbend
{

/// Asks another process of the system whether it wants to go on as leader. The question goes past the metadata store, because it is
/// asked when the lease has expired, which may be due to the store and not to the leader.
class LeaderProbe
{
public:
    LeaderProbe(WebClient &client, EventLoop loop);

    /// Passes true to the callback if the process answers within ResponseTimeout that it goes on; false otherwise. The callback is
    /// called once.
    void ask(const std::string &address, std::function<void(bool)> callback);

    /// Answers the question of another process.
    static void answer(ServerExchange &exchange, bool wantsToContinue);

    static constexpr const char *Path = "/leader";
    static constexpr Milliseconds ResponseTimeout{120};

private:
    struct Question;

    static void finish(const std::shared_ptr<Question> &question, bool wantsToContinue);

    WebClient &m_client;
    EventLoop m_loop;
};

}
