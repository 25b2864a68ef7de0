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
    std::string shape { "fixed" }; ///< "fixed", "uniform", "lognormal" or "bimodal" (minimum or maximum).
    double mean { 64 };
    double sigma { 0.8 }; ///< "lognormal": standard deviation of the logarithm.
    double minimum { 1 };
    double maximum { 1e9 };
    double maximumPart { 0.1 }; ///< "bimodal": probability of the maximum.

    [[nodiscard]] unsigned sample(Random&) const;
};

/// \brief A group of callers of one workspace with the same behaviour.
struct CallerGroup {
    std::string name;
    std::string workspace;
    std::string key;
    std::vector<std::string> targets; ///< Daemons' caller addresses; the callers' first targets go round them.
    std::string kind { "model" }; ///< "model", "booking" or "get".
    bool isOpenLoop { false }; ///< Open loop (Poisson arrivals) instead of closed loop.
    unsigned connections { 1 }; ///< Closed loop: callers; open loop: maximum number of callers.
    double ratePerSecond { 1 };
    double startMs { 0 };
    double stopMs { 1e12 };
    double thinkMs { 0 };
    std::string model { "demo-model" };
    std::string path; ///< Booking or GET path.
    TokenDistribution tokens;
    unsigned promptTokens { 32 };
    unsigned prefixes { 0 }; ///< Number of different prompt prefixes; 0: none.
    std::string hint {
        "none"
    }; ///< Cost hint: "none", "exact", "noisy" (wrong by a factor of up to 5) or "false" (falseHint).
    double falseHint { 1 };
    double streamPart { 1 }; ///< Fraction of the model requests that ask for a stream.
    double deadlineMs { 0 };
    double timeoutMs { 120'000 };
    std::string crashMarker; ///< Inserted into each request of this group; empty: none.
    bool sameContent { false }; ///< All requests have the same body.
    unsigned retries { 0 }; ///< Bookings: number of retries with the same key through other targets.
    double duplicatePart {
        0
    }; ///< Bookings: probability that another target receives the same booking at the same time.
    bool idempotencyKey { true };
};

struct LoadScenario {
    std::uint64_t seed { 1 };
    double seconds { 10 };
    double drainSeconds { 0 }; ///< Longest wait for requests in flight after the end of the load.
    std::vector<CallerGroup> groups;
};

/// \returns The scenario, or an error if the value is not an object or a group has no targets.
[[nodiscard]] Result<LoadScenario> parseScenario(const nlohmann::json&);

}
