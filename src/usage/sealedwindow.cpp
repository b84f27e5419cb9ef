#include "usage/sealedwindow.h"

#include <nlohmann/json.hpp>
#include <stdexcept>

namespace Basilbend
{

std::string SealedWindow::toJson() const
{
    return nlohmann::json{{"window", window},
                          {"included_version", includedVersion},
                          {"included_batches", includedBatches},
                          {"figures", figures.toJson()},
                          {"carried", carried.toJson()},
                          {"writer", {sealer.node, sealer.incarnation, write}}}
        .dump();
}

std::optional<SealedWindow> SealedWindow::fromJson(std::string_view text)
{
    try {
        const auto json = nlohmann::json::parse(text);
        SealedWindow sealed;
        sealed.window = json.at("window").get<std::uint64_t>();
        sealed.includedVersion = json.at("included_version").get<std::uint64_t>();
        sealed.includedBatches = json.at("included_batches").get<std::map<std::string, std::uint64_t>>();
        sealed.figures = UsageFigures::fromJson(json.at("figures"));
        sealed.carried = UsageFigures::fromJson(json.at("carried"));
        sealed.sealer.node = json.at("writer").at(0).get<std::string>();
        sealed.sealer.incarnation = json.at("writer").at(1).get<std::uint64_t>();
        sealed.write = json.at("writer").at(2).get<std::uint64_t>();
        return sealed;
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    } catch (const std::invalid_argument &) {
        return std::nullopt;
    }
}

nlohmann::json SealedWindow::reportFigures() const
{
    auto rows = nlohmann::json::array();
    for (const auto &[key, sum] : figures.sums()) {
        rows.push_back({{"workspace", key.workspace},
                        {"window", key.window},
                        {"late", key.window < window},
                        {"cause", usageCauseName(key.cause)},
                        {"attempts", sum.attempts},
                        {"input_tokens", sum.inputTokens},
                        {"output_tokens", sum.outputTokens}});
    }
    return rows;
}

std::string UsageProgress::toJson() const
{
    return nlohmann::json{{"first_window", firstWindow}, {"reported_before", reportedBefore}, {"writer", {writer.node, writer.incarnation, write}}}.dump();
}

std::optional<UsageProgress> UsageProgress::fromJson(std::string_view text)
{
    try {
        const auto json = nlohmann::json::parse(text);
        return UsageProgress{json.at("first_window").get<std::uint64_t>(), json.at("reported_before").get<std::uint64_t>(), {}, 0};
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

}
