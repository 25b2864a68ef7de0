#pragma once

#include "base/Random.h"
#include "base/Result.h"

#include <cstddef>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace jasminestack::standins {

/// \brief Distribution of a number of tokens.
struct TokenDistribution {
    std::string shape {
        "fixed"
    }; ///< "fixed", "uniform", "lognormal" or "bimodal" (mostly minimum, sometimes maximum).
    double mean { 64 };
    double sigma { 0.8 }; ///< Of the logarithm, for "lognormal".
    double minimum { 1 };
    double maximum { 1e9 };
    double largePart { 0.1 }; ///< Part of the large ones, for "bimodal".

    [[nodiscard]] unsigned sample(Random&) const;
};

/// \brief A group of callers of one workspace that behave alike.
struct CallerGroup {
    std::string name;
    std::string workspace;
    std::string key;
    std::vector<std::string> targets; ///< Daemons' caller addresses; callers start on them in turn.
    std::string kind { "model" }; ///< "model", "booking" or "get".
    bool open { false }; ///< Open loop (Poisson arrivals) instead of closed loop.
    unsigned connections { 1 }; ///< Closed loop: outstanding requests; open loop: their limit.
    double ratePerSecond { 1 };
    double startMs { 0 };
    double stopMs { 1e12 };
    double thinkMs { 0 };
    std::string model { "demo-model" };
    std::string path; ///< Booking or GET path.
    TokenDistribution tokens;
    unsigned promptTokens { 32 };
    unsigned prefixes { 0 }; ///< Number of different prompt prefixes; 0: each prompt is its own.
    std::string hint { "none" }; ///< "none", "exact", "noisy" (off by up to 5x) or "false".
    double falseHint { 1 };
    double streamPart { 1 }; ///< Part of the model requests that stream.
    double deadlineMs { 0 };
    double timeoutMs { 120'000 };
    std::string crashMarker; ///< Put into the prompt of each request of this group.
    bool sameContent { false }; ///< All requests have the same body.
    unsigned resends { 0 }; ///< Bookings: further attempts with the same key through other targets.
    double duplicatePart { 0 }; ///< Bookings that are also sent through another target at the same time.
    bool idempotencyKey { true };
};

struct LoadScenario {
    std::uint64_t seed { 1 };
    double seconds { 10 };
    double drainSeconds { 0 }; ///< Time for outstanding requests after the end of the load.
    std::vector<CallerGroup> groups;
};

[[nodiscard]] Result<LoadScenario> parseScenario(const nlohmann::json&);

}
