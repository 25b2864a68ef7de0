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

/// \brief What a caller's request asks for, by the configuration in force.
struct ResolvedRequest {
    WorkspaceId workspace;
    PoolId pool;
    PoolKind kind { PoolKind::Model };
    bool idempotent { true }; ///< May be repeated without harm.
    bool keyRequired { false }; ///< The route refuses this call without an Idempotency-Key.
    bool streaming { false }; ///< A model request with "stream":true.
    std::uint64_t prefixHash { 0 };
    std::uint64_t contentHash { 0 };
    double costHint { 0 };
    std::optional<Millis> deadline; ///< Relative to arrival, if the caller gave one.
};

/// \returns The workspace that the request's API key belongs to, or Unauthorized.
[[nodiscard]] Result<const WorkspaceConfig*> authenticate(const Configuration&, const CallerRequest&);

/// \brief Finds the pool for a request of \p workspace.
/// \returns BadRequest, NotFound, UnknownModel or MethodNotAllowed if there is none.
[[nodiscard]] Result<ResolvedRequest> resolveRequest(
    const Configuration&, const WorkspaceConfig& workspace, const CallerRequest&);

/// \returns The body of GET /v1/models.
[[nodiscard]] std::string listModels(const Configuration&);

/// \brief The members of a model request that the daemon needs.
struct ModelRequest {
    std::string model;
    bool streaming { false };
    std::string promptStart; ///< At most the first 1 KiB of the prompt's text.
};

/// \returns BadRequest if \p body is not a JSON object with a "model".
[[nodiscard]] Result<ModelRequest> parseModelRequest(std::string_view body);

/// \brief Cost units by an engine's usage object.
/// \param json A response body or event that contains "usage".
/// \returns Nothing if there is no valid usage.
[[nodiscard]] std::optional<double> usageCost(std::string_view json);

/// \returns Cost units of a call to a plain service with \p bytes of request and response bodies.
[[nodiscard]] double serviceCost(std::uint64_t bytes) noexcept;

}
