#include "cli/AdminRequests.h"
#include "cli/Commands.h"
#include "cli/Flags.h"
#include "cli/Table.h"

#include <absl/flags/flag.h>
#include <iostream>

namespace jasminestack {

namespace {

    using nlohmann::json;

    using Rows = std::vector<std::vector<std::string>>;

    // Formats a field as a table cell: numbers without trailing zeros, "-" for an absent or empty field.
    std::string formatTableCell(const json& object, const char* name)
    {
        const auto field = object.find(name);
        if (field == object.end() || field->is_null())
            return "-";
        if (field->is_string())
            return field->get<std::string>().empty() ? "-" : field->get<std::string>();
        if (field->is_boolean())
            return field->get<bool>() ? "yes" : "no";
        if (field->is_number_float())
            return formatDecimal(field->get<double>(), 1);
        return field->dump();
    }

    Rows makeRows(const json& list, std::initializer_list<const char*> fields)
    {
        Rows rows;
        for (const json& entry : list) {
            std::vector<std::string> row;
            for (const char* field : fields)
                row.push_back(formatTableCell(entry, field));
            rows.push_back(std::move(row));
        }
        return rows;
    }

    json arrayField(const json& body, const char* name) { return body.value(name, json::array()); }

}

int runEndpointList(const std::vector<std::string>&)
{
    json body;
    if (const int code = fetchJson("/admin/endpoints", body); code != exit_code::success)
        return code;
    if (absl::GetFlag(FLAGS_json)) {
        std::cout << body.dump(2) << "\n";
        return exit_code::success;
    }
    printTable(std::cout,
        { "ENDPOINT", "POOL", "ADDRESS", "ZONE", "STATE", "LIMIT", "IN FLIGHT", "RUNNING", "WAITING", "REPORT AGE MS" },
        makeRows(arrayField(body, "endpoints"),
            { "endpoint", "pool", "address", "availabilityZone", "state", "limit", "inFlight", "reportedRunning",
                "reportedWaiting", "reportAgeMs" }));
    return exit_code::success;
}

int runStatus(const std::vector<std::string>&)
{
    json body;
    if (const int code = fetchJson("/admin/status", body); code != exit_code::success)
        return code;
    if (absl::GetFlag(FLAGS_json)) {
        std::cout << body.dump(2) << "\n";
        return exit_code::success;
    }
    const json configuration = body.value("configuration", json::object());
    std::cout << "daemon " << formatTableCell(body.value("daemon", json::object()), "id") << ": "
              << formatTableCell(body, "state")
              << (body.value("notReadyReason", "").empty() ? "" : " (" + body.value("notReadyReason", "") + ")")
              << "\nconfiguration: version " << formatTableCell(configuration, "version") << " through offset "
              << formatTableCell(configuration, "throughOffset") << ", preset "
              << formatTableCell(configuration, "preset") << "\n\n";
    printTable(std::cout, { "DAEMON", "STATE", "REGION", "ZONE", "ADDRESS", "VERSION", "OFFSET" },
        makeRows(arrayField(body, "daemons"),
            { "id", "state", "region", "availabilityZone", "address", "version", "throughOffset" }));
    std::cout << "\n";
    printTable(std::cout, { "POOL", "KIND", "ENDPOINTS", "LEAVING", "SLOTS", "IN FLIGHT HERE", "SERVICE GAP" },
        makeRows(arrayField(body, "pools"), { "pool", "kind", "endpoints", "leaving", "slots", "inFlight", "gap" }));
    std::cout << "\n";
    printTable(std::cout, { "WORKSPACE", "POOL", "SHARE", "QUEUED HERE", "RUNNING HERE", "SERVED HERE", "NORMALISED" },
        makeRows(arrayField(body, "workspaces"),
            { "workspace", "pool", "share", "queued", "running", "served", "normalisedService" }));
    std::cout << "\n";
    printTable(std::cout, { "CELL", "SCHEDULER", "ALLOCATION", "SLOTS HERE", "IN FLIGHT HERE" },
        makeRows(arrayField(body, "cells"), { "cell", "scheduler", "allocation", "slots", "inFlight" }));
    return exit_code::success;
}

}
