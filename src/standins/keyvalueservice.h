#pragma once

#include "standins/keyvaluetable.h"
#include "standins/standin.h"

#include <deque>
#include <map>

namespace Basilbend
{

/// Stand-in for the platform's key-value service. Counts its calls per second.
///
/// Fault switches: outage (connections are closed without an answer, nothing takes effect), refuse (status 503, nothing
/// takes effect), answer_lost (the next n writes take effect, then the connection is closed without an answer).
class KeyValueService : public StandIn
{
public:
    KeyValueService();

    nlohmann::json stats() const override;

protected:
    void serve(HttpRequest &request, std::unique_ptr<HttpResponder> &responder, Timestamp now) override;
    void advance(Timestamp now) override;

private:
    struct Watch {
        std::string prefix;
        std::uint64_t after = 0;
        Timestamp due;
        std::unique_ptr<HttpResponder> responder;
    };
    HttpResponse get(const std::string &key, Timestamp now);
    void write(const HttpRequest &request, HttpResponder &responder, Timestamp now);
    void answerWatches(Timestamp now);
    void count(const std::string &kind, Timestamp now);

    KeyValueTable m_table;
    std::deque<Watch> m_watches;
    std::map<std::string, std::uint64_t> m_calls;
    std::map<std::int64_t, std::uint64_t> m_callsPerSecond;
};

}
