#pragma once

#include "base/Result.h"
#include "routing/FleetUpdate.h"

#include <string>
#include <string_view>

namespace jasminestack {

/// \returns The update encoded as MessagePack.
/// \param now Local time; times in the message are relative to it.
[[nodiscard]] std::string encodeFleetUpdate(const FleetUpdate&, Millis now);

/// \returns The update, or PeerMessageRejected if \p bytes are not a complete update in the supported format version.
[[nodiscard]] Result<FleetUpdate> decodeFleetUpdate(std::string_view bytes, Millis now);

}
