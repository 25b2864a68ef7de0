#pragma once

#include "base/Identifier.h"
#include "base/Result.h"
#include "config/Configuration.h"
#include "net/CallerServer.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jasminestack {

/// \brief A caller's request, resolved to a workspace and pool with the configuration in force.
struct ResolvedRequest {
    WorkspaceId workspace;
    PoolId pool;
    PoolKind kind { PoolKind::Model };
    bool isIdempotent { true }; ///< The request may run more than once, so it may be retried after it was sent.
    bool isKeyRequired { false }; ///< The route refuses this call without an Idempotency-Key.
    bool isStreaming { false }; ///< A model request with "stream":true.
    std::uint64_t prefixHash { 0 }; ///< Hash of the model and the start of the prompt; 0: no prompt.
    std::uint64_t contentHash { 0 }; ///< Hash of workspace, method, target and body.
    double costHint { 0 }; ///< Value of the caller's X-Cost-Hint header in cost units; 0: none.
    std::optional<Millis> timeout; ///< Value of the caller's X-Deadline-Ms header, counted from the request's arrival.
};

/// \returns The workspace of the request's API key, or Unauthorized. The pointer is valid as long as the configuration.
[[nodiscard]] Result<const WorkspaceConfig*> authenticate(const Configuration&, const CallerRequest&);

/// \brief Determines pool, timeout, cost hint and hashes of a request of \p workspace.
/// \returns The resolved request, or BadRequest, NotFound, UnknownModel or MethodNotAllowed.
[[nodiscard]] Result<ResolvedRequest> resolveRequest(
    const Configuration&, const WorkspaceConfig& workspace, const CallerRequest&);

/// \returns The body of GET /v1/models.
[[nodiscard]] std::string listModels(const Configuration&);

/// \brief The members of a model request's JSON body that the daemon uses.
struct ModelRequest {
    std::string model;
    bool isStreaming { false };
    std::string promptStart; ///< At most the first 1 KiB of the prompt's text.
};

/// \returns The members, or BadRequest if \p body is not a JSON object with a "model".
[[nodiscard]] Result<ModelRequest> parseModelRequest(std::string_view body);

/// \brief Computes cost units from an engine's usage object: 1 for each completion token, 1 for every 4 prompt tokens.
/// \param json A response body or event that contains "usage".
/// \returns The cost, or nothing if \p json has no valid usage object.
[[nodiscard]] std::optional<double> costFromUsage(std::string_view json);

/// \param bytes Total size of the request and response bodies.
/// \returns Cost units of a call to a plain service: 1, and 1 for every 4 KiB.
[[nodiscard]] double serviceCost(std::uint64_t bytes) noexcept;

}
