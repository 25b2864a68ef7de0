#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace jasminestack::standins {

/// \brief Measurements of one group of callers.
struct GroupStatistics {
    std::string workspace;
    std::uint64_t sent { 0 };
    std::uint64_t completed { 0 };
    std::uint64_t tokens { 0 };
    double cost { 0 };
    std::uint64_t wrong { 0 }; ///< Answers to another request or with other content than asked for.
    std::uint64_t partial { 0 }; ///< Answers that ended like whole ones but were not.
    std::uint64_t notSent { 0 }; ///< Open loop: arrivals beyond the limit of outstanding requests.
    std::vector<double> costBuckets; ///< Cost served in each 100 ms since the start.
    std::vector<std::uint32_t> outstanding; ///< At the end of each 100 ms.
    std::vector<float> firstByteMs;
    std::vector<float> latencyMs;
    std::vector<float> interChunkMs;
    std::map<std::string, std::uint64_t> errors; ///< By "kind/run_status".

    void addCost(double value, double sinceStartMs);
};

/// \brief An answer that claims that its request did not run.
struct NotRunResponse {
    std::string request; ///< The router's request id.
    std::string marker;
    std::string kind;
    double at { 0 };
};

/// \brief One attempt of a booking.
struct BookingAttempt {
    std::string booking;
    std::string target;
    std::string outcome; ///< "ok", an error kind, or how the connection ended.
    std::string runStatus;
    std::string request;
    double start { 0 };
    double end { 0 };
};

/// \brief All measurements of one run.
struct LoadStatistics {
    double startMs { 0 }; ///< Monotonic.
    double endMs { 0 };
    std::vector<GroupStatistics> groups;
    std::map<std::string, std::size_t> byName;
    std::vector<NotRunResponse> notRun;
    std::vector<BookingAttempt> bookings;
    std::vector<std::pair<double, std::string>> events; ///< Times of errors, at most 10,000.

    [[nodiscard]] nlohmann::json toJson() const;
};

}
