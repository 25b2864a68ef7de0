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

    // Texts from the log may hold anything, so that bytes that are not UTF-8 are replaced instead of thrown at.
    std::string dump(const json& value) { return value.dump(-1, ' ', false, json::error_handler_t::replace); }

    json parse(const std::string& text) { return json::parse(text, nullptr, false); }

    std::string presetOf(const ConfigurationReplica& fold)
    {
        return fold.configuration ? fold.configuration->presetInForce : std::string {};
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

    json daemonsOf(const StatusContext& sources)
    {
        const SelfState& self = sources.view.self;
        json daemons = json::array({ { { "id", self.id.value }, { "state", "this daemon" }, { "region", self.region },
            { "availabilityZone", self.availabilityZone }, { "address", self.peerAddress },
            { "version", sources.fold.version }, { "throughOffset", sources.fold.throughOffset } } });
        for (const auto& [id, member] : sources.view.members.members) {
            daemons.push_back({ { "id", id.value }, { "state", stateName(member.lastUpdate.state) },
                { "region", member.lastUpdate.region }, { "availabilityZone", member.lastUpdate.availabilityZone },
                { "address", member.lastUpdate.address }, { "version", member.configurationDigest.version },
                { "throughOffset", member.configurationDigest.throughOffset } });
        }
        return daemons;
    }

    // Distance between the most and the least served workspace among those with a backlog.
    std::map<PoolId, double> gaps(const std::vector<WorkspaceStatus>& workspaces)
    {
        std::map<PoolId, std::pair<double, double>> ranges;
        for (const WorkspaceStatus& workspace : workspaces) {
            if (workspace.queued == 0)
                continue;
            auto [range, isNew] = ranges.try_emplace(
                workspace.pool, std::numeric_limits<double>::max(), std::numeric_limits<double>::lowest());
            range->second.first = std::min(range->second.first, workspace.normalisedService);
            range->second.second = std::max(range->second.second, workspace.normalisedService);
        }
        std::map<PoolId, double> result;
        for (const auto& [pool, range] : ranges)
            result[pool] = range.second - range.first;
        return result;
    }

    json poolsOf(const StatusContext& sources, const std::vector<WorkspaceStatus>& workspaces)
    {
        const auto gapOf = gaps(workspaces);
        json pools = json::array();
        for (const auto& [id, pool] : sources.view.configuration.pools) {
            std::uint64_t slots = 0;
            std::uint64_t inFlight = 0;
            std::uint64_t leaving = 0;
            for (const auto& [endpointId, state] : sources.view.endpoints.endpoints) {
                if (state.pool != id || state.removed)
                    continue;
                slots += state.concurrencyLimit;
                inFlight += state.inFlight;
                leaving += state.leaving ? 1 : 0;
            }
            const auto gap = gapOf.find(id);
            pools.push_back({ { "pool", id.value }, { "kind", pool.kind == PoolKind::Model ? "model" : "service" },
                { "models", pool.models }, { "endpoints", pool.endpoints.size() }, { "leaving", leaving },
                { "slots", slots }, { "inFlight", inFlight },
                { "gap", gap == gapOf.end() ? json(nullptr) : json(gap->second) } });
        }
        return pools;
    }

    json workspacesOf(const StatusContext& sources, const std::vector<WorkspaceStatus>& workspaces)
    {
        json list = json::array();
        for (const WorkspaceStatus& workspace : workspaces) {
            const auto configured = sources.view.configuration.workspaces.find(workspace.workspace);
            const bool known = configured != sources.view.configuration.workspaces.end();
            list.push_back({ { "workspace", workspace.workspace.value }, { "pool", workspace.pool.value },
                { "share", known ? json(configured->second.share) : json(nullptr) }, { "queued", workspace.queued },
                { "running", workspace.running }, { "served", workspace.servedCost },
                { "normalisedService", workspace.normalisedService } });
        }
        return list;
    }

    json cellsOf(const StatusContext& sources)
    {
        json cells = json::array();
        for (const CellStatus& cell : cellStatus(sources.scheduling, sources.view, sources.now)) {
            cells.push_back({ { "cell", cell.cell.pool.value + "/" + std::to_string(cell.cell.index) },
                { "scheduler", cell.scheduler.value }, { "allocation", cell.allocationValid ? "valid" : "fallback" },
                { "slots", cell.slots }, { "inFlight", cell.inFlight } });
        }
        return cells;
    }

}

std::string configurationJson(const ConfigurationReplica& fold)
{
    return dump({ { "version", fold.version }, { "throughOffset", fold.throughOffset }, { "preset", presetOf(fold) },
        { "document", parse(fold.document) } });
}

std::string historyJson(const ConfigurationReplica& fold, std::string_view id)
{
    json changes = json::array();
    for (const ChangeResult& result : fold.history) {
        if (!id.empty() && result.id != id)
            continue;
        json change { { "id", result.id }, { "author", result.author }, { "offset", result.offset },
            { "time", result.timestampMs }, { "base", result.baseVersion }, { "outcome", toString(result.outcome) },
            { "version", result.version }, { "patch", result.patch } };
        if (!result.reason.empty())
            change["reason"] = result.reason;
        changes.push_back(std::move(change));
    }
    return dump({ { "version", fold.version }, { "throughOffset", fold.throughOffset },
        { "from", fold.historyStartOffset }, { "changes", std::move(changes) } });
}

std::string endpointsJson(const EndpointTable& table, const Configuration& configuration, Millis now)
{
    json endpoints = json::array();
    for (const auto& [id, state] : table.endpoints) {
        json endpoint { { "endpoint", id.value }, { "pool", state.pool.value }, { "address", state.address },
            { "state", stateName(state, now) }, { "limit", state.concurrencyLimit }, { "inFlight", state.inFlight },
            { "reportedRunning", state.reportedRunning }, { "reportedWaiting", state.reportedWaiting },
            { "consecutiveFailures", state.consecutiveFailures },
            { "reportAgeMs", state.lastReportAt.count == 0 ? json(nullptr) : json((now - state.lastReportAt).count) } };
        if (const auto pool = configuration.pools.find(state.pool); pool != configuration.pools.end()) {
            if (const auto found = pool->second.endpoints.find(id); found != pool->second.endpoints.end()) {
                endpoint["availabilityZone"] = found->second.availabilityZone;
                endpoint["region"] = found->second.region;
            }
        }
        endpoints.push_back(std::move(endpoint));
    }
    return dump({ { "endpoints", std::move(endpoints) } });
}

std::string statusJson(const StatusContext& sources)
{
    const SelfState& self = sources.view.self;
    const auto workspaces = workspaceStatus(sources.scheduling, sources.view);
    const std::string_view state = self.draining ? "draining" : sources.notReadyReason.empty() ? "ready" : "not ready";
    return dump({ { "daemon",
                      { { "id", self.id.value }, { "region", self.region },
                          { "availabilityZone", self.availabilityZone }, { "incarnation", self.incarnation } } },
        { "state", state }, { "notReadyReason", sources.notReadyReason },
        { "configuration",
            { { "version", sources.fold.version }, { "throughOffset", sources.fold.throughOffset },
                { "preset", presetOf(sources.fold) }, { "seeking", sources.fold.isSeekingCheckpoint } } },
        { "daemons", daemonsOf(sources) }, { "pools", poolsOf(sources, workspaces) },
        { "workspaces", workspacesOf(sources, workspaces) }, { "cells", cellsOf(sources) } });
}

AdminResponse publishReply(const ChangeResult& result)
{
    if (result.outcome == ChangeOutcome::Accepted)
        return { .body = dump({ { "id", result.id }, { "outcome", "accepted" }, { "version", result.version } }) };
    if (result.outcome == ChangeOutcome::Invalid)
        return publishReply(
            Error { .kind = ErrorKind::ConfigurationInvalid, .message = result.reason }, result.id, result.version);
    return publishReply(
        Error { .kind = ErrorKind::ConfigurationConflict,
            .message = "another change of version " + std::to_string(result.baseVersion) + " came first" },
        result.id, result.version);
}

AdminResponse publishReply(const Error& error, std::string_view id, std::uint64_t version)
{
    const ErrorResponse& answer = errorResponseFor(error.kind);
    json body { { "error", { { "kind", answer.name }, { "message", error.message }, { "id", id } } } };
    if (error.kind == ErrorKind::ConfigurationConflict)
        body["error"]["version"] = version;
    return { .status = answer.httpStatus, .body = dump(body) };
}

AdminHandlers makeAdminHandlers(const AdminContext& sources)
{
    const auto reason = [sources]() -> std::string {
        const SelfState& self = sources.view().self;
        if (self.draining)
            return "the daemon is shutting down";
        if (sources.configuration.current().version == 0) {
            return sources.configuration.logReachable()
                ? "no configuration is known: none has been published, or its records have expired"
                : "no configuration is known: the log cannot be read and no peer has one";
        }
        return self.ready ? "" : "the daemon is starting";
    };
    return {
        .metrics = [sources] { return sources.metrics.text(); },
        .notReadyReason = reason,
        .status =
            [sources, reason] {
                return statusJson({ .fold = sources.configuration.fold(),
                    .scheduling = sources.scheduling,
                    .view = sources.view(),
                    .notReadyReason = reason(),
                    .now = sources.clock.now() });
            },
        .configuration = [sources] { return configurationJson(sources.configuration.fold()); },
        .history = [sources](std::string_view id) { return historyJson(sources.configuration.fold(), id); },
        .endpoints =
            [sources] {
                const SchedulingView view = sources.view();
                return endpointsJson(view.endpoints, view.configuration, sources.clock.now());
            },
        .setLogLevel = [](std::string_view name) -> Result<void> {
            const auto level = parseLogLevel(name);
            if (!level)
                return level.error();
            setLogLevel(level.value());
            return ok();
        },
        .publish =
            [sources](const PublishRequest& request, const AdminResponseCallback& reply) {
                ConfigurationService& service = sources.configuration;
                service.publish(request.baseVersion, request.patch, request.id, request.author,
                    [&service, reply, id = request.id](const Result<std::uint64_t>& version) {
                        if (version)
                            reply(publishReply(ChangeResult {
                                .id = id, .outcome = ChangeOutcome::Accepted, .version = version.value() }));
                        else
                            reply(publishReply(version.error(), id, service.digest().version));
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
        // NOLINTNEXTLINE(concurrency-mt-unsafe): read once at start.
        const char* value = std::getenv(settings.operatorTokenEnvironment.c_str());
        token = value ? value : "";
    } else {
        return token;
    }
    token.erase(token.find_last_not_of(" \t\r\n") + 1);
    if (token.empty()) {
        const bool file = !settings.operatorTokenFile.empty();
        return Error { .kind = ErrorKind::SettingsInvalid,
            .message = "there is no operator token in "
                + (file ? settings.operatorTokenFile : "environment variable " + settings.operatorTokenEnvironment) };
    }
    return token;
}

}
