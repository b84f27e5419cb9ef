#pragma once

// The only header that includes RESTinio, which takes long to compile.
#include <restinio/all.hpp>

#include <atomic>
#include <limits>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace Basilbend::Internal
{

/// State of one connection, shared with its responders.
struct ConnectionState {
    std::atomic<bool> open{true};
    /// Set when the first request arrives.
    std::weak_ptr<restinio::impl::connection_base_t> connection;
};

/// Closes a connection. RESTinio has no call for this, but it closes a connection on output for an unknown request identifier.
inline void closeConnection(restinio::impl::connection_base_t &connection)
{
    constexpr auto UnknownRequestId = std::numeric_limits<restinio::request_id_t>::max();
    connection.write_response_parts(UnknownRequestId,
                                    {restinio::response_parts_attr_t::final_parts, restinio::response_connection_attr_t::connection_close},
                                    restinio::write_group_t(restinio::writable_items_container_t()));
}

/// Tracks the state of all open connections.
class ConnectionListener
{
public:
    void state_changed(const restinio::connection_state::notice_t &notice) noexcept // NOLINT(readability-identifier-naming)
    {
        const std::lock_guard lock(m_mutex);
        if (restinio::holds_alternative<restinio::connection_state::accepted_t>(notice.cause())) {
            m_connections[notice.connection_id()] = std::make_shared<ConnectionState>();
        } else if (const auto it = m_connections.find(notice.connection_id()); it != m_connections.end()) {
            it->second->open = false;
            m_connections.erase(it);
        }
    }

    std::shared_ptr<ConnectionState> find(restinio::connection_id_t id, const restinio::impl::connection_handle_t &connection)
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_connections.find(id);
        if (it != m_connections.end()) {
            it->second->connection = connection;
            return it->second;
        }
        auto closed = std::make_shared<ConnectionState>();
        closed->open = false;
        return closed;
    }

    /// Closes all connections. Must be called while no thread runs the I/O context.
    void closeAll()
    {
        std::unordered_map<restinio::connection_id_t, std::shared_ptr<ConnectionState>> connections;
        {
            const std::lock_guard lock(m_mutex);
            connections.swap(m_connections);
        }
        for (auto &[id, state] : connections) {
            state->open = false;
            if (const auto connection = state->connection.lock()) {
                closeConnection(*connection);
            }
        }
    }

private:
    std::mutex m_mutex;
    std::unordered_map<restinio::connection_id_t, std::shared_ptr<ConnectionState>> m_connections;
};

struct ServerTraits : public restinio::default_traits_t {
    using connection_state_listener_t = ConnectionListener; // NOLINT(readability-identifier-naming)
    static constexpr bool use_connection_count_limiter = true; // NOLINT(readability-identifier-naming)
};

}
