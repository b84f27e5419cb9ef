#pragma once

#include "base/timestamp.h"
#include "net/httpserver.h"
#include "standins/faultswitches.h"

#include <deque>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace Basilbend
{

/// Stands in for one external system. Answers POST /faults and GET /stats itself. Has no sockets and no clock: the owner
/// passes requests and the time, one call at a time. All stand-ins have the switch slow_ms, which delays their work.
class StandIn
{
public:
    /// Faults names the further switches with their defaults.
    explicit StandIn(nlohmann::json faults);
    virtual ~StandIn();
    StandIn(const StandIn &) = delete;
    StandIn &operator=(const StandIn &) = delete;

    void handle(HttpRequest request, std::unique_ptr<HttpResponder> responder, Timestamp now);

    /// Does what is due. To be called every few milliseconds.
    void tick(Timestamp now);

    /// What the stand-in saw, for checks.
    virtual nlohmann::json stats() const = 0;

    FaultSwitches &faults();
    const FaultSwitches &faults() const;

    static HttpResponse jsonResponse(int status, const nlohmann::json &body);
    static HttpResponse errorResponse(const Error &error);

protected:
    /// Parses a body; throws nlohmann::json::exception when it is not JSON.
    static nlohmann::json parseBody(const HttpRequest &request);

    /// A number from the query, or the default where it is absent or not a number.
    static std::uint64_t queryNumber(const HttpRequest &request, const std::string &name, std::uint64_t defaultValue);

    /// A text from the query, empty where it is absent.
    static std::string queryText(const HttpRequest &request, const std::string &name);

    /// May throw nlohmann::json::exception, which is answered with status 400 when the responder is still there.
    virtual void serve(HttpRequest &request, std::unique_ptr<HttpResponder> &responder, Timestamp now) = 0;
    virtual void advance(Timestamp now);

private:
    struct Delayed {
        Timestamp due;
        HttpRequest request;
        std::unique_ptr<HttpResponder> responder;
    };
    void serveChecked(HttpRequest &request, std::unique_ptr<HttpResponder> responder, Timestamp now);

    FaultSwitches m_faults;
    std::deque<Delayed> m_delayed;
};

}
