#include "gateway/gatewayprocess.h"
#include "http/versionedendpoint.h"
#include "metadata/heldfeedstore.h"

#include <boost/test/unit_test.hpp>
#include <optional>
#include <set>

using namespace Basilbend;

namespace
{

constexpr const char *ConfigurationText =
    R"({"version":7,"services":[{"name":"s"}],"tenants":[{"name":"w","api_keys":["k"]},{"name":"v","api_keys":["kv"]}],"routes":[
 {"name":"kept","host":"a.example","path_prefix":"/kept/","kind":"streaming","resumable":true,"timeout_ms":9000,"target_latency_ms":400,"service":"s",
  "attempts":4}]})";

/// A client's stream, joined over its attempts.
struct JoinedStream {
    int status = 0;
    std::string body;
    std::optional<CallOutcome> outcome;

    std::uint64_t events() const
    {
        std::uint64_t n = 0;
        for (auto at = body.find("data: "); at != std::string::npos; at = body.find("data: ", at + 1)) {
            ++n;
        }
        return n;
    }

    std::set<std::string> versions() const
    {
        std::set<std::string> versions;
        for (auto at = body.find("data: "); at != std::string::npos; at = body.find("data: ", at + 1)) {
            versions.insert(body.substr(at + 6, body.find('\n', at) - at - 6));
        }
        return versions;
    }
};

/// Gateways before endpoints of two software versions.
struct VersionFixture {
    asio::io_context io;
    VirtualTime time{Timestamp(1'000'000)};
    FakeMetadataStore store{time};
    std::vector<std::unique_ptr<VersionedEndpoint>> oldOnes;
    std::vector<std::unique_ptr<VersionedEndpoint>> newOnes;
    std::vector<std::unique_ptr<GatewayProcess>> gateways;
    /// Their timers may still be set.
    std::vector<std::unique_ptr<GatewayProcess>> ended;
    WebClient client{io, systemNow};
    ClientCall call;
    JoinedStream stream;
    int attempts = 0;

    VersionFixture()
    {
        store.put("op/config", ConfigurationText);
        add(oldOnes, "old");
        startGateways();
    }

    void add(std::vector<std::unique_ptr<VersionedEndpoint>> &endpoints, const std::string &version, int n = 2, const std::string &zone = "z")
    {
        for (int i = 0; i < n; ++i) {
            endpoints.push_back(std::make_unique<VersionedEndpoint>(io, time, store, version + "-" + std::to_string(endpoints.size()), version, zone));
        }
    }

    /// Ends all gateways at once and starts others.
    void startGateways()
    {
        call = {};
        for (auto &gateway : gateways) {
            gateway->server.stopAccepting();
            ended.push_back(std::move(gateway));
        }
        gateways.clear();
        for (int i = 0; i < 2; ++i) {
            gateways.push_back(std::make_unique<GatewayProcess>(io, time, store));
        }
        run(200);
    }

    /// Endpoints in the zone of the gateways, "z", are preferred.
    void release(const std::string &zone = "z")
    {
        add(newOnes, "new", 2, zone);
        run(200);
    }

    void removeAll(std::vector<std::unique_ptr<VersionedEndpoint>> &endpoints)
    {
        for (const auto &endpoint : endpoints) {
            endpoint->leave();
        }
        run(200);
    }

    void breakOff()
    {
        for (const auto *endpoints : {&oldOnes, &newOnes}) {
            for (const auto &endpoint : *endpoints) {
                endpoint->breakOff();
            }
        }
    }

    static std::string attemptId(int n)
    {
        return "r-" + std::to_string(n);
    }

    /// Begins a stream, or takes it up after its last event. resumes: the attempt that the client names; nullopt: none.
    void send(std::size_t gateway, const std::optional<std::string> &resumes = std::nullopt, const std::string &key = "k")
    {
        RequestMessage request{"POST",
                               "/kept/a",
                               {{"Host", "a.example"}, {"X-Api-Key", key}, {"Basilbend-Attempt-Id", attemptId(++attempts)}, {"Basilbend-Deadline-Ms", "9000"}},
                               "b"};
        if (stream.events() > 0) {
            request.fields.set("Last-Event-Id", std::to_string(stream.events()));
        }
        if (resumes) {
            request.fields.set("Resumes", *resumes);
        }
        stream.status = 0;
        stream.outcome.reset();
        CallHooks hooks;
        hooks.onHead = [this](const ResponseHead &head) { stream.status = head.status; };
        hooks.onBody = [this](std::string_view data) {
            if (stream.status == 200) {
                stream.body.append(data);
            }
        };
        hooks.onEnd = [this](CallOutcome outcome) { stream.outcome = outcome; };
        call = client.send({asio::ip::make_address("127.0.0.1"), gateways.at(gateway)->server.port()}, request, std::move(hooks), Milliseconds(500));
    }

    void run(int ms)
    {
        for (int i = 0; i < ms; i += 10) {
            io.restart();
            io.run_for(std::chrono::milliseconds(2));
            time.advance(Milliseconds(10));
        }
    }

    bool isComplete() const
    {
        return stream.outcome == CallOutcome::Complete && stream.status == 200 && stream.events() == VersionedEndpoint::EventCount;
    }
};

/// The second gateway is out of step with the store at times, after both have seen one version alone for long.
struct OutOfStepFixture : VersionFixture {
    HeldFeedStore heldStore{store, "servers/"};

    OutOfStepFixture()
    {
        ended.push_back(std::move(gateways[1]));
        gateways[1] = std::make_unique<GatewayProcess>(io, time, heldStore);
        run(200);
        time.advance(ServiceVersions::SettleTime + Milliseconds(1000));
        run(200);
    }

    ~OutOfStepFixture()
    {
        // The gateway uses the held store, which is destroyed before the base class.
        gateways.clear();
    }
};

}

BOOST_AUTO_TEST_SUITE(gateway, *boost::unit_test::label("gateway"))

// Guards against a response that joins events of two software versions.
BOOST_FIXTURE_TEST_CASE(a_broken_stream_goes_on_only_at_the_software_version_that_began_it, VersionFixture)
{
    oldOnes[1]->leave();
    add(newOnes, "new", 1);
    run(200);
    for (int i = 0; i < 6; ++i) {
        stream = {};
        send(0);
        run(200);
        breakOff();
        run(1500);
        BOOST_TEST(stream.versions().size() == 1);
        BOOST_TEST(isComplete());
    }
}

// Guards against a stream that another version completes because the last endpoint of its own has left.
BOOST_FIXTURE_TEST_CASE(a_stream_breaks_off_when_no_endpoint_of_its_version_is_left, VersionFixture)
{
    send(0);
    release();
    for (const auto &endpoint : oldOnes) {
        endpoint->leave();
    }
    run(100);
    breakOff();
    run(1500);
    BOOST_TEST((stream.versions() == std::set<std::string>{"old"}));
    BOOST_TEST((stream.outcome == CallOutcome::Broken));
}

// Guards against take-ups that join two versions after all gateways were killed at the start of a release.
BOOST_FIXTURE_TEST_CASE(a_stream_taken_up_after_all_gateways_were_killed_goes_on_at_its_version, VersionFixture)
{
    send(0);
    run(200);
    release();
    breakOff();
    startGateways();
    send(1, attemptId(1));
    run(1500);
    BOOST_TEST((stream.versions() == std::set<std::string>{"old"}));
    BOOST_TEST(isComplete());
}

// Guards against a 200 with a joined text when the servers of the old version have just left.
BOOST_FIXTURE_TEST_CASE(a_stream_whose_version_has_left_is_not_taken_up_by_another_one, VersionFixture)
{
    send(0);
    run(200);
    release();
    breakOff();
    removeAll(oldOnes);
    startGateways();
    send(1, attemptId(1));
    run(500);
    BOOST_TEST(stream.status == 503);
    BOOST_TEST((stream.versions() == std::set<std::string>{"old"}));
}

// Guards against take-ups of streams that the new version began, which go on at the old one after a roll-back.
BOOST_FIXTURE_TEST_CASE(a_stream_of_the_new_version_is_taken_up_there_only, VersionFixture)
{
    release("y");
    for (const auto &endpoint : oldOnes) {
        endpoint->leave();
    }
    run(200);
    send(0);
    run(200);
    BOOST_TEST((stream.versions() == std::set<std::string>{"new"}));
    breakOff();
    for (const auto &endpoint : oldOnes) {
        endpoint->enter();
    }
    startGateways();
    send(1, attemptId(1));
    run(1500);
    BOOST_TEST((stream.versions() == std::set<std::string>{"new"}));
    BOOST_TEST(isComplete());
}

// Guards against a take-up that names an attempt which was itself a take-up.
BOOST_FIXTURE_TEST_CASE(a_take_up_of_a_take_up_goes_on_at_the_version_of_the_stream, VersionFixture)
{
    release("y");
    removeAll(oldOnes);
    send(0);
    run(150);
    breakOff();
    // The gateway's own resumption is stopped by its client.
    call = {};
    send(1, attemptId(1));
    run(150);
    call = {};
    for (const auto &endpoint : oldOnes) {
        endpoint->enter();
    }
    run(200);
    send(0, attemptId(2));
    run(1500);
    BOOST_TEST((stream.versions() == std::set<std::string>{"new"}));
    BOOST_TEST(isComplete());
}

// Guards against a guess where nothing tells which version began the stream.
BOOST_FIXTURE_TEST_CASE(a_take_up_that_names_no_attempt_or_a_foreign_one_is_not_guessed, VersionFixture)
{
    release();
    removeAll(oldOnes);
    send(0);
    run(200);
    breakOff();
    call = {};
    for (const auto &endpoint : oldOnes) {
        endpoint->enter();
    }
    run(200);
    send(1);
    run(300);
    BOOST_TEST(stream.status == 503);
    send(1, attemptId(1), "kv");
    run(300);
    BOOST_TEST(stream.status == 503);
}

// Guards against one write to the store for each stream while one version alone serves.
BOOST_FIXTURE_TEST_CASE(streams_of_the_only_version_are_not_recorded, VersionFixture)
{
    for (int i = 0; i < 5; ++i) {
        stream = {};
        send(0);
        run(700);
        BOOST_TEST(isComplete());
    }
    BOOST_TEST(store.keysBelow("stream/origin/").empty());
    BOOST_TEST(store.keysBelow("stream/base/").size() == 1);
}

// Guards against records for each stream for good after a release.
BOOST_FIXTURE_TEST_CASE(the_new_version_becomes_the_base_when_no_stream_of_the_old_one_can_last, VersionFixture)
{
    release();
    removeAll(oldOnes);
    BOOST_TEST(store.peek("stream/base/s")->value == "old");
    time.advance(ServiceVersions::SettleTime);
    gateways[0]->context.origins.update();
    run(100);
    BOOST_TEST(store.peek("stream/base/s")->value == "new");
    send(0);
    run(700);
    BOOST_TEST(isComplete());
    BOOST_TEST(store.keysBelow("stream/origin/").empty());
}

// Guards against streams of the new version that no record tells from those of the base version because the store is away.
BOOST_FIXTURE_TEST_CASE(streams_begin_at_the_base_version_while_the_store_is_away, VersionFixture)
{
    release();
    store.faults.refuses = true;
    for (int i = 0; i < 6; ++i) {
        stream = {};
        send(static_cast<std::size_t>(i % 2));
        run(700);
        BOOST_TEST((stream.versions() == std::set<std::string>{"old"}));
    }
    BOOST_TEST(newOnes[0]->runs + newOnes[1]->runs == 0);
}

// Guards against a stream of the new version that goes on at the old one, at a gateway that has not heard of the new version yet.
BOOST_FIXTURE_TEST_CASE(a_take_up_at_a_gateway_that_is_out_of_step_does_not_join_versions, OutOfStepFixture)
{
    heldStore.isHeld = true;
    add(newOnes, "new");
    for (int i = 0; i < 20 && stream.versions() != std::set<std::string>{"new"}; ++i) {
        stream = {};
        send(0);
        run(200);
    }
    BOOST_REQUIRE((stream.versions() == std::set<std::string>{"new"}));
    const auto begun = attemptId(attempts);
    call = {};
    send(1, begun);
    run(500);
    BOOST_TEST(stream.status == 503);
    heldStore.release();
    run(200);
    send(1, begun);
    run(1500);
    BOOST_TEST((stream.versions() == std::set<std::string>{"new"}));
    BOOST_TEST(isComplete());
}

// Guards against take-ups that a gateway out of step refuses though the version of the stream serves.
BOOST_FIXTURE_TEST_CASE(a_take_up_of_the_known_version_goes_on_at_a_gateway_that_is_out_of_step, OutOfStepFixture)
{
    heldStore.isHeld = true;
    send(0);
    run(200);
    call = {};
    send(1, attemptId(1));
    run(1500);
    BOOST_TEST((stream.versions() == std::set<std::string>{"old"}));
    BOOST_TEST(isComplete());
}

// Guards against a guess from an old list when the client names no attempt.
BOOST_FIXTURE_TEST_CASE(a_take_up_that_names_no_attempt_is_refused_by_a_gateway_that_is_out_of_step, OutOfStepFixture)
{
    heldStore.isHeld = true;
    send(0);
    run(200);
    call = {};
    time.advance(StreamOrigins::MaxListAge);
    run(100);
    send(1);
    run(300);
    BOOST_TEST(stream.status == 503);
}

// Guards against a base version that is moved from an old list: streams without a record would count as of the version that has left.
BOOST_FIXTURE_TEST_CASE(a_gateway_that_is_out_of_step_does_not_move_the_base_version, OutOfStepFixture)
{
    // The new version becomes the base; then the release is taken back, and the second gateway sees no more than that.
    add(newOnes, "new");
    removeAll(oldOnes);
    time.advance(ServiceVersions::SettleTime);
    gateways[0]->context.origins.update();
    run(100);
    BOOST_TEST(store.peek("stream/base/s")->value == "new");
    for (const auto &endpoint : oldOnes) {
        endpoint->enter();
    }
    run(200);
    removeAll(newOnes);
    heldStore.isHeld = true;
    run(100);
    for (const auto &endpoint : newOnes) {
        endpoint->enter();
    }
    run(200);
    removeAll(oldOnes);
    time.advance(ServiceVersions::SettleTime + Milliseconds(1000));
    gateways[1]->context.origins.update();
    run(100);
    BOOST_TEST(store.peek("stream/base/s")->value == "new");
}

namespace
{

/// The store goes away after a release, so streams of the new version begin without a record.
struct OutageAfterReleaseFixture : VersionFixture {
    /// Lets the gateways see that the base version has been gone for the time.
    void finishRelease(Milliseconds goneFor)
    {
        release();
        removeAll(oldOnes);
        time.advance(goneFor);
        updateOrigins();
    }

    void updateOrigins()
    {
        for (const auto &gateway : gateways) {
            gateway->context.origins.update();
        }
        run(100);
    }

    /// The old version serves again.
    void rollBack()
    {
        for (const auto &endpoint : oldOnes) {
            endpoint->enter();
        }
        run(200);
    }
};

}

// Guards against a stream of the new version that began during an outage of the store and is taken up at the old version, which has
// joined again: a missing record was taken for the base version.
BOOST_FIXTURE_TEST_CASE(a_stream_that_began_without_a_record_is_not_taken_for_one_of_the_base_version, OutageAfterReleaseFixture)
{
    finishRelease(ServiceVersions::CloseDelay);
    store.faults.refuses = true;
    send(0);
    run(200);
    BOOST_REQUIRE((stream.versions() == std::set<std::string>{"new"}));
    startGateways();
    store.faults.refuses = false;
    run(1000);
    rollBack();
    send(1, attemptId(1));
    run(1500);
    BOOST_TEST(stream.status == 503);
    BOOST_TEST((stream.versions() == std::set<std::string>{"new"}));
}

// Guards against the loss of streams that began during an outage of the store, long after the store is back.
BOOST_FIXTURE_TEST_CASE(a_stream_that_began_without_a_record_is_recorded_when_the_store_is_back, OutageAfterReleaseFixture)
{
    finishRelease(ServiceVersions::CloseDelay);
    store.faults.refuses = true;
    send(0);
    run(150);
    BOOST_REQUIRE((stream.versions() == std::set<std::string>{"new"}));
    updateOrigins();
    BOOST_TEST(store.keysBelow("stream/origin/").empty());
    store.faults.refuses = false;
    updateOrigins();
    BOOST_TEST(store.keysBelow("stream/origin/").size() == 1);
    startGateways();
    rollBack();
    send(1, attemptId(1));
    run(1500);
    BOOST_TEST((stream.versions() == std::set<std::string>{"new"}));
    BOOST_TEST(isComplete());
}

// Guards against streams without a record while the store still says that such streams are of the base version, which has just left.
BOOST_FIXTURE_TEST_CASE(no_stream_begins_without_a_record_before_the_base_version_is_closed, OutageAfterReleaseFixture)
{
    finishRelease(Milliseconds(0));
    store.faults.refuses = true;
    send(0);
    run(500);
    BOOST_TEST(stream.status == 503);
    BOOST_TEST(newOnes[0]->runs + newOnes[1]->runs == 0);
    store.faults.refuses = false;
    stream = {};
    send(0);
    run(1500);
    BOOST_TEST(isComplete());
}

// Guards against running streams of the base version that are lost when it is closed.
BOOST_FIXTURE_TEST_CASE(streams_of_the_base_version_are_recorded_when_it_is_closed, OutageAfterReleaseFixture)
{
    for (const auto &endpoint : oldOnes) {
        endpoint->eventInterval = Milliseconds(500);
    }
    send(0);
    run(100);
    BOOST_REQUIRE((stream.versions() == std::set<std::string>{"old"}));
    BOOST_TEST(store.keysBelow("stream/origin/").empty());
    release();
    for (const auto &endpoint : oldOnes) {
        endpoint->leave();
    }
    run(static_cast<int>(ServiceVersions::CloseDelay.count()) + 100);
    updateOrigins();
    updateOrigins();
    BOOST_TEST((decodeStreamBase(store.peek("stream/base/s")->value) == StreamBase{"old", true}));
    BOOST_TEST(store.keysBelow("stream/origin/").size() == 1);
}

// Guards against a base version that is closed because its entries lapsed during an outage of the store.
BOOST_FIXTURE_TEST_CASE(a_base_version_that_is_back_in_time_stays_open, OutageAfterReleaseFixture)
{
    release();
    removeAll(oldOnes);
    time.advance(Milliseconds(2000));
    updateOrigins();
    for (const auto &endpoint : oldOnes) {
        endpoint->enter();
    }
    run(200);
    time.advance(ServiceVersions::CloseDelay * 2);
    updateOrigins();
    BOOST_TEST((decodeStreamBase(store.peek("stream/base/s")->value) == StreamBase{"old", false}));
}

BOOST_AUTO_TEST_SUITE_END()
