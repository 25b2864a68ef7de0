#include "core/Admission.h"

#include <cmath>

namespace jasminestack {

Millis estimateWait(const WorkspaceQueue& queue, const ExpectedCapacity& capacity) noexcept
{
    if (capacity.hasFreeSlot || queue.averageSlotTimeMs <= 0 || capacity.slots <= 0)
        return {};
    double queuePosition = static_cast<double>(queue.queued()) + 1.0;
    return { static_cast<std::int64_t>(std::min(1e12, queuePosition * queue.averageSlotTimeMs / capacity.slots)) };
}

Result<void> admit(const Configuration& configuration, const WorkspaceQueue* queue, const ExpectedCapacity& capacity,
    const QueuedRequest& request, std::size_t queuedRequests, std::size_t queuedBytes, Millis now)
{
    auto workspace = configuration.workspaces.find(request.workspace);
    if (workspace == configuration.workspaces.end() || !workspace->second.admitted) {
        return Error { .kind = ErrorKind::PresetRefuses,
            .message
            = "workspace " + request.workspace.value + " is not admitted by preset " + configuration.presetInForce };
    }
    const WorkspaceConfig& limits = workspace->second;
    if (queuedRequests >= limits.queueRequests) {
        return Error { .kind = ErrorKind::QueueFull,
            .message = "workspace " + request.workspace.value + " has " + std::to_string(queuedRequests)
                + " queued requests, the limit is " + std::to_string(limits.queueRequests) };
    }
    if (queuedBytes + request.bodyBytes > limits.queueBytes) {
        return Error { .kind = ErrorKind::QueueFull,
            .message = "workspace " + request.workspace.value + " has " + std::to_string(queuedBytes)
                + " queued bytes; with this request they would exceed the limit of "
                + std::to_string(limits.queueBytes) };
    }
    Millis estimatedWait = queue ? estimateWait(*queue, capacity) : Millis {};
    if (now + estimatedWait > request.deadline) {
        return Error { .kind = ErrorKind::DeadlineUnreachable,
            .message = "the estimated wait of " + std::to_string(estimatedWait.count)
                + " ms exceeds the time until the deadline" };
    }
    return ok();
}

}
