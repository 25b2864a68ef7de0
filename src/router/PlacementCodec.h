#pragma once

#include "base/Result.h"
#include "routing/PlacementMessages.h"

#include <string>
#include <string_view>

namespace jasminestack {

/// \returns Whether \p bytes start like a placement request. Messages that are neither placement requests nor replies
/// are fleet updates.
[[nodiscard]] bool isPlacementRequest(std::string_view bytes) noexcept;

/// \returns Whether \p bytes start like a placement reply.
[[nodiscard]] bool isPlacementReply(std::string_view bytes) noexcept;

/// \param now Current time of this daemon; the times of the query are sent relative to it.
[[nodiscard]] std::string encodePlacementRequest(const PlacementRequest&, Millis now);

/// \param now Current time of this daemon; the times of the query are reconstructed relative to it.
/// \returns The request, or PeerMessageRejected if the message is malformed or in another format version.
[[nodiscard]] Result<PlacementRequest> decodePlacementRequest(std::string_view bytes, Millis now);

[[nodiscard]] std::string encodePlacementReply(const PlacementReply&);

/// \returns The reply, or PeerMessageRejected if the message is malformed or in another format version.
[[nodiscard]] Result<PlacementReply> decodePlacementReply(std::string_view bytes);

}
