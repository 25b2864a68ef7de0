#pragma once

#include "base/Result.h"
#include "routing/FleetUpdate.h"

#include <string>
#include <string_view>

namespace jasminestack {

/// \returns The message as MessagePack.
[[nodiscard]] std::string encodeFleetUpdate(const FleetUpdate&);

/// \returns PeerMessageRejected if \p bytes are not a whole message of this version.
[[nodiscard]] Result<FleetUpdate> decodeFleetUpdate(std::string_view bytes);

}
