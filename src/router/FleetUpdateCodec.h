#pragma once

#include "base/Result.h"
#include "routing/FleetUpdate.h"

#include <string>
#include <string_view>

namespace jasminestack {

/// \returns The update encoded as MessagePack.
[[nodiscard]] std::string encodeFleetUpdate(const FleetUpdate&);

/// \returns The update, or PeerMessageRejected if \p bytes are not a complete update in the supported format version.
[[nodiscard]] Result<FleetUpdate> decodeFleetUpdate(std::string_view bytes);

}
