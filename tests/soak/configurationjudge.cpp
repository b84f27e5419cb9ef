#include "soak/configurationjudge.h"

#include "base/resultcode.h"
#include "http/socketoptions.h"

#include <memory>
#include <nlohmann/json.hpp>

namespace Basilbend
{

namespace
{

/// Longest time from the acknowledgement of a configuration to the first request that must be handled by it.
constexpr Milliseconds Bound{2000};
/// Time after a fault from which the bound holds.
constexpr Milliseconds ContactTime{3000};
constexpr Milliseconds AskInterval{150};
constexpr Milliseconds ConnectTimeout{300};
constexpr Milliseconds AnswerTimeout{1500};

/// Returns the code of a rejection, or zero.
int codeOf(const std::string &body)
{
    const auto object = nlohmann::json::parse(body, nullptr, false);
    return object.is_object() ? object.value("code", 0) : 0;
}

}

ConfigurationJudge::ConfigurationJudge(asio::io_context &io, EventLoop loop, InvariantChecker &checker, SoakSystem &system)
    : m_loop(std::move(loop))
    , m_checker(checker)
    , m_system(system)
    , m_client(io, m_loop.now)
{
}

void ConfigurationJudge::start(Milliseconds interval)
{
    m_isStopped = false;
    changeLater(interval);
    askAll();
}

void ConfigurationJudge::stop()
{
    m_isStopped = true;
}

void ConfigurationJudge::changeLater(Milliseconds interval)
{
    m_loop.runAfter(interval, [this, interval] {
        if (!m_isStopped) {
            m_system.publishConfiguration();
            changeLater(interval);
        }
    });
}

void ConfigurationJudge::askAll()
{
    if (m_isStopped) {
        return;
    }
    const auto *published = m_system.configurationPublishedBefore(m_loop.now() - Bound);
    for (auto &node : m_system.nodes()) {
        if (published == nullptr || !node.clientProxy || !m_system.isCalm(node, ContactTime)) {
            continue;
        }
        const auto age = m_loop.now() - published->at;
        ask(node, {node.name, published->number, age, false}, SoakSystem::addedPath(published->number));
        ask(node, {node.name, published->number, age, true}, SoakSystem::passingPath(published->number - 1));
    }
    m_loop.runAfter(AskInterval, [this] { askAll(); });
}

void ConfigurationJudge::ask(SoakNode &node, Probe probe, const std::string &path)
{
    const auto answer = std::make_shared<Probe>(std::move(probe));
    const auto number = ++m_lastCall;
    CallHooks hooks;
    hooks.onHead = [answer](const ResponseHead &head) { answer->status = head.status; };
    hooks.onBody = [answer](std::string_view data) { answer->body.append(data); };
    hooks.onEnd = [this, &node, answer, number](CallOutcome outcome) {
        m_calls.erase(number);
        if (outcome == CallOutcome::Complete) {
            judge(node, *answer);
        }
    };
    const RequestMessage request{"GET", path + "x", {{"Host", SoakSystem::Host}}, {}};
    m_calls[number] = m_client.send(parseSocketEndpoint(node.clientProxy->address()), request, std::move(hooks), ConnectTimeout);
    m_loop.runAfter(AnswerTimeout, [this, number] { m_calls.erase(number); });
}

void ConfigurationJudge::judge(const SoakNode &node, const Probe &probe)
{
    if (!m_system.isCalm(node, ContactTime)) {
        return;
    }
    ++m_judgedCount;
    const auto code = codeOf(probe.body);
    const bool isBehind = probe.isOfDroppedRoute ? probe.status != 404 && code != static_cast<int>(ResultCode::ConfigurationNotFresh) : probe.status == 404;
    m_checker.expect(!isBehind,
                     probe.gateway + (probe.isOfDroppedRoute ? " knows a route that configuration " : " denies a route of configuration ")
                         + std::to_string(probe.configuration) + (probe.isOfDroppedRoute ? " dropped, acknowledged " : ", acknowledged ")
                         + std::to_string(probe.age.count()) + " ms before the request");
}

}
