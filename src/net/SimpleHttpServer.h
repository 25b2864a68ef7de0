#pragma once

#include "base/Result.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

struct event_base;

namespace jasminestack {

/// \brief A response of SimpleHttpServer.
struct SimpleHttpResponse {
    int status { 200 };
    std::string body;
    std::string contentType { "text/plain; charset=utf-8" };
};

/// \brief Limits of SimpleHttpServer.
struct SimpleHttpServerOptions {
    std::size_t maxConnections { 64 }; ///< At each address; the oldest connection is closed for another one.
    std::size_t maxTotalBytes { 0 }; ///< Of the requests at each address, and a quarter for responses; 0: no limit.
};

/// \brief A small HTTP server for health checks, metrics and the configuration documents that peers fetch. It uses
/// CallerServer, since evhttp reads all bytes that have arrived before it looks at its limits.
class SimpleHttpServer {
public:
    /// \brief Handles a GET or HEAD request.
    /// \param target Path, and query if there is one.
    using Handler = std::function<SimpleHttpResponse(std::string_view target)>;

    SimpleHttpServer(event_base&, Handler, const SimpleHttpServerOptions& = {});
    ~SimpleHttpServer();
    SimpleHttpServer(const SimpleHttpServer&) = delete;
    SimpleHttpServer& operator=(const SimpleHttpServer&) = delete;

    /// \brief Binds an additional address "IP:PORT".
    /// \returns SettingsInvalid if the address cannot be bound.
    [[nodiscard]] Result<void> listen(std::string_view address);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

}
