#include "core/Scheduling.h"

#include <algorithm>
#include <map>

namespace jasminestack {

struct RunningRequest {
    QueuedRequest request;
    EndpointId endpoint;
    double cost { 0 };
};

struct SchedulingState {
    SchedulingOptions options;
    std::deque<QueuedRequest> queue;
    std::map<RequestId, RunningRequest> running;
    std::map<WorkspaceId, double> served;
};

void SchedulingStateDeleter::operator()(SchedulingState* state) const noexcept { delete state; }

SchedulingStatePointer makeSchedulingState(const SchedulingOptions& options)
{
    return SchedulingStatePointer(new SchedulingState { .options = options });
}

Result<void> enqueue(SchedulingState& state, const SchedulingView&, QueuedRequest request, Millis)
{
    state.queue.push_back(std::move(request));
    return ok();
}

std::vector<Grant> dispatch(SchedulingState& state, const SchedulingView& view, Millis now)
{
    std::vector<Grant> grants;
    for (auto it = state.queue.begin(); it != state.queue.end();) {
        EndpointState* best = nullptr;
        for (auto& [id, endpoint] : view.endpoints.endpoints) {
            bool usable = endpoint.pool == it->pool && !endpoint.leaving && !endpoint.removed
                && endpoint.backoffUntil <= now && endpoint.inFlight < endpoint.limit;
            if (usable && (!best || endpoint.inFlight < best->inFlight))
                best = &endpoint;
        }
        if (!best) {
            ++it;
            continue;
        }
        ++best->inFlight;
        grants.push_back({ .request = it->id, .endpoint = best->id, .cell = { .pool = it->pool } });
        state.running.emplace(it->id, RunningRequest { .request = *it, .endpoint = best->id });
        it = state.queue.erase(it);
    }
    return grants;
}

void recordProgress(SchedulingState& state, const RequestId& id, double costSoFar)
{
    if (auto it = state.running.find(id); it != state.running.end())
        it->second.cost = costSoFar;
}

void recordFinish(SchedulingState& state, const SchedulingView& view, const RequestId& id, double cost, bool, Millis)
{
    auto it = state.running.find(id);
    if (it == state.running.end())
        return;
    auto endpoint = view.endpoints.endpoints.find(it->second.endpoint);
    if (endpoint != view.endpoints.endpoints.end() && endpoint->second.inFlight > 0)
        --endpoint->second.inFlight;
    state.served[it->second.request.workspace] += cost;
    state.running.erase(it);
}

void cancelQueued(SchedulingState& state, const RequestId& id)
{
    std::erase_if(state.queue, [&](const QueuedRequest& request) { return request.id == id; });
}

std::vector<RequestId> expireQueued(SchedulingState& state, Millis now)
{
    std::vector<RequestId> expired;
    std::erase_if(state.queue, [&](const QueuedRequest& request) {
        if (request.deadline > now)
            return false;
        expired.push_back(request.id);
        return true;
    });
    return expired;
}

std::vector<RequestId> drainQueued(SchedulingState& state)
{
    std::vector<RequestId> drained;
    for (const QueuedRequest& request : state.queue)
        drained.push_back(request.id);
    state.queue.clear();
    return drained;
}

std::vector<OutboundMessage> tickScheduling(SchedulingState&, const SchedulingView&, Millis) { return {}; }

std::vector<OutboundMessage> onDemandReport(
    SchedulingState&, const SchedulingView&, const PeerMessage&, const DemandReport&, Millis)
{
    return {};
}

void onAllocation(SchedulingState&, const SchedulingView&, const PeerMessage&, const Allocation&, Millis) { }

void onCellExchange(SchedulingState&, const SchedulingView&, const PeerMessage&, const CellExchange&, Millis) { }

std::vector<WorkspaceStatus> workspaceStatus(const SchedulingState& state, const SchedulingView&)
{
    std::vector<WorkspaceStatus> result;
    for (const auto& [id, served] : state.served)
        result.push_back({ .workspace = id, .served = served });
    return result;
}

std::vector<CellStatus> cellStatus(const SchedulingState&, const SchedulingView&, Millis) { return {}; }

}
