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

/// \brief Limits of the request path.
struct RequestProxyOptions {
    std::size_t maxBodyBytes { 4U << 20U };
    Millis connectTimeout { 1'000 };
    Millis firstByteTimeout { 30'000 };
    Millis responseIdleTimeout { 10'000 };
    std::size_t highWater { 32U << 10U }; ///< Bytes buffered for a caller above which its endpoint is not read.
    std::size_t wholeBytes { 256U << 10U }; ///< Answers up to this size reach the caller only when complete.
};

/// \brief What the request path reads, writes and calls.
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
    std::function<void(const CrashMark&)> sendCrashMark {}; ///< Tells all peers.
    ClaimService* claims { nullptr }; ///< Without it calls with an idempotency key are refused.
};

/// \brief Takes callers' requests through queue, endpoint and answer: one state machine for each request.
///
/// \code
/// RequestProxy flow(context, options);
/// CallerServer server(base, flow, { .address = "127.0.0.1:8080" });
/// \endcode
class RequestProxy final : public CallerHandler {
public:
    RequestProxy(RequestProxyContext, const RequestProxyOptions&);
    ~RequestProxy() override;
    RequestProxy(const RequestProxy&) = delete;
    RequestProxy& operator=(const RequestProxy&) = delete;

    void onRequest(CallerRequest, CallerExchange&) override;

    /// \brief Starts the requests that get a slot now; call it after each event that may free one.
    void dispatchGrants();

    /// \brief Ends requests whose deadline has passed and dispatches; call it every 50 ms or less.
    void tick();

    /// \brief From now on refuses new requests as shutting_down.
    void refuseNew() noexcept;

    /// \brief Tells the callers of all queued requests that they were not run.
    void refuseQueued();

    /// \returns Requests in progress.
    [[nodiscard]] std::size_t active() const noexcept;

    /// \returns Streams that are being relayed.
    [[nodiscard]] std::size_t openStreams() const noexcept;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

}
