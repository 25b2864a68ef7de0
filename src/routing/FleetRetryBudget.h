#pragma once

#include "base/Clock.h"
#include "base/Identifier.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace jasminestack {

/// \brief Bound on second and further sends to a pool, over all daemons together and any span of \c window.
struct RetryBounds {
    double ratio { 0.1 }; ///< Of the requests.
    double slack { 10 }; ///< Beyond the ratio, for the whole fleet.
    Millis window { 10'000 };
    std::size_t daemonCount { 1 }; ///< Daemons that may be alive, whether heard or not.
};

/// \brief This daemon's part of the bound. Needs no agreement: each daemon uses the ratio of its own requests and an
/// equal part of the slack, so the bound also holds while daemons cannot hear each other.
class FleetRetryBudget {
public:
    /// \brief Counts a caller's request.
    void recordRequest(const PoolId&, const RetryBounds&, Millis now);

    /// \brief Takes one repeat if the bound allows it.
    [[nodiscard]] bool take(const PoolId&, const RetryBounds&, Millis now);

private:
    static constexpr std::size_t slices = 20;

    struct Slice {
        std::int64_t number { -1 };
        std::uint32_t requests { 0 };
        std::uint32_t repeats { 0 };
    };

    [[nodiscard]] Slice& slice(const PoolId&, const RetryBounds&, Millis now);

    std::unordered_map<PoolId, std::array<Slice, slices + 1>> m_pools;
};

}
