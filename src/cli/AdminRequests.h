#pragma once

#include "base/Result.h"
#include "net/HttpClient.h"

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

/// \file
/// \brief Requests that the operator commands send to the admin server at the address given by --admin.

namespace jasminestack {

/// \brief Sends one request and waits for the response.
/// \returns The response; EndpointUnavailable if the server cannot be reached; EndpointLost or EndpointTimeout if the
/// response is not received.
[[nodiscard]] Result<HttpResponse> sendAdminRequest(
    std::string_view method, std::string_view target, std::string_view body = {}, std::string_view token = {});

/// \brief Fetches a JSON document; prints an error if the request fails.
/// \returns The exit code; \p document is set if the code is 0.
[[nodiscard]] int fetchJson(std::string_view target, nlohmann::json& document);

/// \brief Prints "jasminestack: MESSAGE" to standard error.
/// \returns \p code.
int fail(int code, std::string_view message);

/// \brief Result of a publication.
struct PublishResult {
    int code { 0 }; ///< Exit code.
    std::string id; ///< Id of the change record; empty if no change was sent.
    std::uint64_t version { 0 }; ///< The new version, or the version in force if the change was not accepted.
};

/// \brief Builds the merge patch for the current document.
/// \returns An exit code. An empty patch is not published.
using PatchBuilder = std::function<int(const nlohmann::json& document, std::uint64_t version, nlohmann::json& patch)>;

/// \brief Reads the current configuration, publishes a patch with its version as the base and prints the outcome.
///
/// If the response is lost, the change is looked up in the history by its id and never sent again: it may have been
/// appended, and a second record could be accepted after another operator has reverted the first.
[[nodiscard]] PublishResult publish(const PatchBuilder&);

}
