#pragma once

#include "base/Clock.h"
#include "base/Identifier.h"
#include "base/Result.h"
#include "net/CallerServer.h"
#include "net/Interfaces.h"
#include "routing/PromptCache.h"
#include "routing/RoutingTable.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace jasminestack {

/// \brief What a caller's headers say, decoded.
struct RequestMetadata {
    std::string id; ///< Chosen by the caller; one for each of its attempts.
    std::string host; ///< Lower case, without port.
    std::string apiKey; ///< Empty if there is none.
    std::optional<Millis> timeLeft; ///< How long the caller waits, counted from the request's arrival.
    std::vector<PromptPart> prompt; ///< In order; empty for plain requests.
    std::uint64_t promptTokens { 0 };
    std::uint64_t maxOutputTokens { 0 }; ///< At most.
};

/// \brief What the daemon adds when it sends a request to an endpoint.
struct ForwardingContext {
    const Registration& endpoint;
    std::string_view workspace; ///< Empty if the request has none.
    Millis timeLeft {}; ///< After which the endpoint need not go on.
    std::string_view lastEventId {}; ///< Last event that the caller has; empty if the stream starts anew.
};

/// \brief What an endpoint's answer says about itself.
struct ResponseMetadata {
    bool isSigned { false }; ///< It carries the endpoint's proof that it comes from its service.
    bool notExecuted { false }; ///< The endpoint has not run the request and will not.
    bool encoded { false }; ///< The body was changed on the way (Content-Encoding).
    std::string_view echoedRequestId; ///< Id of the request that it answers; empty if not told.
};

/// \brief Header names and values of a deployment's callers and endpoints. The implementation is the adapter's.
class RequestProtocol {
public:
    virtual ~RequestProtocol() = default;

    /// \returns BadRequest if a header that the daemon needs is missing or ambiguous.
    [[nodiscard]] virtual Result<RequestMetadata> decode(const CallerRequest&) const = 0;

    /// \brief Builds the request to an endpoint, without the time limits of the exchange.
    [[nodiscard]] virtual EndpointRequest encode(
        const CallerRequest&, const RequestMetadata&, const ForwardingContext&) const = 0;

    [[nodiscard]] virtual ResponseMetadata inspect(const HttpResponseHead&) const = 0;
};

}
