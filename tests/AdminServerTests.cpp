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
    AdminResponseCallback publishReply;
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
                [this](PublishRequest request, AdminResponseCallback reply) {
                    published = std::move(request);
                    publishReply = std::move(reply);
                },
        };
        auto listening = AdminServer::listen(
            *base, { .address = "127.0.0.1:0", .operatorToken = std::move(token) }, std::move(handlers));
        REQUIRE(listening);
        server = std::move(listening).value();
    }

    void send(HttpRequest request, std::optional<Result<HttpResponse>>& result)
    {
        request.address = server->address();
        client.send(std::move(request), [&](Result<HttpResponse> answer) { result = std::move(answer); });
    }

    // Runs the loop until \p done; bounded, so that a missing event fails the test instead of blocking it.
    void run(const std::function<bool()>& done)
    {
        for (int i = 0; i < 10'000 && !done(); ++i)
            event_base_loop(base.get(), EVLOOP_ONCE);
        REQUIRE(done());
    }

    HttpResponse exchange(HttpRequest request)
    {
        std::optional<Result<HttpResponse>> result;
        send(std::move(request), result);
        run([&] { return result.has_value(); });
        INFO((*result ? std::string() : result->error().message));
        REQUIRE(*result);
        return result->value();
    }

    HttpResponse get(std::string target) { return exchange({ .target = std::move(target) }); }

    static HttpRequest post(std::string target, std::string body, std::string token = "operator-secret")
    {
        return { .method = "POST",
            .target = std::move(target),
            .headers = { { "Authorization", "Bearer " + token } },
            .body = std::move(body) };
    }
};

std::string kindOf(const HttpResponse& response)
{
    return nlohmann::json::parse(response.body).at("error").at("kind").get<std::string>();
}

constexpr auto change = R"({"base":3,"id":"id-1","author":"ada","patch":{"presetInForce":"peaks"}})";

}

TEST_CASE("the admin server serves metrics, health and state", "[admin]")
{
    AdminFixture admin;
    REQUIRE(admin.get("/metrics").body == "metric 1\n");
    REQUIRE(admin.get("/healthz").status == 200);
    REQUIRE(admin.get("/readyz").status == 200);
    admin.notReady = "no configuration yet";
    const auto refused = admin.get("/readyz");
    REQUIRE(refused.status == 503);
    REQUIRE(kindOf(refused) == "not_ready");
    REQUIRE(admin.get("/admin/status").body == R"({"daemon":"d1"})");
    REQUIRE(admin.get("/admin/config").body == R"({"version":3})");
    REQUIRE(admin.get("/admin/config/history?id=a%2Db").body == "[]");
    REQUIRE(admin.historyId == "a-b");
    (void)admin.get("/admin/config/history");
    REQUIRE(admin.historyId.empty());
    REQUIRE(admin.get("/admin/endpoints").body == "[1]");
    REQUIRE(admin.get("/admin/nothing").status == 404);
    REQUIRE(admin.get("/admin/config/publish").status == 405);
    REQUIRE(admin.exchange(AdminFixture::post("/metrics", "")).status == 405);
}

// Guards against changes by anyone who reaches the admin port.
TEST_CASE("changes need the operator token", "[admin]")
{
    AdminFixture admin;
    const std::string publish = "/admin/config/publish";
    for (const char* token : { "", "operator-secre", "operator-secretx", "Operator-secret" }) {
        REQUIRE(admin.exchange(AdminFixture::post(publish, change, token)).status == 401);
        REQUIRE(admin.exchange(AdminFixture::post("/admin/log-level", R"({"level":"debug"})", token)).status == 401);
    }
    REQUIRE(admin.exchange({ .method = "POST", .target = publish, .body = change }).status == 401);
    REQUIRE_FALSE(admin.published);
    REQUIRE(admin.level.empty());

    AdminFixture closed("");
    REQUIRE(closed.exchange(AdminFixture::post(publish, change, "")).status == 403);
    REQUIRE_FALSE(closed.published);
}

TEST_CASE("the log level is changed", "[admin]")
{
    AdminFixture admin;
    REQUIRE(admin.exchange(AdminFixture::post("/admin/log-level", R"({"level":"debug"})")).status == 200);
    REQUIRE(admin.level == "debug");
    REQUIRE(admin.exchange(AdminFixture::post("/admin/log-level", R"({"level":"loud"})")).status == 400);
    REQUIRE(admin.exchange(AdminFixture::post("/admin/log-level", "debug")).status == 400);
}

TEST_CASE("a publication is answered when its outcome is known", "[admin]")
{
    AdminFixture admin;
    std::optional<Result<HttpResponse>> result;
    admin.send(AdminFixture::post("/admin/config/publish", change), result);
    admin.run([&] { return admin.published.has_value(); });
    REQUIRE(admin.published->baseVersion == 3);
    REQUIRE(admin.published->id == "id-1");
    REQUIRE(admin.published->author == "ada");
    REQUIRE(admin.published->patch == R"({"presetInForce":"peaks"})");
    REQUIRE_FALSE(result);
    admin.publishReply({ .status = 409, .body = "lost" });
    admin.run([&] { return result.has_value(); });
    REQUIRE(result->value().status == 409);
    REQUIRE(result->value().body == "lost");
}

TEST_CASE("malformed publications are refused", "[admin]")
{
    AdminFixture admin;
    for (const std::string body : { "", "[]", R"({"base":3,"id":"x"})", R"({"base":-1,"id":"x","patch":{}})",
             R"({"base":3,"id":"","patch":{}})", R"({"base":3,"id":"x","patch":[]})",
             R"({"base":3,"id":"x","patch":{},"author":1})", R"({"base":3,"id":"x","patch":{"a":1,"a":2}})" }) {
        INFO(body);
        REQUIRE(kindOf(admin.exchange(AdminFixture::post("/admin/config/publish", body))) == "bad_request");
    }
    std::string deep = R"({"base":3,"id":"x","patch":)";
    for (int i = 0; i < 100'000; ++i)
        deep += R"({"a":)";
    deep += "1" + std::string(100'001, '}');
    REQUIRE(kindOf(admin.exchange(AdminFixture::post("/admin/config/publish", deep))) == "bad_request");
    REQUIRE_FALSE(admin.published);
}

// Guards against use of a freed request when the log answers after the operator or the server has gone.
TEST_CASE("an answer to an operator who is gone is dropped", "[admin]")
{
    AdminFixture admin;
    std::optional<Result<HttpResponse>> result;
    HttpRequest request = AdminFixture::post("/admin/config/publish", change);
    request.timeout = Millis { 50 };
    admin.send(std::move(request), result);
    admin.run([&] { return result.has_value() && admin.published.has_value(); });
    REQUIRE_FALSE(*result);
    admin.publishReply({ .body = "late" });
    REQUIRE(admin.get("/healthz").status == 200);

    std::optional<Result<HttpResponse>> second;
    admin.published.reset();
    admin.send(AdminFixture::post("/admin/config/publish", change), second);
    admin.run([&] { return admin.published.has_value(); });
    admin.server.reset();
    admin.publishReply({ .body = "later still" });
    admin.run([&] { return second.has_value(); });
    REQUIRE_FALSE(*second);
}

TEST_CASE("an address that cannot be bound is an error", "[admin]")
{
    AdminFixture admin;
    REQUIRE_FALSE(AdminServer::listen(*admin.base, { .address = admin.server->address() }, {}));
    REQUIRE_FALSE(AdminServer::listen(*admin.base, { .address = "nonsense" }, {}));
}
