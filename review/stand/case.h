#pragma once

#include "base/random.h"
#include "http/asioeventloop.h"
#include "http/socketoptions.h"
#include "http/webclient.h"
#include "platform/wirenames.h"
#include "stand/rawserver.h"
#include "stand/system.h"

#include <asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Basilbend::Review
{

/// Exit codes of a case.
constexpr int RuleHeld = 0;
constexpr int RuleBroken = 1;
constexpr int CouldNotRun = 2;

/// What all cases need: an event loop, the record, the platform and a client for consumers.
class Case
{
public:
    explicit Case(const std::string &recordFile, const std::string &directory);

    using AnswerHook = std::function<void(int status, const ResponseHead &head, const std::string &body)>;

    /// Sends a request of a consumer. The status is 0 when the channel ends without a complete answer or the time is over.
    void send(const std::string &address, const RequestMessage &request, Milliseconds timeout, AnswerHook hook);

    /// Calls the hook once all gateways are ready; ends the case when that takes too long.
    void whenReady(const std::vector<Node> &nodes, std::function<void()> hook);

    /// Runs the event loop until finish() is called. Returns the exit code.
    int run(Milliseconds limit);
    void finish(int code);

    asio::io_context io;
    EventLoop loop;
    Record record;
    Platform platform;
    WebClient client;
    std::string directory;
    Random random;
    /// Whether the disruption is played.
    bool hasTrouble = true;

private:
    int m_code = CouldNotRun;
    std::uint64_t m_lastCall = 0;
    std::map<std::uint64_t, ClientCall> m_calls;
};

int runLateCopy(Case &test);
int runCutStream(Case &test, const std::string &program);
int runCutLive(Case &test, const std::string &program);

/// The process of a stand-in model replica, which serves until it is killed.
int serveEngine(std::uint16_t port, const std::string &id, const std::string &recordFile, double unframedShare);

}
