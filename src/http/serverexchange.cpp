#include "http/serverexchange.h"

#include "http/serversession.h"

namespace Basilbend
{

ServerExchange::ServerExchange(std::weak_ptr<ServerSession> session, RequestMessage request)
    : m_session(std::move(session))
    , m_request(std::move(request))
{
}

bool ServerExchange::isOpen() const
{
    return !m_ended && !m_session.expired();
}

void ServerExchange::respond(const ResponseMessage &response)
{
    if (const auto session = m_session.lock(); session && !m_ended) {
        m_ended = true;
        const auto persistence = session->decidePersistence(*this);
        session->send(isHeadRequest() ? serializeBodiless({response.status, response.fields}, persistence) : serializeResponse(response, persistence));
        session->finishExchange();
    }
}

void ServerExchange::beginStream(const ResponseHead &head)
{
    if (const auto session = m_session.lock(); session && !m_ended) {
        m_hasBegun = true;
        const auto persistence = session->decidePersistence(*this);
        session->send(isHeadRequest() ? serializeBodiless(head, persistence) : serializeChunkedHead(head, persistence));
    }
}

void ServerExchange::sendChunk(std::string_view data)
{
    if (const auto session = m_session.lock(); session && !m_ended && !data.empty() && !isHeadRequest()) {
        session->send(serializeChunk(data));
    }
}

void ServerExchange::endStream()
{
    if (const auto session = m_session.lock(); session && !m_ended) {
        m_ended = true;
        if (!isHeadRequest()) {
            session->send(LastChunk);
        }
        session->finishExchange();
    }
}

void ServerExchange::abort()
{
    if (const auto session = m_session.lock(); session && !m_ended) {
        m_ended = true;
        session->closeNow();
    }
}

void ServerExchange::fail(const ResponseMessage &response)
{
    if (m_hasBegun) {
        abort();
        return;
    }
    closeAfterResponse();
    respond(response);
}

std::size_t ServerExchange::pendingBytes() const
{
    const auto session = m_session.lock();
    return session ? session->pendingBytes() : 0;
}

void ServerExchange::closeAfterResponse()
{
    m_closeAfterResponse = true;
}

}
