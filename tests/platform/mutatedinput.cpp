#include "base/random.h"
#include "http/messageparser.h"
#include "platform/batchcodec.h"
#include "platform/clientrequest.h"
#include "platform/configurationcodec.h"
#include "platform/endpointcalls.h"
#include "platform/mutation.h"

#include <boost/test/unit_test.hpp>

/// Inputs that other processes may send, changed at random from a fixed seed. Guards against a decoder that ends the process, reads beyond
/// its input or accepts what it can't hold.
using namespace Basilbend;

namespace
{

constexpr int Inputs = 20000;
constexpr std::uint64_t Seed = 46;

/// Either outcome is right; an error must say what is wrong.
template <typename T>
void accept(const Result<T> &result)
{
    BOOST_REQUIRE(result || !result.error().message.empty());
}

template <typename Decode>
void decodeMutations(const std::string &sample, const Decode &decode)
{
    Random random(Seed);
    for (int i = 0; i < Inputs; ++i) {
        decode(mutate(sample, random));
    }
}

}

BOOST_AUTO_TEST_SUITE(platform)

BOOST_AUTO_TEST_CASE(mutated_messages_do_not_break_the_message_parser)
{
    const std::string sample = "POST /status/1?a=b HTTP/1.1\r\nHost: x.example\r\nTransfer-Encoding: chunked\r\nX-Odd:\r\nExpect: 100-continue\r\n\r\n"
                               "4\r\nabcd\r\n1;x=y\r\ne\r\n0\r\nTrailer: z\r\n\r\nGET / HTTP/1.1\r\nHost: y\r\n\r\n";
    Random pieces(Seed);
    for (const auto kind : {MessageParser::Kind::Request, MessageParser::Kind::Response}) {
        const auto text = kind == MessageParser::Kind::Request ? sample : "HTTP/1.1 200 OK" + sample.substr(sample.find("\r\n"));
        decodeMutations(text, [&pieces, kind](const std::string &input) {
            std::size_t bodyBytes = 0;
            MessageHooks hooks;
            hooks.onHead = [](MessageHead &&) {};
            hooks.onBody = [&bodyBytes](std::string_view data) { bodyBytes += data.size(); };
            hooks.onComplete = [] {};
            MessageParser parser(kind, hooks);
            std::string_view left = input;
            while (!left.empty() && !parser.hasFailed()) {
                const auto piece = left.substr(0, 1 + pieces.below(left.size()));
                const auto used = parser.feed(piece);
                BOOST_REQUIRE(used <= piece.size());
                left.remove_prefix(parser.hasFailed() ? left.size() : std::max<std::size_t>(1, used));
            }
            parser.finish();
            BOOST_REQUIRE(bodyBytes <= input.size());
        });
    }
}

BOOST_AUTO_TEST_CASE(mutated_entries_do_not_break_the_decoders_of_the_store)
{
    decodeMutations(R"({"version":3,"routes":[{"name":"r","host":"h","path_prefix":"/a/","kind":"rollout","timeout_ms":500.5,"attempts":2,)"
                    R"("traffic_split":[{"service":"s","weight":2}],"allowed_regions":["x"]}],"services":[{"name":"s","cold_per_s":3,)"
                    R"("engine":{"slots":8,"kv_cache_tokens":100,"models":[{"name":"m"}]}}],"tenants":[{"name":"t","api_keys":["k"]}],)"
                    R"("limits":{"max_header_bytes":8192,"max_body_bytes":1000000,"header_timeout_ms":3000,"idle_timeout_ms":9000}})",
                    [](const std::string &input) { accept(decodeConfiguration(input)); });
    decodeMutations(R"({"service":"s","address":"127.0.0.1:80","zone":"z","version":"1","slots":8,"state":"ready","cold_remaining_ms":5,"born":17,)"
                    R"("models":[{"name":"m","version":4}]})",
                    [](const std::string &input) {
                        const auto record = decodeEndpointRecord("servers/a", input);
                        BOOST_REQUIRE(!record || record.value().slots > 0);
                    });
    decodeMutations(R"({"model":"m","version":7})", [](const std::string &input) { accept(decodePublishedVersion(input)); });
    decodeMutations(R"({"stage":"both","models":[{"name":"m","version":1}],"busy":false,"sequence":2,"born":17})",
                    [](const std::string &input) { accept(decodeEndpointState(input)); });
}

BOOST_AUTO_TEST_CASE(mutated_batches_do_not_break_their_decoder)
{
    decodeMutations(
        R"({"step":7,"model":"m","minimum_version":6,"desired_count":12,"items":[{"id":"e5","path":"/p/3","headers":)"
        R"({"Basilbend-Model":"m","Basilbend-Token-Counts":"540,400","Basilbend-Length-Hint":"12"},"body":"q83vEjRWeJA=","tokens":940,"group":"g"}]})",
        [](const std::string &input) { accept(decodeSubmission(input)); });
}

// Guards against a submission that ends the gateway: white space at an end of a body was decoded to fewer bytes than its length says, and the
// decoder read beyond them.
BOOST_AUTO_TEST_CASE(a_batch_with_white_space_in_a_body_is_refused)
{
    for (const std::string body : {"AAA ", " AAA", "    ", "AAAA    ", "AA=\\n", "\\tAA=", "AAAAAAA\\n"}) {
        const auto submission = decodeSubmission(R"({"items":[{"id":"i","path":"/p","body":")" + body + R"("}]})");
        BOOST_TEST(!submission);
    }
    BOOST_TEST(!decodeSubmission(R"({"items":[{"id":"i","path":"/p","body":"AAA="}]})").has_error());
}

BOOST_AUTO_TEST_CASE(mutated_fields_do_not_break_the_decoders_of_requests_and_responses)
{
    const std::string sample = "3,0,8,100";
    decodeMutations(sample, [](const std::string &input) {
        const ResponseHead head{
            200, {{"Basilbend-Server-Load", input}, {"Basilbend-Weight-Versions", input}, {"Server-Limit", input}, {"Basilbend-Server-Signature", input}}};
        decodeResponseFields(head);
        decodeClientRequest({"GET", "/-/lots/" + input + "?after=" + input, {{"Basilbend-Deadline-Ms", input}, {"Basilbend-Wait-Ms", input}}, {}});
    });
}

BOOST_AUTO_TEST_SUITE_END()
