#include "net/endpointreport.h"

#include "net/jsontext.h"

#include <nlohmann/json.hpp>

namespace Basilbend
{

nlohmann::json toJson(const EndpointReport &report)
{
    return {{"node", report.node},
            {"incarnation", report.incarnation},
            {"zone", report.zone},
            {"region", report.region},
            {"address", report.address},
            {"serves", report.serves},
            {"is_service", report.isService},
            {"version", report.version},
            {"in_rotation", report.inRotation},
            {"swapping", report.swapping},
            {"leaving", report.leaving},
            {"running", report.running},
            {"waiting", report.waiting},
            {"capacity", report.capacity},
            {"competing", report.competing},
            {"expected_wait_ms", report.expectedWait.count()}};
}

Result<EndpointReport> endpointReportFromJson(const nlohmann::json &object)
{
    try {
        EndpointReport report;
        report.node = object.at("node").get<std::string>();
        report.incarnation = unsignedField(object, "incarnation");
        report.zone = object.at("zone").get<std::string>();
        report.region = object.at("region").get<std::string>();
        report.address = object.at("address").get<std::string>();
        report.serves = object.at("serves").get<std::string>();
        report.isService = object.at("is_service").get<bool>();
        report.version = unsignedField(object, "version");
        report.inRotation = object.at("in_rotation").get<bool>();
        report.swapping = object.at("swapping").get<bool>();
        report.leaving = object.at("leaving").get<bool>();
        report.running = unsignedField(object, "running");
        report.waiting = unsignedField(object, "waiting");
        report.capacity = unsignedField(object, "capacity");
        report.competing = object.at("competing").get<double>();
        report.expectedWait = Milliseconds(object.at("expected_wait_ms").get<std::int64_t>());
        return report;
    } catch (const std::exception &exception) {
        return Error{ResultCode::MalformedRequest, exception.what()};
    }
}

}
