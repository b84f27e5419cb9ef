#pragma once

#include "http/webserver.h"
#include "metadata/fakemetadatastore.h"
#include "metadata/feedhub.h"

#include <algorithm>
#include <asio/io_context.hpp>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Basilbend
{

inline constexpr const char *FollowedPrefix = "op/";

/// A process with one feed that serves followers and follows the given peers.
struct FeedProcess {
    FeedProcess(asio::io_context &io, VirtualTime &time, MetadataStore &store, const std::string &name, std::vector<std::string> peers)
        : log(
            EventLogSettings(), [&time] { return time.now(); }, [](std::string_view bytes) { return bytes.size(); })
        , client(io, [&time] { return time.now(); })
        , hub(virtualLoop(time), log)
        , feed(store, virtualLoop(time), FollowedPrefix, Milliseconds(2500), hooks())
        , server(io, "127.0.0.1:0", defaultServerHooks([this](const std::shared_ptr<ServerExchange> &exchange) {
                     if (!isPaused) {
                         hub.serve(exchange);
                     }
                 }))
    {
        hub.add(FollowedPrefix, feed);
        feed.setFollower(std::make_unique<FeedFollower>(client, virtualLoop(time), log, std::move(peers), name));
        feed.start();
    }

    PrefixFeedHooks hooks()
    {
        PrefixFeedHooks result;
        result.onSnapshot = [this](const std::vector<MetadataItem> &items) {
            copy.clear();
            for (const auto &item : items) {
                copy[item.key] = item.value;
            }
            hub.recordSnapshot(FollowedPrefix);
        };
        result.onChange = [this](const MetadataItem &item) {
            if (item.isRemoval) {
                copy.erase(item.key);
            } else {
                copy[item.key] = item.value;
            }
            hub.recordChange(FollowedPrefix, item);
        };
        result.onReachabilityChanged = [](bool) {};
        result.onGapClosed = [this](std::size_t) { hub.recordSnapshot(FollowedPrefix); };
        result.onAdvanced = [this] {
            if (!isPaused) {
                hub.publishUpdates(FollowedPrefix);
            }
        };
        return result;
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(server.port());
    }

    EventLog log;
    WebClient client;
    FeedHub hub;
    PrefixFeed feed;
    WebServer server;
    std::map<std::string, std::string> copy;
    /// The process neither answers requests nor sends updates, as if it were suspended.
    bool isPaused = false;
};

struct FleetFixture {
    asio::io_context io;
    VirtualTime time{Timestamp(1'000'000)};
    FakeMetadataStore store{time};
    std::unique_ptr<FeedProcess> hub = std::make_unique<FeedProcess>(io, time, store, "hub", std::vector<std::string>());
    std::deque<std::unique_ptr<FeedProcess>> followers;

    void addFollowers(std::size_t n)
    {
        for (std::size_t i = 0; i < n; ++i) {
            followers.push_back(std::make_unique<FeedProcess>(io, time, store, "follower-" + std::to_string(i), std::vector<std::string>{hub->address()}));
        }
    }

    void run(int ms)
    {
        for (int i = 0; i < ms; i += 10) {
            io.restart();
            io.poll();
            time.advance(Milliseconds(10));
            io.restart();
            io.poll();
        }
    }

    /// Delivers all pending network data without advancing the time.
    void deliver()
    {
        for (int i = 0; i < 20; ++i) {
            io.restart();
            io.poll();
        }
    }

    std::size_t followingCount() const
    {
        return static_cast<std::size_t>(
            std::count_if(followers.begin(), followers.end(), [](const auto &process) { return !process->feed.isWatchingStore(); }));
    }

    Milliseconds oldestAge() const
    {
        Milliseconds oldest{0};
        for (const auto &process : followers) {
            oldest = std::max(oldest, time.now() - *process->feed.verifiedAt());
        }
        return oldest;
    }
};

}
