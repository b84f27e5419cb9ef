#include "batches/batchrecords.h"
#include "net/base64.h"
#include "platform/batchcodec.h"

#include <chrono>
#include <cstdio>
#include <nlohmann/json.hpp>

using namespace Basilbend;

namespace
{

constexpr int Items = 220;
constexpr int Repeats = 50;

std::string makeSubmission()
{
    auto items = nlohmann::json::array();
    for (int i = 0; i < Items; ++i) {
        items.push_back({{"id", "e5b2907c14da" + std::to_string(1000 + i)},
                         {"path", "/pufi791/3/" + std::to_string(i)},
                         {"headers", {{"Model", "m"}, {"Counts", "540,400"}, {"Prefix", "9c2e41:300,5d07b8:240"}}},
                         {"body", toBase64(std::string(600, static_cast<char>(i)))},
                         {"tokens", 940},
                         {"group", "g" + std::to_string(i / 4)}});
    }
    return nlohmann::json{{"step", 7}, {"model", "m"}, {"minimum_version", 6}, {"desired_count", 50}, {"items", items}}.dump();
}

template <typename F>
void measure(const char *name, F function)
{
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < Repeats; ++i) {
        function();
    }
    const auto us = std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now() - start).count();
    std::printf("%-28s %8.2f ms\n", name, static_cast<double>(us) / Repeats / 1000);
}

}

/// Measures the wall time of each encoding and decoding step of a batch of 220 items in the gateway and the scheduler.
int main()
{
    const auto submission = makeSubmission();
    std::printf("submission of %zu bytes\n", submission.size());
    std::vector<ItemResult> results;
    results.reserve(Items);
    for (int i = 0; i < Items; ++i) {
        results.push_back({"e5b2907c14da" + std::to_string(i), ItemOutcome::Completed, std::string(2400, 'x'), {6, 7}, {}});
    }
    std::vector<const ItemResult *> pointers;
    pointers.reserve(Items);
    for (const auto &result : results) {
        pointers.push_back(&result);
    }
    const auto chunk = BatchRecords::encodeChunk({"w", Items, results});
    const auto text64 = toBase64(submission);
    const auto stored = nlohmann::json{{"value", text64}}.dump();
    measure("decode submission", [&] { return decodeSubmission(submission).has_value(); });
    measure("encode store write", [&] { return nlohmann::json{{"value", toBase64(submission)}}.dump().size(); });
    measure("decode store read", [&] { return fromBase64(nlohmann::json::parse(stored)["value"].get<std::string>())->size(); });
    measure("encode results", [&] { return BatchRecords::encodeChunk({"w", Items, results}).size(); });
    measure("decode results", [&] { return BatchRecords::decodeChunk(chunk).has_value(); });
    measure("encode result pages", [&] { return encodeResultPage(Items, 0, pointers, 2000000).size(); });
}
