#pragma once

#include "base/Result.h"
#include "core/FairQueue.h"

/// \file
/// \brief Decides whether a request may enter its queue.

namespace jasminestack {

/// \brief What is known about the capacity that a workspace can expect at this daemon.
struct ExpectedCapacity {
    double slots { 0 }; ///< The workspace's part of this daemon's slots.
    bool slotFree { false }; ///< A slot is free now.
};

/// \returns The time until a request that joins \p queue now gets a slot, estimated from the time that the workspace's
/// requests hold one; 0 while nothing is known.
[[nodiscard]] Millis estimateWait(const WorkspaceQueue& queue, const ExpectedCapacity&) noexcept;

/// \param queue The workspace's queue, or nullptr if it has none yet.
/// \returns PresetRefuses, QueueFull or DeadlineUnreachable if the request must be refused.
[[nodiscard]] Result<void> admit(const Configuration&, const WorkspaceQueue* queue, const ExpectedCapacity&,
    const QueuedRequest&, std::size_t queuedRequests, std::size_t queuedBytes, Millis now);

}
