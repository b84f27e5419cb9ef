#include "stand/case.h"

#include "base/systemclock.h"

#include <cstdlib>

namespace Basilbend::Review
{

namespace
{

constexpr Milliseconds ConnectTimeout{1000};
constexpr Milliseconds ReadinessInterval{200};
constexpr Milliseconds ReadinessLimit{15000};

std::uint64_t drawSeed()
{
    return static_cast<std::uint64_t>(systemNow().milliseconds());
}

}

Case::Case(const std::string &recordFile, const std::string &workDirectory)
    : io(1)
    , loop(asioEventLoop(io))
    , record(recordFile)
    , platform(io, loop, record)
    , client(io, systemNow)
    , directory(workDirectory)
    , random(drawSeed())
{
    const char *trouble = std::getenv("TROUBLE");
    hasTrouble = trouble == nullptr || std::string(trouble) != "0";
    record.add(std::string("trouble ") + (hasTrouble ? "on" : "off"));
}

void Case::send(const std::string &address, const RequestMessage &request, Milliseconds timeout, AnswerHook hook)
{
    struct Answer {
        ResponseHead head;
        std::string body;
        bool isDone = false;
    };
    auto answer = std::make_shared<Answer>();
    const auto number = ++m_lastCall;
    const auto end = [this, answer, number, hook = std::move(hook)](bool isComplete) {
        if (!answer->isDone) {
            answer->isDone = true;
            loop.runAfter(Milliseconds(0), [this, number] { m_calls.erase(number); });
            hook(isComplete ? answer->head.status : 0, answer->head, answer->body);
        }
    };
    CallHooks hooks;
    hooks.onHead = [answer](const ResponseHead &head) { answer->head = head; };
    hooks.onBody = [answer](std::string_view data) { answer->body.append(data); };
    hooks.onEnd = [end](CallOutcome outcome) { end(outcome == CallOutcome::Complete); };
    m_calls[number] = client.send(parseSocketEndpoint(address), request, std::move(hooks), ConnectTimeout);
    loop.runAfter(timeout, [end] { end(false); });
}

void Case::whenReady(const std::vector<Node> &nodes, std::function<void()> hook)
{
    auto open = std::make_shared<int>(0);
    auto ready = std::make_shared<int>(0);
    for (const auto &node : nodes) {
        if (node.readiness.empty()) {
            continue;
        }
        ++*open;
        send(node.readiness,
             {"GET", Wire::ReadinessPath, {{"Host", node.readiness}}, {}},
             Milliseconds(1000),
             [=, &nodes](int status, const ResponseHead &, const std::string &) {
                 *ready += status == 200 ? 1 : 0;
                 if (--*open > 0) {
                     return;
                 }
                 const auto gateways = std::count_if(nodes.begin(), nodes.end(), [](const Node &n) { return !n.readiness.empty(); });
                 if (*ready == gateways) {
                     record.add("all gateways are ready");
                     hook();
                 } else if (record.elapsed() > ReadinessLimit) {
                     record.add("the gateways do not get ready");
                     finish(CouldNotRun);
                 } else {
                     loop.runAfter(ReadinessInterval, [this, &nodes, hook] { whenReady(nodes, hook); });
                 }
             });
    }
}

int Case::run(Milliseconds limit)
{
    loop.runAfter(limit, [this] {
        record.add("the time of the case is over");
        finish(CouldNotRun);
    });
    io.run();
    record.add("exit " + std::to_string(m_code));
    return m_code;
}

void Case::finish(int code)
{
    m_code = code;
    io.stop();
}

}
