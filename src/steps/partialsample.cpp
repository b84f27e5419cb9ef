#include "steps/partialsample.h"

namespace Basilbend
{

PartialSample::PartialSample(SampleBody prefix)
    : m_body(std::move(prefix))
    , m_verifiedBytes(m_body.text.size())
    , m_verifiedTokens(m_body.tokens)
{
}

void PartialSample::append(std::string_view text, std::uint64_t tokens, std::uint64_t version, bool verified)
{
    appendVersion(m_body.versions, version, m_body.tokens);
    m_body.text += text;
    m_body.tokens += tokens;
    m_unknown = m_unknown || version == 0;
    if (verified && !m_unknown) {
        m_verifiedBytes = m_body.text.size();
        m_verifiedTokens = m_body.tokens;
    }
}

const SampleBody &PartialSample::body() const
{
    return m_body;
}

SampleBody PartialSample::verifiedBody() const
{
    SampleBody verified{m_body.text.substr(0, m_verifiedBytes), m_verifiedTokens, m_body.versions, {}};
    while (!verified.versions.empty() && verified.versions.back().firstToken >= m_verifiedTokens) {
        verified.versions.pop_back();
    }
    return verified;
}

}
