#include "net/AdminServer.h"
#include "net/HttpClient.h"

#include <catch2/catch.hpp>
#include <event2/event.h>
#include <nlohmann/json.hpp>
#include <optional>

using namespace jasminestack;

namespace {

struct AdminFixture {
    std::unique_ptr<event_base, decltype(&event_base_free)> base { event_base_new(), &event_base_free };
    HttpClient client { *base };
    std::string notReady;
    std::string level;
    std::string historyId { "none" };
    std::optional<PublishRequest> published;
    AdminResponseCallback publishResponseCallback;
    std::unique_ptr<AdminServer> server;

    explicit AdminFixture(std::string token = "operator-secret")
    {
        AdminHandlers handlers {
            .metrics = [] { return std::string("metric 1\n"); },
            .notReadyReason = [this] { return notReady; },
            .status = [] { return std::string(R"({"daemon":"d1"})"); },
            .configuration = [] { return std::string(R"({"version":3})"); },
            .history =
                [this](std::string_view id) {
                    historyId = id;
                    return std::string("[]");
                },
            .endpoints = [] { return std::string("[1]"); },
            .setLogLevel =
                [this](std::string_view name) {
                    level = name;
                    return name == "loud" ? Result<void>(Error { .kind = ErrorKind::BadRequest, .message = "no" })
                                          : Result<void>(ok());
                },
            .publish =
                [this](PublishRequest request, AdminResponseCallback responseCallback) {
                    published = std::move(request);
                    publishResponseCallback = std::move(responseCallback);
                },
        };
        auto opened = AdminServer::listen(
            *base, { .address = "127.0.0.1:0", .operatorToken = std::move(token) }, std::move(handlers));
        REQUIRE(opened);
        server = std::move(opened).value();
    }

    void send(HttpRequest request, std::optional<Result<HttpResponse>>& result)
    {
        request.address = server->address();
        client.send(std::move(request), [&](Result<HttpResponse> response) { result = std::move(response); });
    }

    // Runs the event loop until \p isDone; bounded, so that a missing event fails the test instead of blocking it.
    void runUntil(const std::function<bool()>& isDone)
    {
        for (int i = 0; i < 10'000 && !isDone(); ++i)
            event_base_loop(base.get(), EVLOOP_ONCE);
        REQUIRE(isDone());
    }

    HttpResponse sendAndWait(HttpRequest request)
    {
        std::optional<Result<HttpResponse>> result;
        send(std::move(request), result);
        runUntil([&] { return result.has_value(); });
        INFO((*result ? std::string() : result->error().message));
        REQUIRE(*result);
        return result->value();
    }

    HttpResponse get(std::string target) { return sendAndWait({ .target = std::move(target) }); }

    static HttpRequest post(std::string target, std::string body, std::string token = "operator-secret")
    {
        return { .method = "POST",
            .target = std::move(target),
            .headers = { { "Authorization", "Bearer " + token } },
            .body = std::move(body) };
    }
};

std::string errorKind(const HttpResponse& response)
{
    return nlohmann::json::parse(response.body).at("error").at("kind").get<std::string>();
}

constexpr auto publishBody = R"({"base":3,"id":"id-1","author":"ada","patch":{"presetInForce":"peaks"}})";

}

TEST_CASE("the admin server responds with metrics, health and state", "[admin]")
{
    AdminFixture admin;
    REQUIRE(admin.get("/metrics").body == "metric 1\n");
    REQUIRE(admin.get("/healthz").status == 200);
    REQUIRE(admin.get("/readyz").status == 200);
    admin.notReady = "no configuration yet";
    const auto notReadyResponse = admin.get("/readyz");
    REQUIRE(notReadyResponse.status == 503);
    REQUIRE(errorKind(notReadyResponse) == "not_ready");
    REQUIRE(admin.get("/admin/status").body == R"({"daemon":"d1"})");
    REQUIRE(admin.get("/admin/config").body == R"({"version":3})");
    REQUIRE(admin.get("/admin/config/history?id=a%2Db").body == "[]");
    REQUIRE(admin.historyId == "a-b");
    (void)admin.get("/admin/config/history");
    REQUIRE(admin.historyId.empty());
    REQUIRE(admin.get("/admin/endpoints").body == "[1]");
    REQUIRE(admin.get("/admin/nothing").status == 404);
    REQUIRE(admin.get("/admin/config/publish").status == 405);
    REQUIRE(admin.sendAndWait(AdminFixture::post("/metrics", "")).status == 405);
}

// Guards against changes by clients without the operator token that can connect to the admin port.
TEST_CASE("changes require the operator token", "[admin]")
{
    AdminFixture admin;
    const std::string publish = "/admin/config/publish";
    for (const char* token : { "", "operator-secre", "operator-secretx", "Operator-secret" }) {
        REQUIRE(admin.sendAndWait(AdminFixture::post(publish, publishBody, token)).status == 401);
        REQUIRE(admin.sendAndWait(AdminFixture::post("/admin/log-level", R"({"level":"debug"})", token)).status == 401);
    }
    REQUIRE(admin.sendAndWait({ .method = "POST", .target = publish, .body = publishBody }).status == 401);
    REQUIRE_FALSE(admin.published);
    REQUIRE(admin.level.empty());

    AdminFixture adminWithoutToken("");
    REQUIRE(adminWithoutToken.sendAndWait(AdminFixture::post(publish, publishBody, "")).status == 403);
    REQUIRE_FALSE(adminWithoutToken.published);
}

TEST_CASE("a log level request changes the level, and an invalid one is rejected", "[admin]")
{
    AdminFixture admin;
    REQUIRE(admin.sendAndWait(AdminFixture::post("/admin/log-level", R"({"level":"debug"})")).status == 200);
    REQUIRE(admin.level == "debug");
    REQUIRE(admin.sendAndWait(AdminFixture::post("/admin/log-level", R"({"level":"loud"})")).status == 400);
    REQUIRE(admin.sendAndWait(AdminFixture::post("/admin/log-level", "debug")).status == 400);
}

TEST_CASE("the response to a publish request is sent when its outcome is known", "[admin]")
{
    AdminFixture admin;
    std::optional<Result<HttpResponse>> result;
    admin.send(AdminFixture::post("/admin/config/publish", publishBody), result);
    admin.runUntil([&] { return admin.published.has_value(); });
    REQUIRE(admin.published->baseVersion == 3);
    REQUIRE(admin.published->changeId == "id-1");
    REQUIRE(admin.published->author == "ada");
    REQUIRE(admin.published->patch == R"({"presetInForce":"peaks"})");
    REQUIRE_FALSE(result);
    admin.publishResponseCallback({ .status = 409, .body = "lost" });
    admin.runUntil([&] { return result.has_value(); });
    REQUIRE(result->value().status == 409);
    REQUIRE(result->value().body == "lost");
}

TEST_CASE("malformed publish requests are rejected", "[admin]")
{
    AdminFixture admin;
    for (const std::string body : { "", "[]", R"({"base":3,"id":"x"})", R"({"base":-1,"id":"x","patch":{}})",
             R"({"base":3,"id":"","patch":{}})", R"({"base":3,"id":"x","patch":[]})",
             R"({"base":3,"id":"x","patch":{},"author":1})", R"({"base":3,"id":"x","patch":{"a":1,"a":2}})" }) {
        INFO(body);
        REQUIRE(errorKind(admin.sendAndWait(AdminFixture::post("/admin/config/publish", body))) == "bad_request");
    }
    std::string deeplyNested = R"({"base":3,"id":"x","patch":)";
    for (int i = 0; i < 100'000; ++i)
        deeplyNested += R"({"a":)";
    deeplyNested += "1" + std::string(100'001, '}');
    REQUIRE(errorKind(admin.sendAndWait(AdminFixture::post("/admin/config/publish", deeplyNested))) == "bad_request");
    REQUIRE_FALSE(admin.published);
}

// Guards against use of a freed request when the log service responds after the operator disconnected or the server was
// destroyed.
TEST_CASE("a response to a disconnected operator is dropped", "[admin]")
{
    AdminFixture admin;
    std::optional<Result<HttpResponse>> result;
    HttpRequest request = AdminFixture::post("/admin/config/publish", publishBody);
    request.timeout = Millis { 50 };
    admin.send(std::move(request), result);
    admin.runUntil([&] { return result.has_value() && admin.published.has_value(); });
    REQUIRE_FALSE(*result);
    admin.publishResponseCallback({ .body = "late" });
    REQUIRE(admin.get("/healthz").status == 200);

    std::optional<Result<HttpResponse>> secondResult;
    admin.published.reset();
    admin.send(AdminFixture::post("/admin/config/publish", publishBody), secondResult);
    admin.runUntil([&] { return admin.published.has_value(); });
    admin.server.reset();
    admin.publishResponseCallback({ .body = "later still" });
    admin.runUntil([&] { return secondResult.has_value(); });
    REQUIRE_FALSE(*secondResult);
}

TEST_CASE("listening on an address that cannot be bound is an error", "[admin]")
{
    AdminFixture admin;
    REQUIRE_FALSE(AdminServer::listen(*admin.base, { .address = admin.server->address() }, {}));
    REQUIRE_FALSE(AdminServer::listen(*admin.base, { .address = "nonsense" }, {}));
}
