#include "http/webserver.h"

#include "base/systemclock.h"
#include "http/socketoptions.h"

#include <utility>
#include <vector>

namespace Basilbend
{

namespace
{

/// Delay before the next accept after a failed one, for example when the process has no file descriptors left.
constexpr Milliseconds AcceptRetryDelay{50};

}

WebServer::WebServer(asio::io_context &io, const std::string &address, ServerHooks hooks)
    : m_hooks(std::move(hooks))
    , m_acceptor(io)
    , m_retryTimer(io)
{
    m_hooks.onClosed = [this](ServerSession *session) { m_sessions.erase(session); };
    const auto endpoint = parseSocketEndpoint(address);
    m_acceptor.open(endpoint.protocol());
    m_acceptor.set_option(asio::socket_base::reuse_address(true));
    m_acceptor.bind(endpoint);
    m_acceptor.listen();
    accept();
}

WebServer::~WebServer()
{
    *m_alive = false;
    m_hooks.onClosed = [](ServerSession *) {};
}

std::uint16_t WebServer::port() const
{
    return m_acceptor.local_endpoint().port();
}

void WebServer::accept()
{
    m_acceptor.async_accept([this, alive = m_alive](const asio::error_code &ec, asio::ip::tcp::socket socket) {
        if (!*alive || ec == asio::error::operation_aborted) {
            return;
        }
        if (ec) {
            if (!std::exchange(m_hasAcceptFailed, true) && m_hooks.onAcceptFailed) {
                m_hooks.onAcceptFailed(ec);
            }
            m_retryTimer.expires_after(AcceptRetryDelay);
            m_retryTimer.async_wait([this, alive](const asio::error_code &timerError) {
                if (!timerError && *alive) {
                    accept();
                }
            });
            return;
        }
        m_hasAcceptFailed = false;
        if (m_hooks.budget != nullptr && !m_hooks.budget->makeRoom(systemNow())) {
            // All connections are being served; the new one is closed.
            accept();
            return;
        }
        const auto session = std::make_shared<ServerSession>(std::move(socket), m_hooks);
        m_sessions.emplace(session.get(), session);
        session->start();
        accept();
    });
}

void WebServer::stopAccepting()
{
    asio::error_code ec;
    m_acceptor.close(ec);
}

void WebServer::closeIdleSessions()
{
    std::vector<std::shared_ptr<ServerSession>> sessions;
    for (const auto &[key, session] : m_sessions) {
        if (auto open = session.lock()) {
            sessions.push_back(std::move(open));
        }
    }
    for (const auto &session : sessions) {
        session->closeIfIdle();
    }
}

std::size_t WebServer::sessionCount() const
{
    return m_sessions.size();
}

std::size_t WebServer::busySessionCount() const
{
    std::size_t n = 0;
    for (const auto &[key, session] : m_sessions) {
        const auto open = session.lock();
        n += open && open->isBusy() ? 1 : 0;
    }
    return n;
}

}
