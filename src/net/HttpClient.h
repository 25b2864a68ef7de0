#pragma once

#include "base/Clock.h"
#include "base/Result.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

struct event_base;

namespace jasminestack {

/// \brief An HTTP request whose body is held in memory.
struct HttpRequest {
    std::string address; ///< "IP:PORT".
    std::string method { "GET" };
    std::string target { "/" };
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    Millis timeout { 5'000 }; ///< For the whole exchange.
    std::size_t maxResponseBytes { 8U << 20U }; ///< A response with a longer body fails.
    std::string responseHeader; ///< Name of a response header that the caller needs; empty: none.
};

struct HttpResponse {
    int status { 0 };
    std::string body;
    std::string header; ///< Value of HttpRequest::responseHeader; empty if it is missing.
};

using HttpCallback = std::function<void(Result<HttpResponse>)>;

/// \brief Sends small requests to the platform's services on the event loop. Requests to endpoints use EndpointClient.
///
/// \code
/// client.send({ .address = "127.0.0.1:9000", .target = "/hosts" }, [](Result<HttpResponse> response) { ... });
/// \endcode
class HttpClient {
public:
    explicit HttpClient(event_base&);
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    /// \brief Starts an exchange. The callback is called exactly once, after this call has returned; callbacks
    /// that are pending when the client is destroyed are not called. Errors: EndpointUnavailable if no connection was
    /// established, so that nothing was sent; EndpointLost or EndpointTimeout if the request may have been received.
    void send(HttpRequest, HttpCallback);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

/// \brief Splits "IP:PORT".
/// \returns BadRequest if \p address does not have this form.
[[nodiscard]] Result<std::pair<std::string, std::uint16_t>> splitAddress(std::string_view address);

}
