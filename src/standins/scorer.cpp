#include "standins/scorer.h"

#include "base/random.h"

#include <xxhash.h>

namespace Basilbend
{

Scorer::Scorer()
    : StandIn(nlohmann::json::object())
{
}

nlohmann::json Scorer::stats() const
{
    return {{"scored", m_scored}};
}

double Scorer::score(const std::string &text)
{
    return Random(XXH3_64bits(text.data(), text.size())).unit();
}

void Scorer::serve(HttpRequest &request, std::unique_ptr<HttpResponder> &responder, Timestamp)
{
    if (request.path != "/score" || request.method != "POST") {
        responder->respond(errorResponse({ResultCode::UnknownPath, request.method + " " + request.path}));
        return;
    }
    const auto text = parseBody(request).at("text").get<std::string>();
    ++m_scored;
    responder->respond(jsonResponse(200, {{"score", score(text)}}));
}

}
