#include "weights/modelassignment.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <string_view>

namespace Basilbend
{

namespace
{

/// Smallest share of a model, as a fraction of an equal share.
constexpr double MinShare = 0.5;
/// A model gives up endpoints only when it has more than this many above its share.
constexpr std::ptrdiff_t SurplusTolerance = 1;

/// The first of the entries with the largest value.
template <typename Map>
typename Map::value_type &largestOf(Map &map)
{
    return *std::max_element(map.begin(), map.end(), [](const auto &a, const auto &b) { return a.second < b.second; });
}

}

std::string ModelAssignment::modelOf(const std::string &endpoint) const
{
    const auto it = m_modelByEndpoint.find(endpoint);
    return it == m_modelByEndpoint.end() ? std::string() : it->second;
}

std::size_t ModelAssignment::endpointCount(const std::string &model) const
{
    return static_cast<std::size_t>(
        std::count_if(m_modelByEndpoint.begin(), m_modelByEndpoint.end(), [&model](const auto &entry) { return entry.second == model; }));
}

std::map<std::string, std::size_t> ModelAssignment::targets(std::size_t endpoints, const ModelDemand &demand) const
{
    double total = 0;
    for (const auto &[model, amount] : demand) {
        total += amount;
    }
    std::map<std::string, double> shares;
    double sum = 0;
    for (const auto &[model, amount] : demand) {
        const double equal = 1.0 / static_cast<double>(demand.size());
        shares[model] = std::max(MinShare * equal, total > 0 ? amount / total : equal);
        sum += shares[model];
    }
    // The endpoints left over after rounding down go to the models with the largest remainders.
    std::map<std::string, std::size_t> targets;
    std::vector<std::pair<double, std::string>> remainders;
    std::size_t assigned = 0;
    for (const auto &[model, share] : shares) {
        const double exact = share / sum * static_cast<double>(endpoints);
        targets[model] = static_cast<std::size_t>(exact);
        assigned += targets[model];
        remainders.emplace_back(exact - std::floor(exact), model);
    }
    std::sort(remainders.begin(), remainders.end(), [](const auto &a, const auto &b) { return a.first != b.first ? a.first > b.first : a.second < b.second; });
    for (std::size_t i = 0; assigned < endpoints && i < remainders.size(); ++i, ++assigned) {
        ++targets[remainders[i].second];
    }
    return targets;
}

void ModelAssignment::update(const std::vector<std::string> &endpoints, const ModelDemand &demand)
{
    removeStale(endpoints, demand);
    if (demand.empty()) {
        return;
    }
    auto deficits = deficitsOf(targets(endpoints.size(), demand));
    for (const auto &endpoint : endpoints) {
        if (m_modelByEndpoint.count(endpoint) == 0) {
            assign(endpoint, largestOf(deficits));
        }
    }
    for (const auto &endpoint : endpoints) {
        auto &current = deficits.at(m_modelByEndpoint.at(endpoint));
        auto &neediest = largestOf(deficits);
        if (current < -SurplusTolerance && neediest.second > 0) {
            ++current;
            assign(endpoint, neediest);
        }
    }
}

void ModelAssignment::removeStale(const std::vector<std::string> &endpoints, const ModelDemand &demand)
{
    const std::set<std::string_view> present(endpoints.begin(), endpoints.end());
    for (auto it = m_modelByEndpoint.begin(); it != m_modelByEndpoint.end();) {
        it = present.count(it->first) == 0 || demand.count(it->second) == 0 ? m_modelByEndpoint.erase(it) : std::next(it);
    }
}

ModelAssignment::Deficits ModelAssignment::deficitsOf(const std::map<std::string, std::size_t> &targets) const
{
    Deficits deficits;
    for (const auto &[model, count] : targets) {
        deficits[model] = static_cast<std::ptrdiff_t>(count);
    }
    for (const auto &[endpoint, model] : m_modelByEndpoint) {
        --deficits.at(model);
    }
    return deficits;
}

void ModelAssignment::assign(const std::string &endpoint, Deficits::value_type &model)
{
    m_modelByEndpoint[endpoint] = model.first;
    --model.second;
}

}
