#include "daemon/AdminRoutes.h"

#include "daemon/ConfigurationService.h"
#include "observe/Logging.h"
#include "observe/Metrics.h"

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <limits>
#include <map>
#include <nlohmann/json.hpp>

namespace jasminestack {

namespace {

    using nlohmann::json;

    // Texts from the log may contain invalid UTF-8; dump() replaces such bytes instead of throwing an exception.
    std::string dumpJson(const json& value) { return value.dump(-1, ' ', false, json::error_handler_t::replace); }

    json parseJson(const std::string& text) { return json::parse(text, nullptr, false); }

    std::string presetOf(const ConfigurationReplica& replica)
    {
        return replica.configuration ? replica.configuration->presetInForce : std::string {};
    }

    std::string_view stateName(MemberState state)
    {
        switch (state) {
        case MemberState::Alive:
            return "alive";
        case MemberState::Suspect:
            return "suspect";
        case MemberState::Dead:
            return "dead";
        case MemberState::Left:
            return "left";
        }
        return "unknown";
    }

    std::string_view stateName(const EndpointState& endpoint, Millis now)
    {
        if (endpoint.removed)
            return "removed";
        if (endpoint.leaving)
            return "leaving";
        return endpoint.backoffUntil > now ? "backoff" : "in use";
    }

    json daemonsOf(const StatusContext& context)
    {
        const SelfState& self = context.view.self;
        json daemons = json::array({ { { "id", self.id.value }, { "state", "this daemon" }, { "region", self.region },
            { "availabilityZone", self.availabilityZone }, { "address", self.peerAddress },
            { "version", context.replica.version }, { "throughOffset", context.replica.throughOffset } } });
        for (const auto& [id, member] : context.view.members.members) {
            daemons.push_back({ { "id", id.value }, { "state", stateName(member.lastUpdate.state) },
                { "region", member.lastUpdate.region }, { "availabilityZone", member.lastUpdate.availabilityZone },
                { "address", member.lastUpdate.address }, { "version", member.configurationDigest.version },
                { "throughOffset", member.configurationDigest.throughOffset } });
        }
        return daemons;
    }

    // For each pool, the difference between the highest and the lowest normalised service of its workspaces with queued
    // requests.
    std::map<PoolId, double> serviceGaps(const std::vector<WorkspaceStatus>& workspaces)
    {
        // The lowest and the highest normalised service for each pool.
        std::map<PoolId, std::pair<double, double>> serviceRanges;
        for (const WorkspaceStatus& workspace : workspaces) {
            if (workspace.queued == 0)
                continue;
            auto [range, isNew] = serviceRanges.try_emplace(
                workspace.pool, std::numeric_limits<double>::max(), std::numeric_limits<double>::lowest());
            range->second.first = std::min(range->second.first, workspace.normalisedService);
            range->second.second = std::max(range->second.second, workspace.normalisedService);
        }
        std::map<PoolId, double> result;
        for (const auto& [pool, range] : serviceRanges)
            result[pool] = range.second - range.first;
        return result;
    }

    json poolsOf(const StatusContext& context, const std::vector<WorkspaceStatus>& workspaces)
    {
        const auto gapsByPool = serviceGaps(workspaces);
        json pools = json::array();
        for (const auto& [id, pool] : context.view.configuration.pools) {
            std::uint64_t slots = 0;
            std::uint64_t inFlight = 0;
            std::uint64_t leaving = 0;
            for (const auto& [endpointId, endpoint] : context.view.endpoints.endpoints) {
                if (endpoint.pool != id || endpoint.removed)
                    continue;
                slots += endpoint.concurrencyLimit;
                inFlight += endpoint.inFlight;
                leaving += endpoint.leaving ? 1 : 0;
            }
            const auto gap = gapsByPool.find(id);
            pools.push_back({ { "pool", id.value }, { "kind", pool.kind == PoolKind::Model ? "model" : "service" },
                { "models", pool.models }, { "endpoints", pool.endpoints.size() }, { "leaving", leaving },
                { "slots", slots }, { "inFlight", inFlight },
                { "gap", gap == gapsByPool.end() ? json(nullptr) : json(gap->second) } });
        }
        return pools;
    }

    json workspacesOf(const StatusContext& context, const std::vector<WorkspaceStatus>& workspaces)
    {
        json workspaceList = json::array();
        for (const WorkspaceStatus& workspace : workspaces) {
            const auto configured = context.view.configuration.workspaces.find(workspace.workspace);
            const bool isConfigured = configured != context.view.configuration.workspaces.end();
            workspaceList.push_back({ { "workspace", workspace.workspace.value }, { "pool", workspace.pool.value },
                { "share", isConfigured ? json(configured->second.share) : json(nullptr) },
                { "queued", workspace.queued }, { "running", workspace.running }, { "served", workspace.servedCost },
                { "normalisedService", workspace.normalisedService } });
        }
        return workspaceList;
    }

    json cellsOf(const StatusContext& context)
    {
        json cells = json::array();
        for (const CellStatus& cell : cellStatus(context.scheduling, context.view, context.now)) {
            cells.push_back({ { "cell", cell.cell.pool.value + "/" + std::to_string(cell.cell.index) },
                { "scheduler", cell.scheduler.value }, { "allocation", cell.allocationValid ? "valid" : "fallback" },
                { "slots", cell.slots }, { "inFlight", cell.inFlight } });
        }
        return cells;
    }

}

std::string configurationJson(const ConfigurationReplica& replica)
{
    return dumpJson({ { "version", replica.version }, { "throughOffset", replica.throughOffset },
        { "preset", presetOf(replica) }, { "document", parseJson(replica.document) } });
}

std::string historyJson(const ConfigurationReplica& replica, std::string_view id)
{
    json changes = json::array();
    for (const ChangeResult& result : replica.history) {
        if (!id.empty() && result.id != id)
            continue;
        json change { { "id", result.id }, { "author", result.author }, { "offset", result.offset },
            { "time", result.timestampMs }, { "base", result.baseVersion }, { "outcome", toString(result.outcome) },
            { "version", result.version }, { "patch", result.patch } };
        if (!result.reason.empty())
            change["reason"] = result.reason;
        changes.push_back(std::move(change));
    }
    return dumpJson({ { "version", replica.version }, { "throughOffset", replica.throughOffset },
        { "from", replica.historyStartOffset }, { "changes", std::move(changes) } });
}

std::string endpointsJson(const EndpointTable& table, const Configuration& configuration, Millis now)
{
    json endpoints = json::array();
    for (const auto& [id, endpoint] : table.endpoints) {
        json endpointJson { { "endpoint", id.value }, { "pool", endpoint.pool.value }, { "address", endpoint.address },
            { "state", stateName(endpoint, now) }, { "limit", endpoint.concurrencyLimit },
            { "inFlight", endpoint.inFlight }, { "reportedRunning", endpoint.reportedRunning },
            { "reportedWaiting", endpoint.reportedWaiting }, { "consecutiveFailures", endpoint.consecutiveFailures },
            { "reportAgeMs",
                endpoint.lastReportAt.count == 0 ? json(nullptr) : json((now - endpoint.lastReportAt).count) } };
        if (const auto pool = configuration.pools.find(endpoint.pool); pool != configuration.pools.end()) {
            if (const auto endpointEntry = pool->second.endpoints.find(id);
                endpointEntry != pool->second.endpoints.end()) {
                endpointJson["availabilityZone"] = endpointEntry->second.availabilityZone;
                endpointJson["region"] = endpointEntry->second.region;
            }
        }
        endpoints.push_back(std::move(endpointJson));
    }
    return dumpJson({ { "endpoints", std::move(endpoints) } });
}

std::string statusJson(const StatusContext& context)
{
    const SelfState& self = context.view.self;
    const auto workspaces = workspaceStatus(context.scheduling, context.view);
    const std::string_view state = self.draining ? "draining" : context.notReadyReason.empty() ? "ready" : "not ready";
    return dumpJson({ { "daemon",
                          { { "id", self.id.value }, { "region", self.region },
                              { "availabilityZone", self.availabilityZone }, { "incarnation", self.incarnation } } },
        { "state", state }, { "notReadyReason", context.notReadyReason },
        { "configuration",
            { { "version", context.replica.version }, { "throughOffset", context.replica.throughOffset },
                { "preset", presetOf(context.replica) }, { "seeking", context.replica.isSeekingCheckpoint } } },
        { "daemons", daemonsOf(context) }, { "pools", poolsOf(context, workspaces) },
        { "workspaces", workspacesOf(context, workspaces) }, { "cells", cellsOf(context) } });
}

AdminResponse publishReply(const ChangeResult& result)
{
    if (result.outcome == ChangeOutcome::Accepted)
        return { .body = dumpJson({ { "id", result.id }, { "outcome", "accepted" }, { "version", result.version } }) };
    if (result.outcome == ChangeOutcome::Invalid)
        return publishReply(
            Error { .kind = ErrorKind::ConfigurationInvalid, .message = result.reason }, result.id, result.version);
    return publishReply(Error { .kind = ErrorKind::ConfigurationConflict,
                            .message = "another change based on version " + std::to_string(result.baseVersion)
                                + " was accepted first" },
        result.id, result.version);
}

AdminResponse publishReply(const Error& error, std::string_view id, std::uint64_t version)
{
    const ErrorResponse& errorResponse = errorResponseFor(error.kind);
    json body { { "error", { { "kind", errorResponse.name }, { "message", error.message }, { "id", id } } } };
    if (error.kind == ErrorKind::ConfigurationConflict)
        body["error"]["version"] = version;
    return { .status = errorResponse.httpStatus, .body = dumpJson(body) };
}

AdminHandlers makeAdminHandlers(const AdminContext& context)
{
    const auto findNotReadyReason = [context]() -> std::string {
        const SelfState& self = context.view().self;
        if (self.draining)
            return "the daemon is shutting down";
        if (context.configuration.current().version == 0) {
            return context.configuration.isLogReachable()
                ? "no configuration is available: none has been published, or its records have expired"
                : "no configuration is available: the log cannot be read and no peer has one";
        }
        return self.ready ? "" : "the daemon is starting";
    };
    return {
        .metrics = [context] { return context.metrics.text(); },
        .notReadyReason = findNotReadyReason,
        .status =
            [context, findNotReadyReason] {
                return statusJson({ .replica = context.configuration.replica(),
                    .scheduling = context.scheduling,
                    .view = context.view(),
                    .notReadyReason = findNotReadyReason(),
                    .now = context.clock.now() });
            },
        .configuration = [context] { return configurationJson(context.configuration.replica()); },
        .history = [context](std::string_view id) { return historyJson(context.configuration.replica(), id); },
        .endpoints =
            [context] {
                const SchedulingContext view = context.view();
                return endpointsJson(view.endpoints, view.configuration, context.clock.now());
            },
        .setLogLevel = [](std::string_view name) -> Result<void> {
            const auto level = parseLogLevel(name);
            if (!level)
                return level.error();
            setLogLevel(level.value());
            return ok();
        },
        .publish =
            [context](const PublishRequest& request, const AdminResponseCallback& sendResponse) {
                ConfigurationService& service = context.configuration;
                service.publish(request.baseVersion, request.patch, request.changeId, request.author,
                    [&service, sendResponse, id = request.changeId](const Result<std::uint64_t>& version) {
                        if (version)
                            sendResponse(publishReply(ChangeResult {
                                .id = id, .outcome = ChangeOutcome::Accepted, .version = version.value() }));
                        else
                            sendResponse(publishReply(version.error(), id, service.digest().version));
                    });
            },
    };
}

Result<std::string> readOperatorToken(const DaemonSettings::Admin& settings)
{
    std::string token;
    if (!settings.operatorTokenFile.empty()) {
        std::ifstream stream(settings.operatorTokenFile);
        std::getline(stream, token);
    } else if (!settings.operatorTokenEnvironment.empty()) {
        // NOLINTNEXTLINE(concurrency-mt-unsafe): called once, at startup.
        const char* value = std::getenv(settings.operatorTokenEnvironment.c_str());
        token = value ? value : "";
    } else {
        return token;
    }
    token.erase(token.find_last_not_of(" \t\r\n") + 1);
    if (token.empty()) {
        const bool isTokenFile = !settings.operatorTokenFile.empty();
        return Error { .kind = ErrorKind::SettingsInvalid,
            .message = "cannot read an operator token from "
                + (isTokenFile ? settings.operatorTokenFile
                               : "environment variable " + settings.operatorTokenEnvironment) };
    }
    return token;
}

}
