#pragma once

#include "LoopbackHarness.h"
#include "platform/PlatformProtocol.h"
#include "router/RouterDaemon.h"

#include <cstdio>
#include <memory>
#include <string>
#include <thread>

/// \file
/// \brief A router daemon on loopback with the platform's protocol; the test acts as callers and endpoints.

namespace jasminestack::test {

/// \brief A deployment source whose configuration and registrations never change.
class FixedDeployment final : public DeploymentSource {
public:
    std::shared_ptr<const RoutingTable> table;
    std::vector<Registration> registrations;
    const Clock* clock { nullptr };
    StoreRole role { StoreRole::Independent };
    std::optional<Millis> confirmedAt; ///< Without a value the store always confirms the documents.
    Millis confirmedByPeerAt {};

    void start(DeploymentListener& listener) override
    {
        if (table)
            listener.onRoutingTable(table);
        listener.onRegistrations(registrations);
    }
    void withdrawAnnouncement() override { }
    [[nodiscard]] DeploymentVersions versions() const override
    {
        return { .configurationVersion = table ? table->version : 0, .registrationsPosition = 0 };
    }
    void setStoreRole(StoreRole newRole) override { role = newRole; }
    [[nodiscard]] Millis storeConfirmedAt() const override { return confirmedAt.value_or(clock->now()); }
    void onConfigurationConfirmedByPeer(Millis time) override { confirmedByPeerAt = time; }
    [[nodiscard]] Millis configurationConfirmedAt() const override { return clock->now(); }
    [[nodiscard]] Millis confirmationInterval() const override { return Millis { 4'000 }; }
    [[nodiscard]] Millis registrationsReadAt() const override { return clock->now(); }
    [[nodiscard]] std::string exportDocuments(const DeploymentVersions&) const override { return "{}"; }
    void importDocuments(std::string_view) override { }
};

/// \brief A router daemon on a thread, with two model engines and one service whose connections the test accepts.
class LoopbackRouter {
public:
    ListeningSocket engine1;
    ListeningSocket engine2;
    ListeningSocket serviceListener;
    RoutingTable table;
    std::unique_ptr<RouterDaemon> daemon;
    std::thread thread;

    std::vector<ListeningSocket> moreEngines;
    std::string healthAddress = freeAddress();
    std::string metricsAddress = freeAddress();
    std::string peersAddress = freeAddress();

    /// \param engineCount Model engines; the test accepts the connections to those after the second one itself.
    /// \param grace Time from SIGTERM to the end of the daemon, and a margin of 300 ms.
    explicit LoopbackRouter(bool configured = true, std::size_t engineCount = 2, Millis grace = Millis { 400 })
        : moreEngines(engineCount - 2)
        , m_grace(grace)
    {
        table.version = configured ? 3 : 0;
        table.requiresApiKey = true;
        table.workspacesByApiKey["key-1"] = WorkspaceId { "ws-1" };
        table.pools[PoolId { "llm" }] = { .id = PoolId { "llm" }, .isModel = true, .slots = 8 };
        table.pools[PoolId { "desk" }] = { .id = PoolId { "desk" }, .slots = 8 };
        addRoute({ .name = "quote",
            .pathPrefix = "/quote/",
            .kind = RequestKind::Stream,
            .pools = { { PoolId { "llm" } } },
            .eventGapObjective = Millis { 150 },
            .maxEndpoints = 2,
            .isResumable = true });
        addRoute({ .name = "review",
            .pathPrefix = "/review/",
            .kind = RequestKind::Stream,
            .pools = { { PoolId { "llm" } } },
            .maxEndpoints = 2 });
        addRoute({ .name = "book",
            .pathPrefix = "/book/",
            .kind = RequestKind::NonIdempotent,
            .pools = { { PoolId { "desk" } } } });
        addRoute({ .name = "book2",
            .pathPrefix = "/book/two/",
            .kind = RequestKind::NonIdempotent,
            .pools = { { PoolId { "llm" } } },
            .maxEndpoints = 2 });
        // A stream whose pool has a single endpoint.
        addRoute({ .name = "report",
            .pathPrefix = "/report/",
            .kind = RequestKind::Stream,
            .pools = { { PoolId { "desk" } } },
            .eventGapObjective = Millis { 150 },
            .maxEndpoints = 2,
            .isResumable = true });
        addRoute({ .name = "check",
            .pathPrefix = "/check/",
            .kind = RequestKind::Idempotent,
            .pools = { { PoolId { "llm" } } },
            .maxEndpoints = 2,
            .isAnonymous = true });
        sortRoutes(table);
        start();
    }

    ~LoopbackRouter()
    {
        if (!thread.joinable())
            return;
        while (!hasStopped) {
            kill(getpid(), SIGTERM);
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
        thread.join();
    }
    LoopbackRouter(const LoopbackRouter&) = delete;
    LoopbackRouter& operator=(const LoopbackRouter&) = delete;

    [[nodiscard]] BlockingSocket connectCaller() const { return BlockingSocket::connectTo(daemon->callerPort()); }

    [[nodiscard]] static std::string request(
        std::string_view method, std::string_view target, std::string_view id, std::string_view body = {})
    {
        return std::string(method) + " " + std::string(target)
            + " HTTP/1.1\r\nHost: Shop.example:80\r\nAuthorization: Token key-1\r\nX-Jasminestack-Attempt-Id: "
            + std::string(id) + "\r\nX-Jasminestack-Deadline-Ms: 5000\r\nX-Jasminestack-Tenant: forged\r\n"
            + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + std::string(body);
    }

    [[nodiscard]] static std::string response(
        std::string_view id, std::string_view body, int status = 200, std::string_view extraHeaders = "")
    {
        return "HTTP/1.1 " + std::to_string(status) + " X\r\nX-Jasminestack-Attempt-Id: " + std::string(id)
            + "\r\nX-Jasminestack-Server-Signature: sig-" + std::string(id) + "\r\n" + std::string(extraHeaders)
            + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + std::string(body);
    }

    [[nodiscard]] static std::string eventStreamHead(std::string_view id)
    {
        return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
               "X-Jasminestack-Attempt-Id: "
            + std::string(id) + "\r\nX-Jasminestack-Server-Signature: sig-" + std::string(id) + "\r\n\r\n";
    }

    /// \brief Ends an engine: its connection is reset, and nothing listens at its address any more.
    void crashEngine(BlockingSocket& connection, const ListeningSocket* engine)
    {
        connection.closeWithReset();
        auto closeIfSame = [&](ListeningSocket& socket) {
            if (&socket == engine)
                socket.close();
        };
        closeIfSame(engine1);
        closeIfSame(engine2);
        for (ListeningSocket& socket : moreEngines)
            closeIfSame(socket);
    }

    /// \brief Accepts the next connection to one of the engines.
    /// \returns The connection and the engine's listening socket.
    /// \throws std::runtime_error if no connection arrives within about 20 s.
    [[nodiscard]] std::pair<BlockingSocket, const ListeningSocket*> acceptEngineConnection() const
    {
        for (int i = 0; i < 2'000; ++i) {
            if (engine1.hasPendingConnection(5))
                return { engine1.accept(), &engine1 };
            if (engine2.hasPendingConnection(5))
                return { engine2.accept(), &engine2 };
            for (const ListeningSocket& engine : moreEngines) {
                if (engine.hasPendingConnection(1))
                    return { engine.accept(), &engine };
            }
        }
        throw std::runtime_error("no engine received a connection");
    }

private:
    void addRoute(Route route)
    {
        route.host = "shop.example";
        route.timeout = Millis { 4'000 };
        route.latencyObjective = Millis { 1'000 };
        table.routes[route.host].push_back(std::move(route));
    }

    void start()
    {
        RouterSettings settings;
        settings.daemon = { .id = DaemonId { "router-1" }, .availabilityZone = "a" };
        settings.callers.address = "127.0.0.1:0";
        settings.health.address = healthAddress;
        settings.health.metricsAddress = metricsAddress;
        settings.peers.address = peersAddress;
        settings.retries.slack = 100;
        settings.shutdown.grace = m_grace;
        auto makeSource = [this](event_base&, HttpClient&, const Clock& clock, const RouterSettings&) {
            auto deployment = std::make_unique<FixedDeployment>();
            deployment->clock = &clock;
            if (table.version != 0)
                deployment->table = std::make_shared<RoutingTable>(table);
            deployment->registrations = { makeRegistration("e1", "llm", engine1),
                makeRegistration("e2", "llm", engine2), makeRegistration("d1", "desk", serviceListener) };
            for (std::size_t i = 0; i < moreEngines.size(); ++i)
                deployment->registrations.push_back(
                    makeRegistration(("e" + std::to_string(i + 3)).c_str(), "llm", moreEngines[i]));
            return std::unique_ptr<DeploymentSource>(std::move(deployment));
        };
        daemon = std::make_unique<RouterDaemon>(settings,
            DeploymentAdapter { .source = makeSource, .protocol = std::make_unique<platform::PlatformProtocol>() });
        auto startResult = daemon->start();
        if (!startResult)
            throw std::runtime_error(startResult.error().message);
        daemon->watchSignals({});
        thread = std::thread([this] {
            daemon->run();
            hasStopped = true;
        });
    }

    static Registration makeRegistration(const char* id, const char* pool, const ListeningSocket& listener)
    {
        return { .id = EndpointId { id },
            .pool = PoolId { pool },
            .address = listener.address(),
            .availabilityZone = "a",
            .slots = 8 };
    }

    Millis m_grace;
    std::atomic<bool> hasStopped { false };
};

}
