#pragma once

#include "base/Clock.h"
#include "base/Identifier.h"
#include "base/Result.h"
#include "net/CallerServer.h"
#include "net/Interfaces.h"
#include "net/SseEvent.h"
#include "routing/PromptCache.h"
#include "routing/RoutingTable.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace jasminestack {

/// \brief Decoded headers of a caller's request.
struct RequestMetadata {
    std::string id; ///< Chosen by the caller; a retry by the caller has a different id.
    std::string host; ///< In lower case, without the port.
    std::string apiKey; ///< Empty if the request has none.
    std::optional<Millis> timeLeft; ///< Time left for the caller when the request arrived: its timeout.
    std::vector<PromptPart> prompt; ///< In the prompt's order; empty for requests without a prompt.
    /// Hashes of the prompt's parts that other requests may have too, each of the part alone: unlike PromptPart::key,
    /// the hash of a part is the same behind different preceding parts.
    std::vector<std::uint64_t> sharedParts;
    /// Id of the last event that the caller has of a stream; 0 if it has none. No value if the header that states it is
    /// malformed.
    std::optional<std::uint64_t> lastEventId { 0 };
    std::uint64_t promptTokens { 0 };
    std::uint64_t maxOutputTokens { 0 };
    std::uint64_t expectedOutputTokens { 0 }; ///< The caller's estimate; 0 if it states none.
};

/// \brief Data that the daemon adds to a request to an endpoint.
struct ForwardingContext {
    const Registration& endpoint;
    std::string_view workspace; ///< Empty if the request has none.
    Millis timeLeft {}; ///< Until the deadline, after which the endpoint may cancel the request.
    std::uint64_t lastEventId { 0 }; ///< Of the last event that the caller has; 0 at the start of the stream.
};

/// \brief Decoded headers of an endpoint's response.
struct ResponseMetadata {
    /// It has the header by which the endpoint's service signs its responses. The signature is not verified.
    bool isSigned { false };
    bool isNotExecuted { false }; ///< The endpoint states that it has not run the request and will not run it.
    bool isEncoded { false }; ///< An intermediary between the endpoint and the daemon has encoded the body.
    bool isLeaving { false }; ///< The endpoint leaves and wants no further requests.
    Millis requestedPause {}; ///< The endpoint wants no requests from this daemon for so long.
    std::string_view echoedRequestId; ///< Id of the request that it responds to; empty if the response has none.
};

/// \brief Translates the headers of a deployment's callers and endpoints. Implemented by the deployment's adapter.
class RequestProtocol {
public:
    virtual ~RequestProtocol() = default;

    /// \brief Decodes the headers of a caller's request.
    /// \returns The metadata, or BadRequest if a required header is missing or ambiguous.
    [[nodiscard]] virtual Result<RequestMetadata> decode(const CallerRequest&) const = 0;

    /// \brief Builds the request to an endpoint; RoutedRequest sets its timeouts and whether it requires a fresh
    /// connection.
    [[nodiscard]] virtual EndpointRequest encode(
        const CallerRequest&, const RequestMetadata&, const ForwardingContext&) const = 0;

    /// \brief Decodes the headers of an endpoint's response.
    /// \returns The metadata; its views are valid as long as the head.
    [[nodiscard]] virtual ResponseMetadata decodeResponse(const HttpResponseHead&) const = 0;

    /// \returns What the events of the deployment's streams contain.
    [[nodiscard]] virtual EventRules eventRules() const noexcept = 0;
};

}
