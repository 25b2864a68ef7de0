#pragma once

#include "base/Result.h"
#include "routing/FleetUpdate.h"

#include <string>
#include <string_view>

namespace jasminestack {

/// \returns The message as MessagePack.
[[nodiscard]] std::string encodeFleetNews(const FleetNews&);

/// \returns PeerMessageRejected if \p bytes are not a whole message of this version.
[[nodiscard]] Result<FleetNews> decodeFleetNews(std::string_view bytes);

}
