#pragma once

#include "config/Configuration.h"
#include "core/Blackboard.h"

#include <span>
#include <vector>

/// \file
/// \brief Updates the endpoint table: concurrency limits from load reports, which arrive with a delay, and which
/// endpoints are leaving or failing.

namespace jasminestack {

/// \brief An endpoint's load report.
struct LoadReport {
    std::uint32_t slots { 0 };
    std::uint32_t running { 0 };
    std::uint32_t waiting { 0 };
    bool leaving { false };
};

/// \brief How an attempt at an endpoint ended, as far as its health is concerned.
enum class EndpointAttemptOutcome : std::uint8_t {
    Completed,
    Refused, ///< 429 or 503 with `X-Not-Run: 1`.
    ConnectionFailed, ///< The connection broke, was refused or timed out.
};

/// \brief Updates the table to the configuration. Endpoints that are no longer configured are marked removed; a later
/// call deletes them once their last request has ended.
void applyConfiguration(EndpointTable&, const Configuration&);

/// \brief Applies a load report. The concurrency limit stays between half of the reported slots and all of them. A
/// report lowers it by one if more than slots / 4 + 1 requests wait at the endpoint, since another daemon then sends
/// too many; any other report raises it by one.
/// \returns Whether the endpoint is leaving now and was not leaving before.
[[nodiscard]] bool onLoadReport(EndpointTable&, const EndpointId&, const LoadReport&, Millis now);

/// \brief Records the end of an attempt. A failed connection starts a backoff, which doubles up to 10 s; a refusal
/// starts one of 500 ms.
void onEndpointAttemptEnd(EndpointTable&, const EndpointId&, EndpointAttemptOutcome, Millis now);

/// \brief Applies the endpoint's entry in the host list.
/// \returns Whether the endpoint is leaving now and was not leaving before.
[[nodiscard]] bool onHostListEntry(EndpointTable&, const EndpointId&, bool leaving, Millis now);

/// \brief Applies an update from a peer that the endpoint is leaving or no longer leaving.
void onEndpointLeavingUpdate(EndpointTable&, const EndpointId&, bool leaving, Millis now);

/// \returns Whether new requests may be sent to the endpoint.
[[nodiscard]] bool acceptsRequests(const EndpointState&, Millis now) noexcept;

}
