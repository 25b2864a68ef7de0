#pragma once

#include <optional>
#include <string>

namespace jasminestack {

/// \returns The content of the file, or std::nullopt if the file cannot be read.
[[nodiscard]] std::optional<std::string> readFile(const std::string& path);

}
