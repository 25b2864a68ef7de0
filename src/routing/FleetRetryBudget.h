#pragma once

#include "base/Clock.h"
#include "base/Identifier.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace jasminestack {

/// \brief Limit on the retries that all daemons together send to a pool in any time interval of length \c window.
struct RetryBounds {
    double ratio { 0.1 }; ///< Retries allowed per request.
    double slack { 10 }; ///< Retries allowed beyond the ratio, for the whole fleet.
    Millis window { 10'000 };
    std::size_t daemonCount { 1 }; ///< Daemons that may be running, including unreachable ones.
};

/// \brief This daemon's part of the fleet's retry budget. Each daemon applies the ratio to the requests that it
/// received itself and uses an equal part of the slack. The parts add up to the fleet's bound without any messages, so
/// the bound also holds during a network partition.
class FleetRetryBudget {
public:
    /// \brief Counts a caller's request.
    void recordRequest(const PoolId&, const RetryBounds&, Millis now);

    /// \brief Consumes one retry from the budget. \returns Whether the budget allowed it.
    [[nodiscard]] bool tryConsume(const PoolId&, const RetryBounds&, Millis now);

private:
    static constexpr std::size_t sliceCount = 20;

    /// \brief Requests and retries in one of the \c sliceCount equal intervals of the window.
    struct Slice {
        std::int64_t sliceNumber { -1 }; ///< Time divided by the length of a slice; -1 if unused.
        std::uint32_t requests { 0 };
        std::uint32_t retries { 0 };
    };

    [[nodiscard]] Slice& currentSlice(const PoolId&, const RetryBounds&, Millis now);

    /// By pool: ring buffer of the window's slices and one earlier slice; see take().
    std::unordered_map<PoolId, std::array<Slice, sliceCount + 1>> m_pools;
};

}
