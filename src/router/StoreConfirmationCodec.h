#pragma once

#include "base/Result.h"
#include "routing/StoreReaders.h"

#include <string>
#include <string_view>

namespace jasminestack {

/// \returns Whether \p bytes start like a store confirmation.
[[nodiscard]] bool isStoreConfirmation(std::string_view bytes) noexcept;

[[nodiscard]] std::string encodeStoreConfirmation(const StoreConfirmation&);

/// \returns The confirmation, or PeerMessageRejected if the message is malformed or in another format version.
[[nodiscard]] Result<StoreConfirmation> decodeStoreConfirmation(std::string_view bytes);

}
