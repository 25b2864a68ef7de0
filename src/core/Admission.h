#pragma once

#include "base/Result.h"
#include "core/FairQueue.h"

/// \file
/// \brief Decides whether a request may enter its workspace's queue.

namespace jasminestack {

/// \brief Capacity that a workspace can expect at this daemon.
struct ExpectedCapacity {
    double slots { 0 }; ///< The workspace's part of this daemon's slots by share, or its quota if that is larger.
    bool hasFreeSlot { false }; ///< A slot is free now.
};

/// \returns The estimated time until a request that joins \p queue now gets a slot. It is based on the average time for
/// which the workspace's requests occupy one; 0 while that average or the number of slots is unknown.
[[nodiscard]] Millis estimateWait(const WorkspaceQueue& queue, const ExpectedCapacity&) noexcept;

/// \brief Checks whether a request may be queued; it does not change the queue.
/// \param queue The workspace's queue, or nullptr if it has none yet.
/// \param queuedRequests Number of queued requests of the workspace.
/// \param queuedBytes Body bytes of the queued requests of the workspace.
/// \returns PresetRefuses, QueueFull or DeadlineUnreachable if the request must be refused.
[[nodiscard]] Result<void> admit(const Configuration&, const WorkspaceQueue* queue, const ExpectedCapacity&,
    const QueuedRequest&, std::size_t queuedRequests, std::size_t queuedBytes, Millis now);

}
