#pragma once

#include "base/Result.h"
#include "net/HttpClient.h"

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

/// \file
/// \brief Requests of the operator commands to the admin server of --admin.

namespace jasminestack {

/// \brief Sends one request and waits for the answer.
/// \returns EndpointUnavailable if the server was not reached; EndpointLost or EndpointTimeout if the answer is
/// missing.
[[nodiscard]] Result<HttpResponse> adminExchange(
    std::string_view method, std::string_view target, std::string_view body = {}, std::string_view token = {});

/// \brief Fetches a JSON document and prints an error if that fails.
/// \returns The exit code; \p into is set if it is 0.
[[nodiscard]] int fetchJson(std::string_view target, nlohmann::json& into);

/// \brief Prints "jasminestack: MESSAGE" to standard error.
/// \returns \p code.
int fail(int code, std::string_view message);

/// \brief How a publication ended.
struct PublishResult {
    int code { 0 }; ///< Exit code.
    std::string id; ///< Of the change record; empty if nothing was sent.
    std::uint64_t version { 0 }; ///< The new version, or the one that won.
};

/// \brief Makes the merge patch from the current document. Returns an exit code; an empty patch publishes nothing.
using PatchBuilder = std::function<int(const nlohmann::json& document, std::uint64_t version, nlohmann::json& patch)>;

/// \brief Reads the current configuration, publishes a patch with its version as the base and prints the outcome.
///
/// A change whose answer is lost is looked up in the history by its id and never sent again: it may have been appended,
/// and a second record could be accepted after another operator has undone the first.
[[nodiscard]] PublishResult publish(const PatchBuilder&);

}
