#pragma once

#include "router/DeploymentSource.h"

#include <string>
#include <string_view>

/// \file
/// \brief The request by which a daemon fetches the deployment's documents of a peer.

namespace jasminestack {

inline constexpr std::string_view documentsPath = "/documents";

/// \returns The request target for the documents that are newer than \p known.
[[nodiscard]] std::string formatDocumentsTarget(const DeploymentVersions& known);

/// \returns The versions in the query of a request target; those of a daemon without documents if they are missing or
/// malformed.
[[nodiscard]] DeploymentVersions parseDocumentsTarget(std::string_view target);

}
