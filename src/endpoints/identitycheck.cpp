#include "endpoints/identitycheck.h"

#include "forwarding/answerend.h"
#include "http/socketoptions.h"
#include "platform/endpointcalls.h"

#include <utility>

namespace Basilbend
{

namespace
{

constexpr Milliseconds ConnectTimeout{250};
constexpr std::size_t MaxAnswerBytes = 64 * 1024;
/// An endpoint may close idle connections at any time, so a question that ends unanswered is asked again.
constexpr int MaxQuestions = 3;

}

struct IdentityCheck::Question {
    WebClient &client;
    EventLoop loop;
    EndpointRecord endpoint;
    std::string healthPath;
    Callback callback = {};
    ResponseHead head = {};
    std::string body = {};
    int asked = 0;
    ClientCall call = {};
};

IdentityCheck::IdentityCheck(WebClient &client, EventLoop loop, EndpointRecord endpoint, std::string healthPath)
    : m_question(std::make_shared<Question>(Question{client, std::move(loop), std::move(endpoint), std::move(healthPath)}))
{
}

IdentityCheck::~IdentityCheck()
{
    m_question->callback = nullptr;
    m_question->call.cancel();
}

void IdentityCheck::start(Callback callback)
{
    m_question->callback = std::move(callback);
    ask(m_question);
    m_question->loop.runAfter(Timeout, [weak = std::weak_ptr<Question>(m_question)] {
        if (const auto question = weak.lock()) {
            finish(question, false);
        }
    });
}

void IdentityCheck::ask(const std::shared_ptr<Question> &question)
{
    ++question->asked;
    question->body.clear();
    const std::weak_ptr<Question> weak = question;
    CallHooks hooks;
    hooks.matchResponse = matchUnnamedResponse;
    hooks.maxBodyBytes = MaxAnswerBytes;
    hooks.onHead = [weak](const ResponseHead &head) {
        if (const auto open = weak.lock()) {
            open->head = head;
        }
    };
    hooks.onBody = [weak](std::string_view data) {
        if (const auto open = weak.lock()) {
            open->body.append(data);
        }
    };
    hooks.onEnd = [weak](CallOutcome outcome) {
        const auto open = weak.lock();
        if (!open) {
            return;
        }
        if (outcome == CallOutcome::ClosedUnanswered && open->asked < MaxQuestions) {
            ask(open);
            return;
        }
        // An answer to the question shows that its process runs, whatever ends it.
        const bool isAnswered = outcome == CallOutcome::Complete || outcome == CallOutcome::Unframed;
        finish(open, isAnswered && isSameStart(decodeIdentity(open->head, open->body), open->endpoint));
    };
    const auto request = makeIdentityRequest(question->endpoint, question->healthPath);
    question->call = question->client.send(parseSocketEndpoint(question->endpoint.address), request, std::move(hooks), ConnectTimeout);
}

void IdentityCheck::finish(const std::shared_ptr<Question> &question, bool isSame)
{
    if (const auto callback = std::exchange(question->callback, nullptr)) {
        question->call.cancel();
        callback(isSame);
    }
}

}
