#pragma once

#include "config/Configuration.h"
#include "core/Blackboard.h"

#include <span>
#include <vector>

/// \file
/// \brief Keeps the endpoint table: limits learned from lagging load reports, leaving endpoints, failing endpoints.

namespace jasminestack {

/// \brief An endpoint's load report.
struct LoadReport {
    std::uint32_t slots { 0 };
    std::uint32_t running { 0 };
    std::uint32_t waiting { 0 };
    bool leaving { false };
};

/// \brief How an exchange with an endpoint ended, as far as its health is concerned.
enum class ExchangeOutcome : std::uint8_t {
    Completed,
    Refused, ///< 429 or 503 with `X-Not-Run: 1`.
    ConnectionFailed, ///< Connection broken, refused or silent.
};

/// \brief Brings the table in line with the configuration. Endpoints that are no longer configured are marked removed
/// and dropped when their last request has ended.
void applyConfiguration(EndpointTable&, const Configuration&);

/// \brief Learns from a load report. The limit follows the reported slots; while requests wait at the endpoint it
/// shrinks by one a report, down to half of the slots, since another daemon then overfills it. \returns Whether this is
/// the first sign that the endpoint is leaving.
[[nodiscard]] bool onLoadReport(EndpointTable&, const EndpointId&, const LoadReport&, Millis now);

/// \brief Learns from the end of an exchange: lost exchanges back the endpoint off for a time that doubles up to 10 s.
void onExchangeEnd(EndpointTable&, const EndpointId&, ExchangeOutcome, Millis now);

/// \brief The host list's entry of the endpoint.
/// \returns Whether this is the first sign that the endpoint is leaving.
[[nodiscard]] bool onHostListEntry(EndpointTable&, const EndpointId&, bool leaving, Millis now);

/// \brief A peer saw the first sign that the endpoint is leaving, or took it back.
void onEndpointLeavingUpdate(EndpointTable&, const EndpointId&, bool leaving, Millis now);

/// \returns Whether new work may be sent to the endpoint.
[[nodiscard]] bool acceptsWork(const EndpointState&, Millis now) noexcept;

}
