#include "app/operatorcommands.h"

#include "app/exitcode.h"
#include "app/operatorclient.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <iomanip>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>

namespace Basilbend
{

namespace Internal
{

using Json = nlohmann::json;

std::string cellText(const Json &value)
{
    if (value.is_string()) {
        return value.get<std::string>();
    }
    if (!value.is_array()) {
        return value.dump();
    }
    std::string text;
    for (const auto &item : value) {
        text += (text.empty() ? "" : ",") + cellText(item);
    }
    return text.empty() ? "-" : text;
}

/// Prints one row per object; the columns are the fields of the first object.
void printRows(const Json &rows)
{
    if (rows.empty()) {
        std::cout << "(none)\n";
        return;
    }
    std::vector<std::string> columns;
    for (const auto &item : rows.front().items()) {
        columns.push_back(item.key());
    }
    std::map<std::string, std::size_t> widths;
    for (const auto &column : columns) {
        widths[column] = column.size();
        for (const auto &row : rows) {
            widths[column] = std::max(widths[column], cellText(row.value(column, Json())).size());
        }
    }
    const auto printLine = [&](const auto &textOf) {
        for (const auto &column : columns) {
            std::cout << std::left << std::setw(static_cast<int>(widths[column]) + 2) << textOf(column);
        }
        std::cout << "\n";
    };
    printLine([](const std::string &column) { return column; });
    for (const auto &row : rows) {
        printLine([&](const std::string &column) { return cellText(row.value(column, Json())); });
    }
}

void printSections(const Json &json, const std::string &indent)
{
    for (const auto &item : json.items()) {
        const auto &value = item.value();
        if (value.is_object()) {
            std::cout << indent << item.key() << ":\n";
            printSections(value, indent + "  ");
        } else if (value.is_array() && !value.empty() && value.front().is_object()) {
            std::cout << indent << item.key() << ":\n";
            printRows(value);
        } else {
            std::cout << indent << item.key() << ": " << cellText(value) << "\n";
        }
    }
}

Json valueOrExit(Result<Json> result)
{
    if (!result) {
        std::cerr << static_cast<int>(result.error().code) << " " << resultCodeName(result.error().code) << ": " << result.error().message << "\n";
        throw CLI::RuntimeError(OperationFailed);
    }
    return std::move(result.value());
}

/// The commands "list", "set" and "remove" for one of the operators' lists.
struct ListCommand {
    OperatorClient client;
    std::string list;
    std::string keyField = "name";
    std::string item;
    std::optional<std::uint64_t> baseRevision;

    /// Sets the fields that were given on the command line.
    std::function<void(Json &)> applyFields;

    Json read() const
    {
        return valueOrExit(client.call("GET", list));
    }

    std::string editPath(const Json &current) const
    {
        return list + "/" + item + "?base_revision=" + std::to_string(baseRevision.value_or(current["list_revision"].get<std::uint64_t>()));
    }

    void print() const
    {
        const auto answer = read();
        if (client.wantsJson()) {
            std::cout << answer.dump() << "\n";
            return;
        }
        std::cout << "revision " << answer["revision"] << "\n";
        printRows(answer[list]);
    }

    void set() const
    {
        const auto current = read();
        const auto &items = current[list];
        const auto it = std::find_if(items.begin(), items.end(), [this](const Json &candidate) { return candidate[keyField] == item; });
        auto value = it == items.end() ? Json{{keyField, item}} : *it;
        applyFields(value);
        printEditResult(client.call("PUT", editPath(current), value.dump()));
    }

    void remove() const
    {
        printEditResult(client.call("DELETE", editPath(read())));
    }

    void printEditResult(Result<Json> result) const
    {
        const auto answer = valueOrExit(std::move(result));
        std::cout << (client.wantsJson() ? answer.dump() : "accepted as revision " + answer["revision"].dump()) << "\n";
    }
};

/// Adds the command group of a list and returns its "set" command, to which the caller adds an option for each field.
CLI::App *addListCommand(CLI::App &app, const std::shared_ptr<ListCommand> &command, const std::string &description)
{
    auto *group = app.add_subcommand(command->list, description);
    group->require_subcommand(1);
    auto *list = group->add_subcommand("list", "Show the list with its revision");
    auto *set = group->add_subcommand("set", "Add or change an item; fields that are not given are unchanged");
    auto *remove = group->add_subcommand("remove", "Remove an item");
    for (auto *subcommand : {list, set, remove}) {
        command->client.addOptions(*subcommand);
    }
    for (auto *subcommand : {set, remove}) {
        subcommand->add_option(command->keyField, command->item, "Name of the " + command->keyField)->required();
        subcommand->add_option("--base", command->baseRevision, "Refuse the edit when the list was changed after this revision (default: the one just read)");
    }
    list->callback([command] { command->print(); });
    set->callback([command] { command->set(); });
    remove->callback([command] { command->remove(); });
    return set;
}

template <typename T>
void addField(CLI::App *set, const std::shared_ptr<ListCommand> &command, const std::string &option, const std::string &field, const std::string &description)
{
    const auto value = std::make_shared<std::optional<T>>();
    set->add_option(option, *value, description);
    command->applyFields = [previous = command->applyFields, value, field](Json &item) {
        if (previous) {
            previous(item);
        }
        if (*value) {
            item[field] = **value;
        }
    };
}

std::shared_ptr<ListCommand> makeListCommand(const std::string &list, const std::string &keyField = "name")
{
    auto command = std::make_shared<ListCommand>();
    command->list = list;
    command->keyField = keyField;
    return command;
}

void addPlans(CLI::App &app)
{
    const auto command = makeListCommand("plans");
    auto *set = addListCommand(app, command, "Edit the plans of workspaces");
    addField<std::uint64_t>(set, command, "--tokens-per-second", "tokens_per_second", "Allowance of generated tokens, 0 for none");
    addField<std::uint64_t>(set, command, "--requests-per-second", "requests_per_second", "Allowance of requests, 0 for none");
    addField<std::uint32_t>(set, command, "--share", "share", "Relative share of capacity");
}

void addAccess(CLI::App &app)
{
    const auto command = makeListCommand("access", "plan");
    auto *set = addListCommand(app, command, "Edit the policies and routes that each plan may use");
    addField<std::vector<std::string>>(set, command, "--policy", "policies", "A policy that may be requested; may be given several times");
    addField<std::vector<std::string>>(set, command, "--route", "routes", "A route that may be called; may be given several times");
    const auto versions = std::make_shared<std::vector<std::pair<std::string, std::uint64_t>>>();
    set->add_option("--minimum-version", *versions, "Policy and its lowest allowed weight version");
    command->applyFields = [previous = command->applyFields, versions](Json &item) {
        previous(item);
        for (const auto &[policy, version] : *versions) {
            item["minimum_versions"][policy] = version;
        }
    };
}

void addWorkspacesAndRoutes(CLI::App &app)
{
    const auto workspaces = makeListCommand("workspaces");
    addField<std::string>(addListCommand(app, workspaces, "Edit the workspaces and their plans"), workspaces, "--plan", "plan", "Plan of the workspace");
    const auto routes = makeListCommand("routes");
    auto *set = addListCommand(app, routes, "Edit the routes to plain services");
    addField<bool>(set, routes, "--open", "open", "Whether the route needs no key");
    addField<std::vector<std::string>>(
        set, routes, "--repeatable", "repeatable_methods", "An HTTP method whose requests may be retried; may be given several times");
}

void addKeys(CLI::App &app)
{
    struct KeyCommand {
        OperatorClient client;
        std::string name;
    };
    const auto command = std::make_shared<KeyCommand>();
    auto *group = app.add_subcommand("key", "Issue, list and withdraw keys");
    group->require_subcommand(1);
    auto *list = group->add_subcommand("list", "Show the keys");
    auto *give = group->add_subcommand("give", "Issue a key for a workspace; it is shown only once");
    auto *withdraw = group->add_subcommand("withdraw", "Withdraw a key");
    for (auto *subcommand : {list, give, withdraw}) {
        command->client.addOptions(*subcommand);
    }
    give->add_option("workspace", command->name, "Name of the workspace")->required();
    withdraw->add_option("id", command->name, "Id of the key")->required();
    list->callback([command] {
        const auto answer = valueOrExit(command->client.call("GET", "keys"));
        if (command->client.wantsJson()) {
            std::cout << answer.dump() << "\n";
        } else {
            printRows(answer["keys"]);
        }
    });
    give->callback([command] {
        const auto answer = valueOrExit(command->client.call("POST", "keys", Json{{"workspace", command->name}}.dump()));
        if (command->client.wantsJson()) {
            std::cout << answer.dump() << "\n";
        } else {
            std::cout << "key " << cellText(answer["key"]) << "\nid " << cellText(answer["id"]) << ", revision " << answer["revision"] << "\n";
        }
    });
    withdraw->callback([command] {
        const auto answer = valueOrExit(command->client.call("DELETE", "keys/" + command->name));
        std::cout << (command->client.wantsJson() ? answer.dump() : "withdrawn as revision " + answer["revision"].dump()) << "\n";
    });
}

void addStatus(CLI::App &app)
{
    const auto client = std::make_shared<OperatorClient>();
    auto *status = app.add_subcommand("status", "Show the state of the system as an entry reports it");
    client->addOptions(*status);
    status->callback([client] {
        const auto answer = valueOrExit(client->call("GET", "status"));
        if (client->wantsJson()) {
            std::cout << answer.dump() << "\n";
        } else {
            printSections(answer, "");
        }
    });
}

}

void addOperatorCommands(CLI::App &app)
{
    Internal::addPlans(app);
    Internal::addAccess(app);
    Internal::addWorkspacesAndRoutes(app);
    Internal::addKeys(app);
    Internal::addStatus(app);
}

}
