#include "weights/modelassignment.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace Basilbend
{

namespace
{

/// Smallest share of a model, as a fraction of an equal share.
constexpr double LeastShare = 0.5;
/// A model gives up endpoints only when it has more than this many above its share.
constexpr std::size_t Tolerance = 1;

}

std::string ModelAssignment::homeOf(const std::string &endpoint) const
{
    const auto it = m_homes.find(endpoint);
    return it == m_homes.end() ? std::string() : it->second;
}

std::size_t ModelAssignment::countOf(const std::string &model) const
{
    return static_cast<std::size_t>(std::count_if(m_homes.begin(), m_homes.end(), [&model](const auto &home) { return home.second == model; }));
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
        shares[model] = std::max(LeastShare * equal, total > 0 ? amount / total : equal);
        sum += shares[model];
    }
    // The endpoints left over after rounding down go to the models with the largest remainders.
    std::map<std::string, std::size_t> targets;
    std::vector<std::pair<double, std::string>> remainders;
    std::size_t given = 0;
    for (const auto &[model, share] : shares) {
        const double exact = share / sum * static_cast<double>(endpoints);
        targets[model] = static_cast<std::size_t>(exact);
        given += targets[model];
        remainders.emplace_back(exact - std::floor(exact), model);
    }
    std::sort(remainders.begin(), remainders.end(), [](const auto &a, const auto &b) { return a.first != b.first ? a.first > b.first : a.second < b.second; });
    for (std::size_t i = 0; given < endpoints && i < remainders.size(); ++i, ++given) {
        ++targets[remainders[i].second];
    }
    return targets;
}

void ModelAssignment::update(const std::vector<AssignableEndpoint> &endpoints, const ModelDemand &demand)
{
    std::set<std::string> present;
    for (const auto &endpoint : endpoints) {
        present.insert(endpoint.id);
    }
    for (auto it = m_homes.begin(); it != m_homes.end();) {
        it = present.count(it->first) == 0 || demand.count(it->second) == 0 ? m_homes.erase(it) : std::next(it);
    }
    if (demand.empty()) {
        return;
    }
    const auto target = targets(endpoints.size(), demand);
    const auto deficitOf = [this, &target](const std::string &model) {
        return static_cast<std::ptrdiff_t>(target.at(model)) - static_cast<std::ptrdiff_t>(countOf(model));
    };
    const auto neediest = [&target, &deficitOf] {
        auto best = target.begin()->first;
        for (const auto &[model, count] : target) {
            best = deficitOf(model) > deficitOf(best) ? model : best;
        }
        return best;
    };
    for (const auto &endpoint : endpoints) {
        if (m_homes.count(endpoint.id) == 0) {
            m_homes[endpoint.id] = neediest();
        }
    }
    for (const auto &endpoint : endpoints) {
        const auto home = m_homes.at(endpoint.id);
        const auto needy = neediest();
        const bool hasSpare = deficitOf(home) < -static_cast<std::ptrdiff_t>(Tolerance);
        if (hasSpare && deficitOf(needy) > 0) {
            m_homes[endpoint.id] = needy;
        }
    }
}

}
