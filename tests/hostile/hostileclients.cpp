#include "hostile/hostilecrowd.h"
#include "hostile/targetprocess.h"

#include <boost/test/unit_test.hpp>

/// Each test starts one process of the system with the memory of the smallest host and sends it clients that keep to no limit. It
/// guards against a process that ends, outgrows its host or stops serving ordinary clients.
BOOST_AUTO_TEST_SUITE(hostileclients)

namespace
{

using namespace Basilbend;

constexpr std::size_t HeadBytes = 15 * 1024;

/// Requests sent ahead whose responses are longer than the requests.
CrowdPlan requestsAhead(const std::string &target)
{
    CrowdPlan plan;
    plan.connections = 40;
    plan.repeated = "GET " + target + " HTTP/1.1\r\nHost: x\r\n\r\n";
    plan.maxBytes = 3 * 1024 * 1024;
    return plan;
}

/// Heads below the limit in bytes that do not end, with fields of a few bytes each.
CrowdPlan openHeadsOfShortFields()
{
    CrowdPlan plan;
    plan.connections = 500;
    plan.opening = "GET / HTTP/1.1\r\nHost: x\r\n";
    while (plan.opening.size() < HeadBytes) {
        plan.opening += "a:\r\n";
    }
    return plan;
}

/// Whole requests with fields without a value and names of odd characters, sent ahead.
CrowdPlan oddFieldsAhead(const std::string &target)
{
    CrowdPlan plan;
    plan.connections = 200;
    plan.repeated = "GET " + target + " HTTP/1.1\r\nHost: crowd.example\r\nX-Api-Key: crowd-key\r\n";
    for (int i = 0; plan.repeated.size() < HeadBytes; ++i) {
        plan.repeated += std::string(1, "!#$%&'*+-.^_`|~"[i % 15]) + ":\r\n";
    }
    plan.repeated += "\r\n";
    plan.maxBytes = 256 * 1024;
    return plan;
}

/// Bodies that are announced but never sent whole.
CrowdPlan openBodies()
{
    CrowdPlan plan;
    plan.connections = 40;
    plan.opening = "POST /status/1 HTTP/1.1\r\nHost: crowd.example\r\nX-Api-Key: crowd-key\r\nContent-Length: 30000000\r\n\r\n";
    plan.repeated = std::string(16 * 1024, 'x');
    plan.maxBytes = 8 * 1024 * 1024;
    return plan;
}

void checkSurvives(const std::string &role, Listener listener, const std::vector<CrowdPlan> &plans)
{
    asio::io_context io;
    TargetProcess target(io, role);
    target.checkServes();
    {
        std::vector<std::unique_ptr<HostileCrowd>> crowds;
        crowds.reserve(plans.size());
        for (const auto &plan : plans) {
            crowds.push_back(std::make_unique<HostileCrowd>(io, target.addressOf(listener), plan));
        }
        for (const auto &crowd : crowds) {
            crowd->run();
        }
        target.checkLimits();
    }
    target.checkServes();
    target.checkLimits();
}

}

BOOST_AUTO_TEST_CASE(a_gateway_bears_requests_ahead_at_paths_without_a_route)
{
    checkSurvives("gateway", Listener::Clients, {requestsAhead("/none")});
}

BOOST_AUTO_TEST_CASE(a_gateway_bears_requests_ahead_at_the_readiness_path_of_the_address_for_clients)
{
    checkSurvives("gateway", Listener::Clients, {requestsAhead("/-/readiness")});
}

BOOST_AUTO_TEST_CASE(a_gateway_bears_requests_ahead_at_the_readiness_path)
{
    checkSurvives("gateway", Listener::Readiness, {requestsAhead("/-/readiness")});
}

BOOST_AUTO_TEST_CASE(a_gateway_bears_requests_ahead_at_unknown_paths_of_the_readiness_address)
{
    checkSurvives("gateway", Listener::Readiness, {requestsAhead("/none")});
}

BOOST_AUTO_TEST_CASE(a_gateway_bears_requests_ahead_at_unknown_paths_of_the_address_for_processes)
{
    checkSurvives("gateway", Listener::Processes, {requestsAhead("/none")});
}

BOOST_AUTO_TEST_CASE(a_gateway_bears_requests_ahead_at_the_metrics_address)
{
    checkSurvives("gateway", Listener::Metrics, {requestsAhead("/metrics"), requestsAhead("/none")});
}

BOOST_AUTO_TEST_CASE(a_gateway_bears_open_heads_of_short_fields)
{
    checkSurvives("gateway", Listener::Clients, {openHeadsOfShortFields()});
}

BOOST_AUTO_TEST_CASE(a_gateway_bears_open_heads_of_short_fields_at_the_readiness_address)
{
    checkSurvives("gateway", Listener::Readiness, {openHeadsOfShortFields()});
}

BOOST_AUTO_TEST_CASE(a_gateway_bears_open_heads_of_short_fields_at_the_address_for_processes)
{
    checkSurvives("gateway", Listener::Processes, {openHeadsOfShortFields()});
}

BOOST_AUTO_TEST_CASE(a_gateway_bears_open_heads_of_short_fields_at_the_metrics_address)
{
    checkSurvives("gateway", Listener::Metrics, {openHeadsOfShortFields()});
}

BOOST_AUTO_TEST_CASE(a_gateway_bears_whole_heads_of_odd_fields)
{
    checkSurvives("gateway", Listener::Clients, {oddFieldsAhead("/status/1")});
}

BOOST_AUTO_TEST_CASE(a_gateway_bears_open_bodies)
{
    checkSurvives("gateway", Listener::Clients, {openBodies()});
}

BOOST_AUTO_TEST_CASE(a_gateway_bears_requests_ahead_and_open_heads_together)
{
    checkSurvives("gateway", Listener::Clients, {requestsAhead("/none"), openHeadsOfShortFields()});
}

BOOST_AUTO_TEST_CASE(a_gateway_bears_odd_fields_and_open_bodies_together)
{
    checkSurvives("gateway", Listener::Clients, {oddFieldsAhead("/none"), openBodies()});
}

BOOST_AUTO_TEST_CASE(a_gateway_bears_requests_ahead_of_clients_that_read_slowly)
{
    auto plan = requestsAhead("/none");
    plan.bytesPerRead = 512;
    checkSurvives("gateway", Listener::Clients, {plan});
}

BOOST_AUTO_TEST_CASE(a_scheduler_bears_requests_ahead_at_unknown_paths_of_the_address_for_processes)
{
    checkSurvives("scheduler", Listener::Processes, {requestsAhead("/none")});
}

BOOST_AUTO_TEST_CASE(a_scheduler_bears_requests_ahead_at_the_metrics_address)
{
    checkSurvives("scheduler", Listener::Metrics, {requestsAhead("/metrics"), requestsAhead("/none")});
}

BOOST_AUTO_TEST_CASE(a_scheduler_bears_open_heads_of_short_fields)
{
    checkSurvives("scheduler", Listener::Processes, {openHeadsOfShortFields()});
}

BOOST_AUTO_TEST_CASE(idle_connections_leave_descriptors_for_other_work)
{
    constexpr std::uint64_t Descriptors = 200;
    asio::io_context io;
    TargetProcess target(io, "gateway", Descriptors);
    target.checkServes();
    CrowdPlan idle;
    idle.connections = 400;
    idle.opening = "GET";
    HostileCrowd crowd(io, target.addressOf(Listener::Clients), idle);
    crowd.run();
    target.checkLimits();
    // The crowd is still connected: a new connection and a call to an endpoint need descriptors.
    target.checkServes();
}

BOOST_AUTO_TEST_SUITE_END()
