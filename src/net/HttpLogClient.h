#pragma once

#include "net/HttpClient.h"
#include "net/Interfaces.h"

namespace jasminestack {

/// \brief LogClient over the platform's HTTP log service.
///
/// The error kind of an append shows its outcome: LogUnavailable means that the service rejected it or was not reached,
/// so the record was not appended; EndpointLost and EndpointTimeout mean that it may have been appended. Reads report
/// every failure as LogUnavailable.
///
/// \code
/// HttpLogClient log(http, "127.0.0.1:9100");
/// log.read("config", 0, 100, Millis { 10'000 }, [](Result<LogBatch> batch) { ... });
/// \endcode
class HttpLogClient final : public LogClient {
public:
    /// \param address "IP:PORT" of the log service.
    HttpLogClient(HttpClient& http, std::string address);

    void append(std::string_view stream, std::string_view payload, AppendCallback) override;
    void read(std::string_view stream, std::int64_t from, unsigned maxRecords, Millis maxWait, ReadCallback) override;

private:
    HttpClient& m_http;
    std::string m_address;
};

/// \brief Parses the response body of a read.
/// \returns LogUnavailable if \p body is malformed.
[[nodiscard]] Result<LogBatch> parseLogBatch(std::string_view body);

}
