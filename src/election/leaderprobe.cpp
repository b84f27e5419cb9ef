#include "election/leaderprobe.h"

#include "http/socketoptions.h"

namespace Basilbend
{

namespace
{

constexpr int ContinuingStatus = 200;
constexpr int NotContinuingStatus = 404;

}

struct LeaderProbe::Question {
    std::function<void(bool)> callback;
    ClientCall call;
    int status = 0;
};

LeaderProbe::LeaderProbe(WebClient &client, EventLoop loop)
    : m_client(client)
    , m_loop(std::move(loop))
{
}

void LeaderProbe::ask(const std::string &address, std::function<void(bool)> callback)
{
    auto question = std::make_shared<Question>();
    question->callback = std::move(callback);
    CallHooks hooks;
    hooks.onHead = [question](const ResponseHead &head) { question->status = head.status; };
    hooks.onBody = [](std::string_view) {};
    hooks.onEnd = [question](CallOutcome outcome) { finish(question, outcome == CallOutcome::Complete && question->status == ContinuingStatus); };
    question->call = m_client.send(parseSocketEndpoint(address), {"GET", Path, {{"Host", address}}, {}}, std::move(hooks), ResponseTimeout);
    m_loop.runAfter(ResponseTimeout, [question] {
        question->call.cancel();
        finish(question, false);
    });
}

void LeaderProbe::finish(const std::shared_ptr<Question> &question, bool wantsToContinue)
{
    if (const auto callback = std::move(question->callback)) {
        question->callback = nullptr;
        callback(wantsToContinue);
    }
}

void LeaderProbe::answer(ServerExchange &exchange, bool wantsToContinue)
{
    exchange.respond({wantsToContinue ? ContinuingStatus : NotContinuingStatus, {}, {}});
}

}
