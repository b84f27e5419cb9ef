#pragma once

#include "http.h"

#include <chrono>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>

namespace Review
{

/// The platform's metadata store, as PROTOCOL.md describes it, without any disturbance.
class Store
{
public:
    Store();

    std::string address() const
    {
        return m_server.address();
    }

    /// Writes a key as the operator or a replica does.
    void put(const std::string &key, const std::string &value);
    void erase(const std::string &key);
    /// The value of a key; empty if there is none.
    std::string get(const std::string &key);
    /// Makes the store answer each call with 503, as while it is down.
    void setBusy(bool isBusy);
    bool isBusy();

private:
    using Clock = std::chrono::steady_clock;

    struct Item {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };

    struct Event {
        std::string key;
        bool isRemoval = false;
        Item item;
    };

    struct Lease {
        std::chrono::milliseconds span{0};
        Clock::time_point end;
    };

    void handle(Channel &channel, const Request &request);
    nlohmann::json itemObject(const std::string &key, const Item &item) const;
    nlohmann::json eventObject(const Event &event) const;
    void write(const std::string &key, const std::string &value, std::uint64_t lease);
    void remove(const std::string &key);
    void endLease(std::uint64_t lease);
    void expireLeases();
    void list(Channel &channel, const Request &request);
    void watch(Channel &channel, const Request &request);
    void commit(Channel &channel, const Request &request);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::deque<Event> m_history;
    std::map<std::uint64_t, Lease> m_leases;
    bool m_isBusy = false;
    std::uint64_t m_revision = 100;
    std::uint64_t m_lastLease = 0;
    Server m_server;
};

}
