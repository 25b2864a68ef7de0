#pragma once

#include "base/Clock.h"
#include "base/Identifier.h"
#include "config/Configuration.h"
#include "core/CrashGuard.h"
#include "core/Retry.h"
#include "core/Scheduling.h"
#include "daemon/ClaimService.h"
#include "net/CallerServer.h"
#include "net/Interfaces.h"
#include "observe/Metrics.h"
#include "observe/Tracing.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

namespace jasminestack {

/// \brief Size limits and timeouts of requests and responses.
struct RequestProxyOptions {
    std::size_t maxBodyBytes { 4U << 20U };
    Millis connectTimeout { 1'000 };
    Millis firstByteTimeout { 30'000 };
    Millis responseIdleTimeout { 10'000 };
    /// While a caller's send buffer holds more than this, the response is not read from the endpoint.
    std::size_t maxSendBufferBytes { 32U << 10U };
    std::size_t maxBufferedResponseBytes { 256U << 10U }; ///< Longer responses are passed through unbuffered.
};

/// \brief Dependencies of RequestProxy.
struct RequestProxyContext {
    const Clock& clock;
    Random& random;
    std::function<const Configuration&()> configuration;
    SchedulingState& scheduling;
    SelfState& self;
    MemberTable& members;
    EndpointTable& endpoints;
    EndpointTransport& transport;
    Metrics& metrics;
    Tracer& tracer;
    RetryBudget& retryBudget;
    CrashGuardState& crashGuard;
    std::function<void(const CrashMark&)> sendCrashMark {}; ///< Sends the mark to all peers.
    ClaimService* claims { nullptr }; ///< If null, non-idempotent calls with an idempotency key are refused.
};

/// \brief Queues callers' requests, forwards them to endpoints and returns the responses; one state machine for each
/// request.
///
/// \code
/// RequestProxy proxy(context, options);
/// CallerServer server(base, proxy, { .address = "127.0.0.1:8080" });
/// \endcode
class RequestProxy final : public CallerHandler {
public:
    RequestProxy(RequestProxyContext, const RequestProxyOptions&);
    ~RequestProxy() override;
    RequestProxy(const RequestProxy&) = delete;
    RequestProxy& operator=(const RequestProxy&) = delete;

    void onRequest(CallerRequest, CallerExchange&) override;

    /// \brief Assigns free slots to queued requests and starts these requests; call it after each event that may free a
    /// slot.
    void dispatchQueuedRequests();

    /// \brief Ends requests whose deadline has passed and dispatches queued requests; call it at least every 50 ms.
    void tick();

    /// \brief Refuses all further requests with the error shutting_down.
    void refuseNewRequests() noexcept;

    /// \brief Refuses all requests that are queued or wait for their idempotency claim with the error shutting_down.
    void refuseQueuedRequests();

    /// \returns The number of requests in progress.
    [[nodiscard]] std::size_t activeRequestCount() const noexcept;

    /// \returns The number of streams that are being relayed to callers.
    [[nodiscard]] std::size_t openStreamCount() const noexcept;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

}
