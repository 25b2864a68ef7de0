#pragma once

#include "base/Clock.h"
#include "base/Random.h"

/// \file
/// \brief Decides whether a request is sent now, waits in its daemon or is refused.
///
/// An engine works in order of arrival, so a request that would be late there also delays all that follow. It is sent
/// only while the predicted time to its first byte fits the tightest objective of its pool; the workspace's service
/// relative to its fair share moves that limit.

namespace jasminestack {

/// \brief What the decision depends on.
struct AdmissionInput {
    double predicted { 0 }; ///< Milliseconds to the first byte at the best endpoint; infinite if there is none.
    double reread { 0 }; ///< Cost in milliseconds of reading again what another endpoint holds.
    double alone { 0 }; ///< The same if the endpoint had no other work.
    double overrun { 1.0 }; ///< Factor that most answers stay below; see LatencyModel.
    Millis waited {}; ///< Since the request arrived.
    Millis objective {}; ///< The route's latency objective.
    Millis tightest {}; ///< Tightest objective of the streams in the same pool; 0 if there is none.
    Millis timeLeft {}; ///< Until the request's deadline.
    double pressure { 1.0 }; ///< The workspace's service over its fair share.
    bool returning { false }; ///< The caller was refused before and came back.
};

enum class AdmissionVerdict : std::uint8_t {
    Send,
    Wait,
    Refuse,
};

[[nodiscard]] AdmissionVerdict admit(const AdmissionInput&) noexcept;

/// \returns The time in milliseconds within which the first byte must be predicted for the request to be sent. A request
/// that is late even without other work (a very long prompt) may use half of the limit for the work ahead of it.
[[nodiscard]] double admissionLimit(const AdmissionInput&) noexcept;

/// \returns How long a refused caller should stay away: until there will be room, spread so that callers do not return
/// together.
[[nodiscard]] Millis retryDelay(const AdmissionInput&, Random&);

}
