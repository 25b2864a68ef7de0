#pragma once

#include "config/JsonDocument.h"

#include <cstdint>
#include <string_view>

namespace jasminestack {

enum class DocumentKind : std::uint8_t { Unknown, DaemonSettings, RouterSettings, Configuration };

/// \returns "unknown", "settings", "router settings" or "configuration".
[[nodiscard]] std::string_view toString(DocumentKind) noexcept;

/// \brief Determines by its fields whether \p text is settings or a configuration and validates it.
/// \returns The kind of \p text; the document is valid if nothing was added to \p problems.
[[nodiscard]] DocumentKind checkDocument(std::string_view text, JsonProblems& problems);

}
