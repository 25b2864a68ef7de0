#pragma once

#include "config/Configuration.h"
#include "core/Blackboard.h"

#include <span>
#include <vector>

/// \file
/// \brief Updates the endpoint table: concurrency limits from load reports, which lag, and leaving and failing
/// endpoints.

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

/// \brief Applies a load report. The concurrency limit follows the reported slots. While more than a quarter of the
/// slots plus one request wait at the endpoint, another daemon overfills it, so each report lowers the limit by one,
/// down to half of the slots.
/// \returns Whether the endpoint was not known to be leaving and now is.
[[nodiscard]] bool onLoadReport(EndpointTable&, const EndpointId&, const LoadReport&, Millis now);

/// \brief Records the end of an attempt. Failed connections start a backoff, which doubles up to 10 s.
void onAttemptEnd(EndpointTable&, const EndpointId&, EndpointAttemptOutcome, Millis now);

/// \brief Applies the endpoint's entry in the host list.
/// \returns Whether the endpoint was not known to be leaving and now is.
[[nodiscard]] bool onHostListEntry(EndpointTable&, const EndpointId&, bool leaving, Millis now);

/// \brief Applies an update from a peer that the endpoint is leaving or no longer leaving.
void onEndpointLeavingUpdate(EndpointTable&, const EndpointId&, bool leaving, Millis now);

/// \returns Whether new requests may be sent to the endpoint.
[[nodiscard]] bool acceptsRequests(const EndpointState&, Millis now) noexcept;

}
