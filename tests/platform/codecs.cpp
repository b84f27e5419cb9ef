#include "platform/batchcodec.h"
#include "platform/clientrequest.h"
#include "platform/configurationcodec.h"
#include "platform/endpointcalls.h"
#include "platform/operatorkeys.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace Basilbend;

namespace
{

constexpr const char *ConfigurationText = R"({"version":7,"routes":[
 {"name":"r1","host":"a.example","path_prefix":"/x/","kind":"idempotent","timeout_ms":1500,"target_latency_ms":150,"priority":2,
  "traffic_split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],"attempts":2,"public":true,"allowed_regions":["north","south"]},
 {"name":"r2","host":"a.example","path_prefix":"/y/","kind":"rollout","timeout_ms":10000,"target_latency_ms":500,"priority":1,"service":"s1",
  "attempts":3,"retention_s":40.5,"result_deadline_ms":7500,"single_version":true,"sticky":true,"resumable":true,"news":{"a":1}}],
 "services":[{"name":"s1","cold_start_s":3.0,"cold_per_s":7.8,"engine":{"slots":16,"kv_cache_tokens":120073,"models":[{"name":"m"}]}},{"name":"s2"}],
 "limits":{"max_header_bytes":100,"max_body_bytes":200,"header_timeout_ms":300,"idle_timeout_ms":400},
 "tenants":[{"name":"w","api_keys":["k1","k2"],"priority":1,"allowed_regions":["north"]}]})";

}

BOOST_AUTO_TEST_SUITE(platform, *boost::unit_test::label("platform"))

BOOST_AUTO_TEST_CASE(every_field_of_a_configuration_is_decoded)
{
    const auto configuration = decodeConfiguration(ConfigurationText);
    BOOST_REQUIRE(configuration.has_value());
    const auto &value = configuration.value();
    BOOST_TEST(value.version == 7U);
    BOOST_TEST((value.routes.at(0).kind == RouteKind::Idempotent));
    BOOST_TEST(value.routes.at(0).shares.size() == 2U);
    BOOST_TEST(value.routes.at(0).isPublic);
    BOOST_TEST((value.routes.at(1).kind == RouteKind::Batch));
    BOOST_TEST(value.routes.at(1).retention.count() == 40500);
    BOOST_TEST(value.routes.at(1).singleVersion);
    BOOST_TEST(value.routes.at(1).shares.at(0).service == "s1");
    BOOST_TEST(value.services.at(0).engine->kvCacheTokens == 120073U);
    BOOST_TEST(!value.services.at(1).engine.has_value());
    BOOST_TEST(value.limits.idleTimeout.count() == 400);
    BOOST_TEST(value.workspaces.at(0).apiKeys.at(1) == "k2");
    BOOST_TEST(value.services.at(0).warmupRequestsPerSecond == 7.8);
    BOOST_TEST(value.services.at(1).warmupRequestsPerSecond == 0);
    BOOST_TEST((value.routes.at(0).allowedRegions == std::vector<std::string>{"north", "south"}));
    BOOST_TEST(value.routes.at(1).allowedRegions.empty());
    BOOST_TEST((value.workspaces.at(0).allowedRegions == std::vector<std::string>{"north"}));
}

BOOST_AUTO_TEST_CASE(the_error_for_an_invalid_configuration_names_the_field)
{
    for (const auto &[from, to, name] : {std::tuple{R"("version":7)", R"("version":"7")", "version"},
                                         std::tuple{R"("idempotent")", R"("weird")", "kind"},
                                         std::tuple{R"("path_prefix":"/x/",)", "", "path_prefix"}}) {
        std::string text = ConfigurationText;
        text.replace(text.find(from), std::string(from).size(), to);
        const auto configuration = decodeConfiguration(text);
        BOOST_REQUIRE(configuration.has_error());
        BOOST_TEST((configuration.error().code == ResultCode::MalformedRequest));
        BOOST_TEST(configuration.error().message.find(name) != std::string::npos);
    }
    BOOST_TEST(decodeConfiguration("[]").has_error());
    BOOST_TEST(decodeConfiguration("\xff").has_error());
}

// Guards against a new version that is never in force, because its writer spells whole numbers with a fraction of zero.
BOOST_AUTO_TEST_CASE(a_whole_number_of_a_configuration_may_be_written_with_a_fraction_of_zero)
{
    std::string text = ConfigurationText;
    for (const auto &[from, to] : {std::pair{R"("version":7)", R"("version":7.0)"},
                                   std::pair{R"("priority":2)", R"("priority":2.0)"},
                                   std::pair{R"("weight":90)", R"("weight":9.0e1)"},
                                   std::pair{R"("slots":16)", R"("slots":16.0)"}}) {
        text.replace(text.find(from), std::string(from).size(), to);
    }
    const auto configuration = decodeConfiguration(text);
    BOOST_REQUIRE(configuration.has_value());
    BOOST_TEST(configuration.value().version == 7U);
    BOOST_TEST(configuration.value().routes.at(0).shares.at(0).weight == 90);
    for (const auto *version : {"7.5", "-7.0", "1e30", "1e400"}) {
        auto odd = std::string(ConfigurationText);
        odd.replace(odd.find('7'), 1, version);
        BOOST_TEST(decodeConfiguration(odd).has_error(), version);
    }
}

// Guards against using registry entries of other writers as endpoints.
BOOST_AUTO_TEST_CASE(a_malformed_endpoint_entry_is_rejected)
{
    const std::string good =
        R"({"service":"s","address":"10.0.0.9:80","zone":"z","version":"v1","slots":16,"state":"ready","cold_remaining_ms":5,"models":[{"name":"m","version":3}],"sequence":4,"born":17})";
    const auto record = decodeEndpointRecord("servers/i-1", good);
    BOOST_REQUIRE(record.has_value());
    BOOST_TEST(record.value().id == "i-1");
    BOOST_TEST(record.value().versionOf("m") == 3U);
    BOOST_TEST(record.value().versionOf("n") == 0U);
    BOOST_TEST(record.value().startedAtMs == 17);
    for (const auto &[from, to] : {std::pair{R"("ready")", R"("sleeping")"},
                                   std::pair{R"("10.0.0.9:80")", R"("here")"},
                                   std::pair{R"("10.0.0.9:80")", R"("10.0.0.9:99999")"},
                                   std::pair{"16", R"("16")"},
                                   std::pair{R"("service":"s",)", ""}}) {
        auto text = good;
        text.replace(text.find(from), std::string(from).size(), to);
        BOOST_TEST(decodeEndpointRecord("servers/i-1", text).has_error(), text);
    }
}

// Guards against forwarding a client's API key, or a workspace named by the client, to an endpoint.
BOOST_AUTO_TEST_CASE(a_forwarded_request_has_the_reserved_fields_of_the_system_and_not_of_the_client)
{
    const RequestMessage message{"POST",
                                 "/x/1",
                                 {{"Host", "a.example"},
                                  {"X-Api-Key", "secret"},
                                  {"Basilbend-Tenant", "claimed"},
                                  {"basilbend-tenant", "claimed too"},
                                  {"Basilbend-Attempt-Id", "id1"},
                                  {"Basilbend-Deadline-Ms", "9000"},
                                  {"Connection", "keep-alive"},
                                  {"Other", "stays"}},
                                 "body"};
    const auto forwarded = makeForwardedRequest(message, "i-1", "w", Milliseconds(250));
    BOOST_TEST(forwarded.fields.count("X-Api-Key") == 0U);
    BOOST_TEST(forwarded.fields.count("Basilbend-Tenant") == 1U);
    BOOST_TEST(forwarded.fields.value("Basilbend-Tenant") == "w");
    BOOST_TEST(forwarded.fields.value("Basilbend-Expect-Instance") == "i-1");
    BOOST_TEST(forwarded.fields.value("Basilbend-Deadline-Ms") == "250");
    BOOST_TEST(forwarded.fields.value("Basilbend-Attempt-Id") == "id1");
    BOOST_TEST(forwarded.fields.value("Other") == "stays");
    BOOST_TEST(forwarded.fields.count("Connection") == 0U);
    BOOST_TEST(forwarded.body == "body");
    const auto open = makeForwardedRequest(message, "i-1", "", std::nullopt);
    BOOST_TEST(open.fields.count("Basilbend-Tenant") == 0U);
}

BOOST_AUTO_TEST_CASE(the_platform_fields_of_a_response_head_are_decoded)
{
    const auto refused = decodeResponseFields({503, {{"Basilbend-Not-Executed", "1"}}});
    BOOST_TEST(refused.notExecuted);
    BOOST_TEST(decodeResponseFields({421, {}}).notExecuted);
    BOOST_TEST(!decodeResponseFields({503, {}}).notExecuted);
    const auto answered =
        decodeResponseFields({200, {{"Basilbend-Server-Signature", "s"}, {"Basilbend-Server-Load", "3,1,8"}, {"Basilbend-Weight-Versions", "6"}}});
    BOOST_TEST(answered.isSigned());
    BOOST_TEST(answered.load->waiting == 1);
    BOOST_TEST(answered.weightVersion == 6U);
    BOOST_TEST(!decodeResponseFields({200, {{"Basilbend-Server-Load", "3,x"}}}).load.has_value());
    BOOST_TEST(versionOfEventLine("basilbend-weight-versions: 12") == 12U);
    BOOST_TEST(versionOfEventLine("event: 12") == 0U);
}

BOOST_AUTO_TEST_CASE(client_requests_are_decoded_by_method_and_path)
{
    const auto read = decodeClientRequest({"GET", "/-/lots/b1?after=12", {{"Host", "h"}, {"Basilbend-Wait-Ms", "1000"}, {"X-Api-Key", "k"}}, {}});
    BOOST_TEST((read.action == ClientAction::ReadResults));
    BOOST_TEST(read.batchId == "b1");
    BOOST_TEST(read.afterPosition == 12U);
    BOOST_TEST(read.wait.count() == 1000);
    const auto item = decodeClientRequest({"GET", "/-/items/b1?id=i2", {}, {}});
    BOOST_TEST((item.action == ClientAction::ReadItem));
    BOOST_TEST(item.itemId == "i2");
    BOOST_TEST((decodeClientRequest({"DELETE", "/-/lots/b1", {}, {}}).action == ClientAction::EndBatch));
    const auto submit = decodeClientRequest({"POST", "/x/1?q", {{"Basilbend-Deadline-Ms", "800"}}, {}});
    BOOST_TEST((submit.action == ClientAction::Submit));
    BOOST_TEST(submit.path == "/x/1");
    BOOST_TEST(submit.deadline->count() == 800);
    BOOST_TEST(!decodeClientRequest({"POST", "/x/1", {{"Basilbend-Deadline-Ms", "8oo"}}, {}}).deadline.has_value());
}

BOOST_AUTO_TEST_CASE(a_submission_is_decoded_and_a_malformed_one_is_rejected)
{
    const std::string good =
        R"({"step":7,"model":"m","minimum_version":6,"desired_count":12,"items":[{"id":"i1","path":"/p","headers":{"Basilbend-Length-Hint":"120"},"body":"q83v","tokens":940,"group":"g"}]})";
    const auto submission = decodeSubmission(good);
    BOOST_REQUIRE(submission.has_value());
    const auto &item = submission.value().items.at(0);
    BOOST_TEST(item.body == "\xab\xcd\xef");
    BOOST_TEST(item.lengthHint == 120U);
    BOOST_TEST(submission.value().minimumVersion == 6U);
    BOOST_TEST(submission.value().desiredGroups == 12U);
    for (const auto &[from, to] : {std::pair{R"("q83v")", R"("q8*v")"}, std::pair{R"("id":"i1",)", ""}, std::pair{R"("items")", R"("things")"}}) {
        auto text = good;
        text.replace(text.find(from), std::string(from).size(), to);
        BOOST_TEST(decodeSubmission(text).has_error(), text);
    }
    auto twice = good;
    twice.replace(twice.rfind("}]"), 2, R"(},{"id":"i1","path":"/p"}])");
    BOOST_TEST(decodeSubmission(twice).has_error());
}

BOOST_AUTO_TEST_CASE(a_result_page_holds_at_least_one_result_and_respects_its_size_limit)
{
    const ItemResult a{"a", ItemOutcome::Completed, std::string(100, 'x') + "\n\"", {6, 7}, {}};
    const ItemResult b{"b", ItemOutcome::Terminated, {}, {}, {}};
    const auto page = nlohmann::json::parse(encodeResultPage(9, 3, {&a, &b}, 50));
    BOOST_TEST(page.at("total") == 9);
    BOOST_TEST(page.at("next") == 4);
    BOOST_TEST(page.at("results").size() == 1U);
    BOOST_TEST(page.at("results").at(0).at("text") == a.text);
    const auto both = nlohmann::json::parse(encodeResultPage(9, 3, {&a, &b}, 5000));
    BOOST_TEST(both.at("next") == 5);
    BOOST_TEST(both.at("results").at(1).at("state") == "terminated");
    BOOST_TEST(nlohmann::json::parse(encodeResultPage(9, 9, {}, 5000)).at("next") == 9);
}

BOOST_AUTO_TEST_CASE(a_weight_order_carries_its_fencing_token_and_the_expected_number_of_accepted_orders)
{
    EndpointRecord endpoint;
    endpoint.id = "i-1";
    endpoint.address = "10.0.0.9:80";
    const auto message = makeOrderRequest({"m", 3, SwitchMode::KeepRunning, "node-1", 41, 2}, endpoint);
    const auto body = nlohmann::json::parse(message.body);
    BOOST_TEST(body.at("fencing_token") == 41);
    BOOST_TEST(body.at("precondition") == 2);
    BOOST_TEST(body.at("switch_mode") == "keep_running");
    BOOST_TEST(message.fields.value("Basilbend-Expect-Instance") == "i-1");
    const auto state = decodeEndpointState(R"({"busy":true,"sequence":2,"models":[{"name":"m","version":1}]})");
    BOOST_TEST(state.value().acceptedOrders == 2U);
    BOOST_TEST(state.value().isBusy);
}

BOOST_AUTO_TEST_CASE(operator_keys_are_classified)
{
    BOOST_TEST((operatorKeyKind("op/config") == OperatorKeyKind::Configuration));
    BOOST_TEST((operatorKeyKind("op/version/m") == OperatorKeyKind::PublishedVersion));
    BOOST_TEST((operatorKeyKind("op/retire/n") == OperatorKeyKind::RetiringHost));
    BOOST_TEST((operatorKeyKind("op/configs") == OperatorKeyKind::Other));
    BOOST_TEST(hostOfRetireKey("op/retire/n") == "n");
}

// Guards against samples that are listed without the score that the trainer requested.
BOOST_AUTO_TEST_CASE(the_scorer_of_an_item_is_decoded_and_the_score_of_a_result_is_encoded)
{
    const std::string good =
        R"({"items":[{"id":"i1","path":"/p","scorer":{"id":"r1","host":"a.example","path":"/s/1","body":"YWJj"}},{"id":"i2","path":"/p"}]})";
    const auto submission = decodeSubmission(good);
    BOOST_REQUIRE(submission.has_value());
    const RewardRequest expected{"r1", "a.example", "/s/1", "abc"};
    BOOST_TEST((submission.value().items[0].reward == expected));
    BOOST_TEST(!submission.value().items[1].reward.has_value());
    for (const auto &[from, to] : {std::pair{R"("id":"r1",)", ""}, std::pair{R"("YWJj")", R"("?")"}, std::pair{R"("/s/1")", "1"}}) {
        auto text = good;
        text.replace(text.find(from), std::string(from).size(), to);
        BOOST_TEST(decodeSubmission(text).has_error(), text);
    }
    const ItemResult scored{"i1", ItemOutcome::Completed, "t", {3}, "3e1b.07"};
    const ItemResult plain{"i2", ItemOutcome::Completed, "t", {3}, {}};
    const auto page = nlohmann::json::parse(encodeResultPage(2, 0, {&scored, &plain}, 5000));
    BOOST_TEST(page.at("results").at(0).at("score") == "3e1b.07");
    BOOST_TEST(!page.at("results").at(1).contains("score"));
}

// Guards against reward requests with a workspace or an API key; they need neither.
BOOST_AUTO_TEST_CASE(a_reward_request_has_its_own_id_and_time_limit_and_no_workspace)
{
    const auto message = makeRewardRequest({"r1", "a.example", "/s/1", "abc"}, "i-1", Milliseconds(300));
    BOOST_TEST(message.method == "POST");
    BOOST_TEST(message.target == "/s/1");
    BOOST_TEST(message.body == "abc");
    BOOST_TEST(message.fields.value("Host") == "a.example");
    BOOST_TEST(message.fields.value("Basilbend-Attempt-Id") == "r1");
    BOOST_TEST(message.fields.value("Basilbend-Expect-Instance") == "i-1");
    BOOST_TEST(message.fields.value("Basilbend-Deadline-Ms") == "300");
    BOOST_TEST(message.fields.count("Basilbend-Tenant") == 0U);
    BOOST_TEST(message.fields.count("X-Api-Key") == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
