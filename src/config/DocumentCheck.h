#pragma once

#include "config/JsonDocument.h"

#include <cstdint>
#include <string_view>

namespace jasminestack {

enum class DocumentKind : std::uint8_t { Unknown, DaemonSettings, RouterSettings, Configuration };

/// \returns "unknown", "settings", "router settings" or "configuration".
[[nodiscard]] std::string_view toString(DocumentKind) noexcept;

/// \brief Recognises settings or a configuration by its fields and validates it.
/// \returns What \p text is; it is valid if nothing was added to \p problems.
[[nodiscard]] DocumentKind checkDocument(std::string_view text, JsonProblems& problems);

}
