#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace jasminestack::standins {

/// \brief One run of a request at an endpoint. Times are monotonic milliseconds.
struct RunRecord {
    std::string endpoint;
    std::string request; ///< X-Request-Id.
    std::string workspace; ///< X-Workspace, if the router sends it.
    std::string marker; ///< The caller's marker: field "user" of a model request, "booking" of a booking.
    double arrived { 0 };
    double start { 0 }; ///< Slot taken.
    double decode { 0 }; ///< First token due.
    double end { 0 }; ///< 0 while it runs.
    std::uint64_t from { 0 }; ///< First token of this run (resumed streams).
    std::uint64_t tokens { 0 }; ///< Generated so far.
    double cost { 0 };
    std::string outcome { "running" }; ///< "done", "cancelled", "crashed" or "running".
};

/// \brief What the endpoints ran, observed independently of the routers.
class Journal {
public:
    /// \returns The index of the new record.
    [[nodiscard]] std::size_t add(RunRecord);
    [[nodiscard]] RunRecord& at(std::size_t index) { return m_records[index]; }
    /// \returns The records from index \p since as JSON: {"next":N,"runs":[..]}.
    [[nodiscard]] nlohmann::json toJson(std::size_t since) const;

private:
    std::vector<RunRecord> m_records;
};

}
