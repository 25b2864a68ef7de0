#pragma once

#include "core/CellMap.h"
#include "core/FairQueue.h"

#include <functional>
#include <map>
#include <unordered_map>
#include <vector>

/// \file
/// \brief Chooses which queued request goes to which endpoint next.

namespace jasminestack {

/// \brief An endpoint as Dispatch sees it. A copy, so that a decision does not walk the endpoint table.
struct DispatchEndpoint {
    EndpointId id;
    std::uint64_t hash { 0 };
    std::size_t cell { 0 }; ///< Index into PoolDispatch::cells.
    std::uint32_t allowed { 0 }; ///< Requests of this daemon that it may run.
    std::uint32_t inFlight { 0 };
    bool exclusive { false }; ///< Runs a suspect or is kept free for one.

    [[nodiscard]] std::uint32_t free() const noexcept
    {
        return exclusive || inFlight >= allowed ? 0 : allowed - inFlight;
    }
};

struct DispatchCell {
    CellId id;
    std::uint64_t hash { 0 };
    std::vector<std::size_t> endpoints; ///< Indices into PoolDispatch::slots.
    std::uint32_t free { 0 };
};

/// \brief The endpoints of one pool.
struct PoolDispatch {
    std::vector<DispatchEndpoint> slots;
    std::vector<DispatchCell> cells;
    std::map<EndpointId, std::size_t> index;
    std::uint32_t free { 0 };
    std::uint32_t allowed { 0 };
    bool reportedIdle { false }; ///< Slots were free without work at the last dispatch.
    EndpointId reserved; ///< Gets no work until it is empty, for a suspect that waits.
};

/// \brief A running request.
struct RunningRequest {
    WorkspaceId workspace;
    PoolId pool;
    EndpointId endpoint;
    CellId cell;
    Millis startedAt {};
    double hint { 0 };
    double charged { 0 };
    bool isCrashSuspect { false };
};

/// \brief Endpoints and running requests of all pools.
struct DispatchState {
    std::map<PoolId, PoolDispatch> pools;
    std::unordered_map<RequestId, RunningRequest> running;
    std::uint64_t round { 0 };
    QueueOrder order { QueueOrder::Quota };
};

/// \brief Rebuilds the copies of the endpoints.
/// \param allowed Returns how many requests of this daemon an endpoint may run.
void refreshEndpoints(DispatchState&, const EndpointTable&, const CellMap&, Millis now,
    const std::function<std::uint32_t(const EndpointState&, const CellId&)>& allowed);

/// \brief Whether an endpoint may get new work at all.
[[nodiscard]] bool usable(const EndpointState&, Millis now) noexcept;

/// \brief Starts requests of one pool while slots are free.
void dispatchPool(
    DispatchState&, FairQueue&, EndpointTable&, const PoolId&, Millis now, std::vector<RequestAssignment>& grants);

/// \brief Frees the slot of a running request and settles its charge.
/// \returns Whether the request was running.
bool finishRequest(
    DispatchState&, FairQueue&, EndpointTable&, const RequestId&, double cost, bool completed, Millis now);

}
