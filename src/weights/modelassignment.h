#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Basilbend
{

/// Amount of work by model, for example the tokens of its last steps. Only the ratios between models matter.
using ModelDemand = std::map<std::string, double>;

/// Assigns each endpoint to one of the models that are being trained, so that a new version is loaded only on the endpoints of
/// its model. Loading every version on every endpoint would take longer than a step lasts.
class ModelAssignment
{
public:
    /// Updates the assignment of the endpoints, given by their ids. Shares follow the demand, but no model gets less than half of an equal share. An endpoint
    /// moves to another model only when its model has at least two endpoints more than its share. The time is proportional to
    /// endpoints times models: the leader updates the assignment after each change of an endpoint.
    void update(const std::vector<std::string> &endpoints, const ModelDemand &demand);

    /// The model that the endpoint is assigned to, or an empty string.
    std::string modelOf(const std::string &endpoint) const;

    std::size_t endpointCount(const std::string &model) const;

private:
    /// How many endpoints each model lacks; negative for a surplus.
    using Deficits = std::map<std::string, std::ptrdiff_t>;

    std::map<std::string, std::size_t> targets(std::size_t endpoints, const ModelDemand &demand) const;
    /// Removes the assignments of endpoints that are gone and to models without demand.
    void removeStale(const std::vector<std::string> &endpoints, const ModelDemand &demand);
    Deficits deficitsOf(const std::map<std::string, std::size_t> &targets) const;
    void assign(const std::string &endpoint, Deficits::value_type &model);

    std::map<std::string, std::string> m_modelByEndpoint;
};

}
