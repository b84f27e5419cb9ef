#pragma once

#include "standins/standin.h"

#include <deque>
#include <map>

namespace Basilbend
{

/// Stand-in for a plain service: any method and path is executed and answered with what was received. The request id is
/// the field "request_id" of a JSON body, which no one on the way changes, or else the header x-request-id. Counts how often
/// each request id ran.
///
/// Fault switches: fail_before (the next n requests are cut before they run), fail_after (the next n requests run and are
/// cut without an answer), silent (the next n requests run and are never answered), work_ms (time that a request takes).
class PlainService : public StandIn
{
public:
    PlainService();

    nlohmann::json stats() const override;

protected:
    void serve(HttpRequest &request, std::unique_ptr<HttpResponder> &responder, Timestamp now) override;
    void advance(Timestamp now) override;

private:
    struct Working {
        Timestamp due;
        HttpResponse answer;
        std::unique_ptr<HttpResponder> responder;
    };

    std::map<std::string, std::uint64_t> m_executions;
    std::map<std::string, std::uint64_t> m_executionsByWorkspace;
    std::deque<Working> m_working;
    std::deque<std::unique_ptr<HttpResponder>> m_silent;
    std::uint64_t m_withKey = 0;
};

}
