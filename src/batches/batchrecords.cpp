#include "batches/batchrecords.h"

#include "net/jsontext.h"

#include <charconv>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace Basilbend::BatchRecords
{

namespace
{

using nlohmann::json;

constexpr const char *SubmissionPrefix = "batch/submission/";
constexpr const char *ResultPrefix = "batch/result/";

std::string paddedNumber(std::size_t number)
{
    char text[24];
    std::snprintf(text, sizeof text, "%08zu", number);
    return text;
}

template <typename T, typename Decode>
Result<T> decodeRecord(std::string_view text, Decode decode)
{
    try {
        return decode(json::parse(text));
    } catch (const json::exception &error) {
        return Error{ResultCode::MalformedRequest, error.what()};
    }
}

json resultObject(const ItemResult &result)
{
    json object{{"id", result.id}, {"terminated", result.outcome == ItemOutcome::Terminated}, {"text", result.text}, {"versions", result.versions}};
    if (!result.score.empty()) {
        object["score"] = result.score;
    }
    return object;
}

ItemResult decodeResult(const json &object)
{
    ItemResult result;
    result.id = object.at("id").get<std::string>();
    result.outcome = object.at("terminated").get<bool>() ? ItemOutcome::Terminated : ItemOutcome::Completed;
    result.text = object.at("text").get<std::string>();
    result.versions = object.at("versions").get<std::vector<std::uint64_t>>();
    result.score = object.value("score", std::string());
    return result;
}

}

std::string indexKey(const std::string &id)
{
    return IndexPrefix + id;
}

std::string progressKey(const std::string &id)
{
    return "batch/progress/" + id;
}

NumberedRecords submissionParts(const std::string &id)
{
    return NumberedRecords(SubmissionPrefix + id + "/");
}

NumberedRecords resultChunks(const std::string &id)
{
    return NumberedRecords(ResultPrefix + id + "/");
}

std::string submissionKey(const std::string &id, std::size_t part)
{
    return submissionParts(id).keyAt(part);
}

std::string resultKey(const std::string &id, std::size_t position)
{
    return resultChunks(id).keyAt(position);
}

NumberedRecords::NumberedRecords(std::string prefix)
    : m_prefix(std::move(prefix))
{
}

std::string NumberedRecords::keyAt(std::size_t number) const
{
    return m_prefix + paddedNumber(number);
}

std::optional<std::size_t> NumberedRecords::numberOf(std::string_view key) const
{
    if (key.substr(0, m_prefix.size()) != m_prefix) {
        return std::nullopt;
    }
    const auto digits = key.substr(m_prefix.size());
    std::size_t number = 0;
    const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), number);
    const bool isNumber = !digits.empty() && ec == std::errc{} && end == digits.data() + digits.size();
    return isNumber && keyAt(number) == key ? std::optional(number) : std::nullopt;
}

std::string encodeIndex(const BatchIndex &index)
{
    return json{{"id", index.id},
                {"route", index.route},
                {"host", index.host},
                {"workspace", index.workspace},
                {"submitted_at_ms", index.submittedAtMs},
                {"items", index.itemCount},
                {"parts", index.parts},
                {"ended", index.ended},
                {"bytes", index.bytes}}
        .dump();
}

Result<BatchIndex> decodeIndex(std::string_view text)
{
    return decodeRecord<BatchIndex>(text, [](const json &object) {
        BatchIndex index;
        index.id = object.at("id").get<std::string>();
        index.route = object.at("route").get<std::string>();
        index.host = object.at("host").get<std::string>();
        index.workspace = object.at("workspace").get<std::string>();
        index.submittedAtMs = object.at("submitted_at_ms").get<std::int64_t>();
        index.itemCount = object.at("items").get<std::size_t>();
        index.parts = object.at("parts").get<std::size_t>();
        index.ended = object.at("ended").get<bool>();
        index.bytes = object.value("bytes", std::size_t(0));
        return index;
    });
}

std::size_t maxEncodedBytes(const ItemResult &result)
{
    // The names of the fields with their separators, and the digits of a version.
    constexpr std::size_t FrameBytes = 80;
    constexpr std::size_t VersionBytes = 21;
    return FrameBytes + maxJsonStringBytes(result.id) + maxJsonStringBytes(result.text) + maxJsonStringBytes(result.score)
        + VersionBytes * result.versions.size();
}

std::string encodeChunk(const ResultChunk &chunk)
{
    auto list = json::array();
    for (const auto &result : chunk.results) {
        list.push_back(resultObject(result));
    }
    return json{{"workspace", chunk.workspace}, {"items", chunk.itemCount}, {"results", std::move(list)}}.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<ResultChunk> decodeChunk(std::string_view text)
{
    return decodeRecord<ResultChunk>(text, [](const json &object) {
        ResultChunk chunk;
        chunk.workspace = object.at("workspace").get<std::string>();
        chunk.itemCount = object.at("items").get<std::size_t>();
        for (const auto &result : object.at("results")) {
            chunk.results.push_back(decodeResult(result));
        }
        return chunk;
    });
}

std::vector<std::string> splitSubmission(std::string_view body, std::size_t partBytes)
{
    std::vector<std::string> parts;
    do {
        parts.emplace_back(body.substr(0, partBytes));
        body.remove_prefix(parts.back().size());
    } while (!body.empty());
    return parts;
}

}
