#include "cli/AdminRequests.h"

#include "base/Clock.h"
#include "base/Random.h"
#include "cli/Commands.h"
#include "cli/Flags.h"

#include <absl/flags/flag.h>
#include <cstdlib>
#include <event2/event.h>
#include <fstream>
#include <iostream>
#include <memory>
#include <optional>

namespace jasminestack {

namespace {

    using nlohmann::json;

    constexpr Millis pollInterval { 200 };

    std::string environmentVariable(const char* name)
    {
        const char* value = std::getenv(name); // NOLINT(concurrency-mt-unsafe): the command line has one thread.
        return value ? value : "";
    }

    Result<std::string> operatorToken()
    {
        const std::string path = absl::GetFlag(FLAGS_token_file);
        std::string token = path.empty() ? environmentVariable("JASMINESTACK_OPERATOR_TOKEN") : "";
        if (!path.empty()) {
            std::ifstream stream(path);
            if (!stream || !std::getline(stream, token))
                return Error { .kind = ErrorKind::BadRequest,
                    .message = "cannot read the operator token from " + path };
        }
        token.erase(token.find_last_not_of(" \t\r\n") + 1);
        if (token.empty()) {
            return Error { .kind = ErrorKind::BadRequest,
                .message = "changes need an operator token: --token-file or JASMINESTACK_OPERATOR_TOKEN" };
        }
        return token;
    }

    std::string authorName()
    {
        std::string name = absl::GetFlag(FLAGS_author);
        if (name.empty())
            name = environmentVariable("USER");
        return name.empty() ? "unknown" : name.substr(0, 128);
    }

    void waitFor(Millis duration)
    {
        std::unique_ptr<event_base, decltype(&event_base_free)> base(event_base_new(), &event_base_free);
        timeval timeout { .tv_sec = duration.count / 1000, .tv_usec = (duration.count % 1000) * 1000 };
        event_base_loopexit(base.get(), &timeout);
        event_base_loop(base.get(), EVLOOP_NO_EXIT_ON_EMPTY);
    }

    // The kind and message of an error body, or the HTTP status if the body has another form.
    std::string errorText(const HttpResponse& response)
    {
        const json body = json::parse(response.body, nullptr, false);
        if (body.is_object() && body.contains("error") && body["error"].is_object())
            return body["error"].value("kind", "") + ": " + body["error"].value("message", "");
        return "HTTP status " + std::to_string(response.status);
    }

    std::string errorKind(const HttpResponse& response)
    {
        const json body = json::parse(response.body, nullptr, false);
        if (body.is_object() && body.contains("error") && body["error"].is_object())
            return body["error"].value("kind", "");
        return {};
    }

    // Outcome of a change according to the history.
    struct ChangeLookup {
        std::string outcome; // Empty if the history does not determine the outcome.
        std::uint64_t version { 0 };
        std::string reason;
        std::string acceptedAuthor; // Author of the change that was accepted on the same base version.
    };

    ChangeLookup lookUpChange(const std::string& id, std::uint64_t base)
    {
        ChangeLookup result;
        const auto response = sendAdminRequest("GET", "/admin/config/history");
        if (!response || response.value().status != 200)
            return result;
        const json body = json::parse(response.value().body, nullptr, false);
        if (!body.is_object() || !body.contains("changes"))
            return result;
        for (const json& change : body["changes"]) {
            const auto outcome = change.value("outcome", "");
            if (outcome == "accepted" && change.value("base", std::uint64_t { 0 }) == base
                && change.value("id", "") != id) {
                // Another change was accepted on this base, so this one can no longer be accepted, even if its record
                // is appended later.
                result.acceptedAuthor = change.value("author", "");
                if (result.outcome.empty()) {
                    result.outcome = "conflict";
                    result.version = change.value("version", std::uint64_t { 0 });
                }
            }
            if (change.value("id", "") == id && result.outcome != "accepted") {
                result.outcome = outcome;
                result.version = change.value("version", std::uint64_t { 0 });
                result.reason = change.value("reason", "");
            }
        }
        return result;
    }

    PublishResult printResult(PublishResult publication, std::string_view outcome, const std::string& message)
    {
        if (absl::GetFlag(FLAGS_json)) {
            std::cout << json {
                { "id", publication.id }, { "outcome", outcome }, { "version", publication.version },
                { "message", message }
            }.dump(2) << "\n";
        } else if (publication.code == exit_code::success) {
            std::cout << message << "\n";
        }
        if (publication.code != exit_code::success)
            (void)fail(publication.code, message);
        return publication;
    }

    PublishResult printChangeOutcome(PublishResult publication, const ChangeLookup& lookup, std::uint64_t base)
    {
        publication.version = lookup.version;
        if (lookup.outcome == "accepted") {
            publication.code = exit_code::success;
            return printResult(publication, "accepted", "version " + std::to_string(lookup.version) + " is in force");
        }
        if (lookup.outcome == "conflict") {
            publication.code = exit_code::conflict;
            return printResult(publication, "conflict",
                "the change was not applied: another change based on version " + std::to_string(base)
                    + (lookup.acceptedAuthor.empty() ? "" : " by " + lookup.acceptedAuthor) + " was accepted; version "
                    + std::to_string(lookup.version) + " is in force");
        }
        publication.code = exit_code::invalidInput;
        return printResult(publication, "invalid", "the change is invalid: " + lookup.reason);
    }

    // Looks the change up in the history until the outcome is known or --timeout-ms has passed.
    PublishResult waitForChangeOutcome(PublishResult publication, std::uint64_t base)
    {
        const SystemClock clock;
        const Millis deadline = clock.now() + Millis { absl::GetFlag(FLAGS_timeout_ms) };
        do {
            const ChangeLookup lookup = lookUpChange(publication.id, base);
            if (!lookup.outcome.empty())
                return printChangeOutcome(publication, lookup, base);
            waitFor(pollInterval);
        } while (clock.now() < deadline);
        publication.code = exit_code::outcomeUnknown;
        return printResult(publication, "unknown",
            "the outcome of change " + publication.id
                + " is unknown; do not send it again, but look it up with 'jasminestack config history --id "
                + publication.id + "'");
    }

    PublishResult sendChange(const json& patch, std::uint64_t base, const std::string& token)
    {
        PublishResult publication { .id = Random(systemSeed()).uuid() };
        const json body { { "base", base }, { "id", publication.id }, { "author", authorName() }, { "patch", patch } };
        const auto result = sendAdminRequest("POST", "/admin/config/publish", body.dump(), token);
        if (!result) {
            if (result.error().kind != ErrorKind::EndpointUnavailable)
                return waitForChangeOutcome(publication, base);
            publication.code = exit_code::unreachable;
            return printResult(publication, "not_sent", result.error().message);
        }
        const HttpResponse& response = result.value();
        const json parsed = json::parse(response.body, nullptr, false);
        const std::string kind = errorKind(response);
        if (response.status == 200 && parsed.is_object() && parsed.value("outcome", "") == "accepted")
            return printChangeOutcome(
                publication, { .outcome = "accepted", .version = parsed.value("version", std::uint64_t { 0 }) }, base);
        if (kind == "configuration_conflict") {
            ChangeLookup lookup = lookUpChange(publication.id, base);
            lookup.outcome = "conflict";
            lookup.version = parsed["error"].value("version", lookup.version);
            return printChangeOutcome(publication, lookup, base);
        }
        if (kind == "configuration_invalid" || kind == "bad_request") {
            publication.code = exit_code::invalidInput;
            return printResult(publication, "invalid", errorText(response));
        }
        // With these errors the daemon rejected the request before it appended the record.
        if (kind == "unauthorized" || kind == "forbidden" || kind == "log_unavailable" || kind == "not_ready"
            || kind == "shutting_down" || kind == "not_found" || kind == "method_not_allowed") {
            publication.code = exit_code::failure;
            return printResult(publication, "refused", errorText(response));
        }
        return waitForChangeOutcome(publication, base);
    }

}

Result<HttpResponse> sendAdminRequest(
    std::string_view method, std::string_view target, std::string_view body, std::string_view token)
{
    std::unique_ptr<event_base, decltype(&event_base_free)> base(event_base_new(), &event_base_free);
    HttpClient client(*base);
    HttpRequest request { .address = absl::GetFlag(FLAGS_admin),
        .method = std::string(method),
        .target = std::string(target),
        .body = std::string(body),
        .timeout = Millis { absl::GetFlag(FLAGS_timeout_ms) } };
    if (!token.empty())
        request.headers.emplace_back("Authorization", "Bearer " + std::string(token));
    if (!body.empty())
        request.headers.emplace_back("Content-Type", "application/json");
    std::optional<Result<HttpResponse>> result;
    client.send(std::move(request), [&](Result<HttpResponse> response) { result = std::move(response); });
    while (!result && event_base_loop(base.get(), EVLOOP_ONCE) == 0) { }
    if (!result)
        return Error { .kind = ErrorKind::Internal,
            .message = "the event loop ended before the response was complete" };
    return std::move(*result);
}

int fail(int code, std::string_view message)
{
    std::cerr << "jasminestack: " << message << "\n";
    return code;
}

int fetchJson(std::string_view target, json& document)
{
    const auto response = sendAdminRequest("GET", target);
    if (!response)
        return fail(exit_code::unreachable,
            "cannot reach the admin server at " + absl::GetFlag(FLAGS_admin) + ": " + response.error().message);
    if (response.value().status != 200)
        return fail(exit_code::failure, errorText(response.value()));
    document = json::parse(response.value().body, nullptr, false);
    if (document.is_discarded())
        return fail(exit_code::failure, "the response of the admin server is not JSON");
    return exit_code::success;
}

PublishResult publish(const PatchBuilder& build)
{
    const auto token = operatorToken();
    if (!token)
        return { .code = fail(exit_code::usage, token.error().message) };
    json current;
    if (const int code = fetchJson("/admin/config", current); code != exit_code::success)
        return { .code = code };
    const auto version = current.value("version", std::uint64_t { 0 });
    json patch = json::object();
    if (const int code = build(current["document"], version, patch); code != exit_code::success)
        return { .code = code };
    if (patch.empty())
        return printResult(
            { .version = version }, "unchanged", "nothing to change in version " + std::to_string(version));
    return sendChange(patch, version, token.value());
}

}
