#include "router/RouterDaemon.h"

#include "base/Hash.h"
#include "net/CallerServer.h"
#include "net/EndpointClient.h"
#include "net/EventPriority.h"
#include "net/SimpleHttpServer.h"
#include "net/UdpTransport.h"
#include "observe/Logging.h"
#include "observe/Metrics.h"
#include "router/DeploymentSource.h"
#include "router/FleetSync.h"
#include "router/LoopMonitor.h"
#include "router/PlacementClient.h"
#include "router/PlacementCoordinator.h"
#include "router/PlacementQueue.h"
#include "router/RequestRouter.h"

#include <array>
#include <csignal>
#include <event2/event.h>
#include <fstream>
#include <sstream>
#include <sys/stat.h>

namespace jasminestack {

namespace {

    constexpr Millis tickInterval { 50 };
    constexpr Millis logFlushInterval { 200 };
    constexpr Millis pressureInterval { 100 };
    constexpr Millis housekeepingInterval { 1'000 };

    // Without news from the store for one held read and this time, this daemon may have missed a configuration.
    constexpr Millis confirmationDelay { 2'000 };

    // The load balancer asks once a second and takes a daemon out after two misses; until then connections still come.
    // Requests that arrive later could not end within the grace time.
    constexpr Millis balancerTime { 2'500 };

    // A stopping daemon ends this long before the platform kills it.
    constexpr Millis exitMargin { 300 };

    // Idle connections to an endpoint. A tenth of a second's requests of one daemon fit many times over.
    constexpr std::size_t idlePerEndpoint = 48;
    constexpr Millis endpointIdleLimit { 30'000 };

    RequestRouterOptions flowOptions(const RouterSettings& settings)
    {
        RequestRouterOptions options { .availabilityZone = settings.daemon.availabilityZone,
            .placement = { .usesPerCopy = settings.placement.usesPerCopy,
                .crossZoneCost = settings.placement.crossZoneCost,
                .leastOutstanding = settings.placement.policy == "least-outstanding" },
            .retries
            = { .ratio = settings.retries.ratio, .slack = settings.retries.slack, .window = settings.retries.window } };
        options.admitAll = options.placement.leastOutstanding;
        return options;
    }

    // New connections that wait for longer are accepted all the same, a few each tick.
    constexpr Millis starvationLimit { 500 };
    constexpr int acceptsWhenStarved = 2;

    // Descriptors that connections of callers may take; the others are for endpoints, peers and the store.
    constexpr double callerDescriptors = 0.6;

    std::size_t maxCallers(const RouterSettings& settings)
    {
        return static_cast<std::size_t>(callerDescriptors * settings.daemon.maxDescriptors);
    }

    std::optional<std::string> readFile(const std::string& path)
    {
        std::ifstream file(path);
        std::ostringstream text;
        if (!(text << file.rdbuf()))
            return std::nullopt;
        return text.str();
    }

}

struct RouterDaemon::State final : DeploymentListener {
    enum class Phase : std::uint8_t { Running, Stopping, Ended };

    RouterSettings settings;
    DeploymentAdapter adapter;
    SystemClock clock;
    Random random { systemSeed() };
    EventBasePointer base;
    HttpClient http;
    std::unique_ptr<DeploymentSource> source;
    Metrics metrics;
    RouterBlackboard board;
    DaemonInstanceId key; ///< Of this process.
    EndpointClient transport;
    UdpTransport peers;
    PlacementQueue queue;
    PlacementClient placements;
    PlacementCoordinator coordinator;
    RequestRouter flow;
    CallerServer server;
    FleetSync exchange;
    SimpleHttpServer listener;
    EventPointer tickTimer;
    LoopMonitor monitor;
    std::array<EventPointer, 3> signals;
    std::string settingsPath;
    std::int64_t settingsModified { 0 };
    Phase phase { Phase::Running };
    bool registrationsKnown { false };
    bool wasReady { false };
    Millis stopRequested {};
    Millis lastLogFlush {};
    Millis lastPressure {};
    Millis lastHousekeeping {};

    State(const RouterSettings& theSettings, DeploymentAdapter theAdapter)
        : settings(theSettings)
        , adapter(std::move(theAdapter))
        , base(makePrioritizedEventBase())
        , http(*base)
        , source(adapter.source(*base, http, clock, settings))
        , key(hash64(settings.daemon.id.value, systemSeed()))
        , transport(*base, clock, { .maxIdleTime = endpointIdleLimit, .maxIdleConnectionsPerAddress = idlePerEndpoint })
        , peers(*base)
        , queue(*base)
        , placements({ .base = *base,
              .clock = clock,
              .transport = peers,
              .metrics = metrics,
              .coordinatorOf = [this](ShardId shard) { return exchange.coordinatorOf(shard); },
              .suspect = [this](const std::string& address) { exchange.suspect(address); },
              .instanceId = key })
        , coordinator({ .clock = clock,
              .random = random,
              .board = board,
              .queue = queue,
              .transport = peers,
              .metrics = metrics,
              .addressOf = [this](DaemonInstanceId daemon) { return exchange.addressOf(daemon); },
              .options = [this] { return flowOptions(settings).placement; },
              .instanceId = key })
        , flow({ .base = *base,
                   .clock = clock,
                   .random = random,
                   .board = board,
                   .transport = transport,
                   .protocol = *adapter.protocol,
                   .metrics = metrics,
                   .queue = queue,
                   .coordinators = &placements,
                   .boardChanged = [this] { exchange.flushSoon(); } },
              flowOptions(settings))
        , server(*base, flow,
              { .address = settings.callers.address,
                  .writeTimeout = settings.callers.writeTimeout,
                  .maxConnections = maxCallers(settings) })
        , exchange(
              { .base = *base,
                  .clock = clock,
                  .board = board,
                  .transport = peers,
                  .http = http,
                  .source = *source,
                  .metrics = metrics,
                  .onPeerLoadChanged = [this] { queue.roomChanged(); },
                  .onPlacementRequest = [this](const PlacementRequest& ask) { coordinator.onPlacementRequest(ask); },
                  .onPlacementReply = [this](const PlacementReply& reply) { placements.onReply(reply); },
                  .lastGrantNumber = [this](DaemonInstanceId daemon) { return placements.lastGrantNumber(daemon); } },
              { .daemonId = settings.daemon.id.value,
                  .address = settings.peers.address,
                  .seeds = settings.peers.seeds,
                  .instanceId = key,
                  .cpuCores = settings.daemon.cpuCores,
                  .coordinateFrom = settings.coordination.fromDaemons })
        , listener(*base, [this](std::string_view path) { return answer(path); })
        , tickTimer(event_new(base.get(), -1, EV_PERSIST, onTick, this))
        , monitor(*base, clock)
    {
        setEventPriority(*tickTimer, EventPriority::Control);
        timeval interval = toTimeval(tickInterval);
        event_add(tickTimer.get(), &interval);
    }

    [[nodiscard]] bool ready() const
    {
        return phase == Phase::Running && board.table->version != 0 && registrationsKnown;
    }

    SimpleHttpResponse answer(std::string_view path)
    {
        if (path == settings.health.path)
            return ready() ? SimpleHttpResponse { .body = "ready\n" }
                           : SimpleHttpResponse { .status = 503, .body = "not ready\n" };
        if (path == "/metrics")
            return { .body = metrics.text(), .contentType = "text/plain; version=0.0.4" };
        if (path == "/documents")
            return { .body = source->exportDocuments(), .contentType = "application/json" };
        return { .status = 404, .body = "not found\n" };
    }

    void onRoutingTable(std::shared_ptr<const RoutingTable> table) override
    {
        board.table = std::move(table);
        updateConfigurationAge(clock.now());
        setPoolProperties(board.fleetView, *board.table);
        const CallerLimits& limits = board.table->limits;
        server.setLimits({ .maxHeaderBytes = limits.maxHeaderBytes,
            .maxBodyBytes = limits.maxBodyBytes,
            .headerTimeout = limits.headerTimeout,
            .readTimeout = std::max(limits.idleTimeout, limits.headerTimeout),
            .idleTimeout = limits.idleTimeout,
            .writeTimeout = settings.callers.writeTimeout,
            .maxConnections = maxCallers(settings) });
        metrics.set(Gauge::ConfigurationVersion, {}, static_cast<double>(board.table->version));
        updateReadiness();
    }

    void onRegistrations(const std::vector<Registration>& registrations) override
    {
        std::size_t before = board.fleetView.endpoints.size();
        setRegistrations(board.fleetView, registrations);
        setPoolProperties(board.fleetView, *board.table);
        registrationsKnown = true;
        std::size_t draining = 0;
        for (const Registration& item : registrations)
            draining += item.draining ? 1U : 0U;
        logEvent(LogLevel::Info, "endpoints_changed",
            { { "count", registrations.size() }, { "before", before }, { "draining", draining },
                { "position", source->versions().registrationsPosition } });
        exchange.refreshCoordinators();
        updateReadiness();
        queue.roomChanged();
    }

    void onPeerAddresses(const std::vector<std::string>& addresses) override { exchange.setAnnounced(addresses); }

    void updateReadiness()
    {
        bool now = ready();
        if (now == wasReady)
            return;
        wasReady = now;
        exchange.setMayCoordinate(now);
        metrics.set(Gauge::Ready, {}, now ? 1 : 0);
        logEvent(LogLevel::Info, "readiness_changed",
            { { "ready", now ? 1 : 0 }, { "configuration", board.table->version } });
    }

    void updateConfigurationAge(Millis now)
    {
        board.configurationCurrent
            = now - source->configurationConfirmedAt() < source->confirmationInterval() + confirmationDelay;
    }

    // Requests in progress may take all processor time; callers must not find a closed door for long.
    void watchLag()
    {
        if (monitor.tick())
            logEvent(LogLevel::Warning, "processor_saturated",
                { { "lag_ms", monitor.lag().count }, { "in_progress", flow.active() },
                    { "connections", server.connectionCount() } });
        board.lag = monitor.lag();
        if (board.lag >= starvationLimit)
            server.acceptConnections(acceptsWhenStarved);
    }

    static void onTick(evutil_socket_t, short, void* self) { static_cast<State*>(self)->tick(); }

    void tick()
    {
        Millis now = clock.now();
        watchLag();
        updateConfigurationAge(now);
        if (now - lastPressure >= pressureInterval) {
            lastPressure = now;
            refreshFairShareRatios(board.shares, now);
            flow.setFleet(exchange.possibleDaemons(), exchange.coordinated());
        }
        exchange.tick();
        coordinator.tick();
        if (now - lastLogFlush >= logFlushInterval) {
            lastLogFlush = now;
            flushLog();
        }
        if (now - lastHousekeeping >= housekeepingInterval) {
            lastHousekeeping = now;
            metrics.set(Gauge::MembersAlive, {}, static_cast<double>(exchange.livePeers() + 1));
            checkSettings(false);
            expireSuspects(board.crashes, crashGuardOptions, now);
        }
        advanceShutdown(now);
    }

    void stop()
    {
        if (phase != Phase::Running)
            return;
        phase = Phase::Stopping;
        stopRequested = clock.now();
        server.disableKeepAlive();
        logEvent(LogLevel::Info, "shutdown_started",
            { { "in_progress", flow.active() }, { "connections", server.connectionCount() } });
        updateReadiness();
    }

    void advanceShutdown(Millis now)
    {
        if (phase != Phase::Stopping)
            return;
        Millis passed = now - stopRequested;
        if (passed >= balancerTime) {
            board.refusing = true;
            server.stopListening();
            server.closeIdleConnections();
        }
        bool done = passed >= balancerTime && flow.active() == 0 && server.connectionCount() == 0;
        if (!done && passed < settings.shutdown.grace - exitMargin)
            return;
        phase = Phase::Ended;
        exchange.leave();
        logEvent(
            LogLevel::Info, "shutdown_finished", { { "took_ms", passed.count }, { "in_progress", flow.active() } });
        event_base_loopbreak(base.get());
    }

    // Settings may also change without a signal.
    void checkSettings(bool signalled)
    {
        if (settingsPath.empty())
            return;
        struct stat status { };
        if (stat(settingsPath.c_str(), &status) != 0)
            return;
        std::int64_t modified = status.st_mtim.tv_sec * 1'000'000'000 + status.st_mtim.tv_nsec;
        if (modified == settingsModified && !signalled)
            return;
        bool first = settingsModified == 0;
        settingsModified = modified;
        if (first && !signalled)
            return;
        auto text = readFile(settingsPath);
        auto parsed = parseRouterSettings(text.value_or(""), settingsPath);
        if (!parsed) {
            logEvent(LogLevel::Error, "reload_failed", { { "message", parsed.error().message } });
            return;
        }
        settings.retries = parsed.value().retries;
        settings.placement = parsed.value().placement;
        settings.shutdown = parsed.value().shutdown;
        settings.logging = parsed.value().logging;
        flow.setOptions(flowOptions(settings));
        setLogLevel(parseLogLevel(settings.logging.level).value());
        logEvent(LogLevel::Info, "settings_reloaded", { { "signalled", signalled ? 1 : 0 } });
    }

    void watchSignals()
    {
        auto watch = [this](std::size_t index, int number, event_callback_fn handler) {
            signals[index].reset(evsignal_new(base.get(), number, handler, this));
            event_add(signals[index].get(), nullptr);
        };
        auto onStop = [](evutil_socket_t, short, void* self) { static_cast<State*>(self)->stop(); };
        watch(0, SIGTERM, onStop);
        watch(1, SIGINT, onStop);
        watch(2, SIGHUP, [](evutil_socket_t, short, void* self) { static_cast<State*>(self)->checkSettings(true); });
    }
};

RouterDaemon::RouterDaemon(const RouterSettings& settings, DeploymentAdapter adapter)
    : m_state(std::make_unique<State>(settings, std::move(adapter)))
{
}

RouterDaemon::~RouterDaemon() = default;

Result<void> RouterDaemon::start()
{
    State& state = *m_state;
    if (auto bound = state.peers.bind(state.settings.peers.address); !bound)
        return bound.error();
    for (const std::string& address :
        { state.settings.peers.address, state.settings.health.address, state.settings.health.metricsAddress }) {
        if (address.empty())
            continue;
        if (auto bound = state.listener.listen(address); !bound)
            return bound.error();
    }
    if (auto listening = state.server.listen(); !listening)
        return listening.error();
    state.exchange.start();
    state.source->start(state);
    return ok();
}

void RouterDaemon::run()
{
    State& state = *m_state;
    while (state.phase != State::Phase::Ended) {
        // Coordinators take no pauses, since all others wait for their answers.
        if (state.monitor.saturated() && !state.exchange.coordinatesSomething())
            state.monitor.runPacedTurn([&] { return state.phase == State::Phase::Ended; });
        else
            event_base_loop(state.base.get(), EVLOOP_ONCE);
    }
    flushLog();
}

void RouterDaemon::watchSignals(std::string settingsPath)
{
    m_state->settingsPath = std::move(settingsPath);
    m_state->watchSignals();
}

void RouterDaemon::stop() { m_state->stop(); }

std::uint16_t RouterDaemon::callerPort() const noexcept { return m_state->server.port(); }

int runRouter(const RouterSettings& settings, DeploymentAdapter adapter, std::string settingsPath)
{
    std::signal(SIGPIPE, SIG_IGN);
    startBufferedLogging(parseLogLevel(settings.logging.level).value());
    RouterDaemon daemon(settings, std::move(adapter));
    if (auto started = daemon.start(); !started) {
        logEvent(LogLevel::Error, "start_failed", { { "message", started.error().message } });
        flushLog();
        return 1;
    }
    daemon.watchSignals(std::move(settingsPath));
    logEvent(LogLevel::Info, "started",
        { { "daemon", settings.daemon.id.value }, { "availability_zone", settings.daemon.availabilityZone },
            { "callers", settings.callers.address }, { "store", settings.store.address } });
    daemon.run();
    return 0;
}

}
