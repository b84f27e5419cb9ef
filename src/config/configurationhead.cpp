#include "config/configurationhead.h"

#include "config/jsonreader.h"

#include <limits>
#include <nlohmann/json.hpp>

namespace Basilbend
{

std::string toText(const ConfigurationHead &head)
{
    return nlohmann::json{
        {"revision", head.revision}, {"snapshot_revision", head.snapshotRevision}, {"snapshot_parts", head.snapshotParts}, {"edits", head.edits}}
        .dump();
}

Result<ConfigurationHead> headFromText(const std::string &text)
{
    BOOST_OUTCOME_TRY(json, parseJsonObject(text, "configuration head"));
    constexpr auto MaxNumber = std::numeric_limits<std::uint64_t>::max();
    ConfigurationHead head;
    auto rest = json;
    const auto edits = rest.find("edits");
    if (edits == rest.end() || !edits->is_array()) {
        return Error{ResultCode::MalformedRequest, "configuration head: field \"edits\" must be a list"};
    }
    for (const auto &edit : *edits) {
        if (!edit.is_string()) {
            return Error{ResultCode::MalformedRequest, "configuration head: an edit must be a string"};
        }
        head.edits.push_back(edit.get<std::string>());
    }
    rest.erase("edits");
    JsonReader reader(rest, "configuration head");
    head.revision = reader.number("revision", 0, MaxNumber);
    head.snapshotRevision = reader.number("snapshot_revision", 0, MaxNumber);
    head.snapshotParts = reader.number("snapshot_parts", 0, MaxNumber);
    BOOST_OUTCOME_TRYV(reader.result());
    if (head.snapshotRevision + head.edits.size() != head.revision) {
        return Error{ResultCode::MalformedRequest, "configuration head: the edits do not lead from the snapshot to the revision"};
    }
    return head;
}

}
