#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace jasminestack::standins {

/// \brief One execution of a request at an endpoint. Times are milliseconds of the monotonic clock.
struct RunRecord {
    std::string endpoint;
    std::string requestId; ///< X-Request-Id.
    std::string workspace; ///< X-Workspace, if the router sends it.
    std::string marker; ///< The caller's marker: field "user" of a model request, "booking" of a booking.
    double arrived { 0 };
    double start { 0 }; ///< When the request got a slot.
    double decode { 0 }; ///< When prefill ends and decoding begins.
    double end { 0 }; ///< 0 while the request runs.
    std::uint64_t from { 0 }; ///< Index of the first token; above 0 for a resumed stream.
    std::uint64_t tokenCount { 0 }; ///< Tokens generated; set when the run ends.
    double cost { 0 };
    std::string outcome { "running" }; ///< "done", "cancelled", "crashed" or "running".
};

/// \brief Record of all runs at the stand-in endpoints, independent of what the routers report.
class Journal {
public:
    /// \returns The index of the new record.
    [[nodiscard]] std::size_t addRun(RunRecord);
    [[nodiscard]] RunRecord& run(std::size_t index) { return m_records[index]; }
    /// \returns The records from index \p firstIndex as JSON: {"next":N,"runs":[..]}.
    [[nodiscard]] nlohmann::json toJson(std::size_t firstIndex) const;

private:
    std::vector<RunRecord> m_records;
};

}
