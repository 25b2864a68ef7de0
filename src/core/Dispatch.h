#pragma once

#include "core/CellMap.h"
#include "core/FairQueue.h"

#include <functional>
#include <map>
#include <unordered_map>
#include <vector>

/// \file
/// \brief Assigns queued requests to endpoints.

namespace jasminestack {

/// \brief A copy of the endpoint data that dispatch needs, so that a decision does not search the endpoint table.
struct DispatchEndpoint {
    EndpointId id;
    std::uint64_t hash { 0 };
    std::size_t cell { 0 }; ///< Index into PoolDispatch::cells.
    std::uint32_t allowedSlots { 0 }; ///< Number of requests of this daemon that the endpoint may run.
    std::uint32_t inFlight { 0 };
    bool exclusive { false }; ///< Runs a crash suspect or is reserved for one.

    [[nodiscard]] std::uint32_t freeSlots() const noexcept
    {
        return exclusive || inFlight >= allowedSlots ? 0 : allowedSlots - inFlight;
    }
};

struct DispatchCell {
    CellId id;
    std::uint64_t hash { 0 };
    std::vector<std::size_t> endpoints; ///< Indices into PoolDispatch::dispatchEndpoints.
    std::uint32_t freeSlots { 0 };
};

/// \brief The endpoints of one pool.
struct PoolDispatch {
    std::vector<DispatchEndpoint> dispatchEndpoints;
    std::vector<DispatchCell> cells;
    std::map<EndpointId, std::size_t> endpointIndex;
    std::uint32_t freeSlots { 0 };
    std::uint32_t allowedSlots { 0 };
    bool wasIdle { false }; ///< At the end of the last dispatch, slots were free and no request was queued.
    EndpointId reservedEndpoint; ///< Endpoint that gets no requests until it is empty, for a queued crash suspect;
                                 ///< empty id: none.
};

/// \brief A running request.
struct RunningRequest {
    WorkspaceId workspace;
    PoolId pool;
    EndpointId endpoint;
    CellId cell;
    Millis startedAt {};
    double costHint { 0 };
    double chargedCost { 0 };
    bool isCrashSuspect { false };
};

/// \brief Endpoints and running requests of all pools.
struct DispatchState {
    std::map<PoolId, PoolDispatch> pools;
    std::unordered_map<RequestId, RunningRequest> running;
    std::uint64_t round { 0 }; ///< Number of the last dispatch round; see WorkspaceQueue::blockedRound.
    QueueOrder order { QueueOrder::Quota };
};

/// \brief Rebuilds the copies of the endpoints from the endpoint table.
/// \param allowedSlots Returns how many requests of this daemon an endpoint may run.
void refreshEndpoints(DispatchState&, const EndpointTable&, const CellMap&, Millis now,
    const std::function<std::uint32_t(const EndpointState&, const CellId&)>& allowedSlots);

/// \returns Whether the endpoint may get new requests: not leaving, removed or in backoff. Same condition as
/// acceptsRequests().
[[nodiscard]] bool acceptsNewWork(const EndpointState&, Millis now) noexcept;

/// \brief Assigns queued requests of one pool while slots are free and appends the assignments to \p assignments.
void dispatchPool(
    DispatchState&, FairQueue&, EndpointTable&, const PoolId&, Millis now, std::vector<RequestAssignment>& assignments);

/// \brief Frees the slot of a running request and corrects its workspace's charge to \p cost.
/// \returns Whether the request was running.
bool finishRequest(
    DispatchState&, FairQueue&, EndpointTable&, const RequestId&, double cost, bool completed, Millis now);

}
