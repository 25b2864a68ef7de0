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
    std::uint64_t wrong { 0 }; ///< Responses that do not match the request.
    std::uint64_t partial { 0 }; ///< Responses that ended without an error but are incomplete.
    std::uint64_t notSent { 0 }; ///< Open loop: arrivals while all callers were busy.
    std::vector<double> costBuckets; ///< Cost served in each interval of 100 ms since the start.
    std::vector<std::uint32_t> outstanding; ///< Requests without a response at the end of each interval of 100 ms.
    std::vector<float> firstByteMs;
    std::vector<float> latencyMs;
    std::vector<float> interChunkMs;
    std::map<std::string, std::uint64_t> errors; ///< Counts by "kind/run_status".

    void addCost(double value, double sinceStartMs);
};

/// \brief An error response that states that its request did not run.
struct NotRunResponse {
    std::string requestId; ///< The router's request id.
    std::string marker;
    std::string kind;
    double receivedMs { 0 }; ///< Monotonic clock.
};

/// \brief One attempt of a booking.
struct BookingAttempt {
    std::string booking;
    std::string target;
    std::string outcome; ///< "ok", "wrong_answer", an error kind, or how the connection ended.
    std::string runStatus;
    std::string requestId;
    double startMs { 0 };
    double endMs { 0 };
};

/// \brief All measurements of one run.
struct LoadStatistics {
    double startMs { 0 }; ///< Monotonic clock.
    double endMs { 0 };
    std::vector<GroupStatistics> groups;
    std::map<std::string, std::size_t> groupIndexByName;
    std::vector<NotRunResponse> notRun;
    std::vector<BookingAttempt> bookings;
    std::vector<std::pair<double, std::string>> events; ///< Time (ms) and text of errors, at most 10,000.

    [[nodiscard]] nlohmann::json toJson() const;
};

}
