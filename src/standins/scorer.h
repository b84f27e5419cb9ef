#pragma once

#include "standins/standin.h"

namespace Basilbend
{

/// Stand-in for a scorer: POST /score {text} gives a score in [0, 1) that depends on the text only.
class Scorer : public StandIn
{
public:
    Scorer();

    nlohmann::json stats() const override;
    static double score(const std::string &text);

protected:
    void serve(HttpRequest &request, std::unique_ptr<HttpResponder> &responder, Timestamp now) override;

private:
    std::uint64_t m_scored = 0;
};

}
