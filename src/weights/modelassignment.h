#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Basilbend
{

/// An endpoint that can serve several models, with the versions of their weights.
struct AssignableEndpoint {
    std::string id;
    std::map<std::string, std::uint64_t> versions;
};

/// How much work a model has, for example the tokens of its last steps; only the relations count.
using ModelDemand = std::map<std::string, double>;

/// Divides endpoints among the models that are being trained, so that a new version has to be loaded only where its model is
/// at home. Loading every version everywhere would take the endpoints longer than a step lasts.
class ModelAssignment
{
public:
    /// Brings the division up to date: shares follow the demand, but no model gets less than half of an equal share, and an
    /// endpoint changes its model only when a share is off by more than one endpoint.
    void update(const std::vector<AssignableEndpoint> &endpoints, const ModelDemand &demand);

    /// The model that the endpoint is the home of; empty: none.
    std::string homeOf(const std::string &endpoint) const;

    std::size_t countOf(const std::string &model) const;

private:
    std::map<std::string, std::size_t> targets(std::size_t endpoints, const ModelDemand &demand) const;

    std::map<std::string, std::string> m_homes;
};

}
