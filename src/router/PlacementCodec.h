#pragma once

#include "base/Result.h"
#include "routing/PlacementMessages.h"

#include <string>
#include <string_view>

namespace jasminestack {

/// \returns Whether \p bytes begin like a question or an answer about a placement; others are fleet news.
[[nodiscard]] bool isPlacementRequest(std::string_view bytes) noexcept;
[[nodiscard]] bool isPlacementReply(std::string_view bytes) noexcept;

/// \param now Times of the query are sent relative to it.
[[nodiscard]] std::string encodePlacementRequest(const PlacementRequest&, Millis now);

/// \param now Times of the query are reconstructed relative to it.
/// \returns PeerMessageRejected if the message cannot be read.
[[nodiscard]] Result<PlacementRequest> decodePlacementRequest(std::string_view bytes, Millis now);

[[nodiscard]] std::string encodePlacementReply(const PlacementReply&);

/// \returns PeerMessageRejected if the message cannot be read.
[[nodiscard]] Result<PlacementReply> decodePlacementReply(std::string_view bytes);

}
