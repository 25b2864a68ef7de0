#include "router/RouterDaemon.h"

#include "base/Hash.h"
#include "base/LifecycleSignals.h"
#include "config/SettingsFile.h"
#include "net/AcceptPolicy.h"
#include "net/AddressBinder.h"
#include "net/CallerServer.h"
#include "net/EndpointClient.h"
#include "net/EventCallback.h"
#include "net/EventPriority.h"
#include "net/SimpleHttpServer.h"
#include "net/UdpTransport.h"
#include "observe/Logging.h"
#include "observe/Metrics.h"
#include "observe/ProcessEnd.h"
#include "observe/ProcessMonitor.h"
#include "observe/ProcessStart.h"
#include "router/DeploymentSource.h"
#include "router/DocumentsRequest.h"
#include "router/FleetSync.h"
#include "router/LoopMonitor.h"
#include "router/PlacementClient.h"
#include "router/PlacementCoordinator.h"
#include "router/PlacementQueue.h"
#include "router/RequestRouter.h"
#include "router/ShutdownTimes.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <event2/event.h>
#include <malloc.h>
#include <set>
#include <unistd.h>
#include <utility>

namespace jasminestack {

namespace {

    constexpr Millis tickInterval { 50 };
    constexpr Millis logFlushInterval { 200 };
    constexpr Millis shareRefreshInterval { 100 };
    constexpr Millis housekeepingInterval { 1'000 };

    // Seconds with fewer callers that left unheard, and a shorter queue at the end, are not logged.
    constexpr std::uint64_t minLoggedAbandoned { 5 };
    constexpr std::size_t minLoggedQueue { 16 };

    // This daemon may have missed a newer configuration if the store's last confirmation is older than the duration of
    // one long-poll read (DeploymentSource::confirmationInterval()) plus this tolerance.
    constexpr Millis confirmationTolerance { 2'000 };

    // Maximum number of idle connections kept to one endpoint: many times the number of requests that a daemon sends to
    // one endpoint in a tenth of a second.
    constexpr std::size_t maxIdlePerEndpoint = 48;
    constexpr Millis endpointIdleTimeout { 30'000 };

    // Returns the memory that the process may use, in bytes.
    std::size_t memoryBytes(const RouterSettings& settings)
    {
        constexpr double bytesPerMb = 1'000'000;
        auto bytes = static_cast<std::size_t>(settings.daemon.memoryMb * bytesPerMb);
        long pages = sysconf(_SC_PHYS_PAGES);
        if (bytes == 0 && pages > 0)
            bytes = static_cast<std::size_t>(pages) * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
        return bytes;
    }

    // The receive buffers of connections to endpoints may take this part of the memory, one in so many.
    constexpr std::size_t endpointReceiveShare = 8;

    // Long heads of responses may take this part of the memory, one in so many.
    constexpr std::size_t headMemoryShare = 12;

    // Buffered responses and incomplete events may take this part of the memory, one in so many.
    constexpr std::size_t bufferedResponseShare = 12;

    RequestRouterOptions requestRouterOptions(const RouterSettings& settings)
    {
        RequestRouterOptions options { .availabilityZone = settings.daemon.availabilityZone,
            .placement = { .usesPerCopy = settings.placement.usesPerCopy,
                .crossZoneCost = settings.placement.crossZoneCost,
                .leastOutstanding = settings.placement.policy == "least-outstanding" },
            .retries
            = { .ratio = settings.retries.ratio, .slack = settings.retries.slack, .window = settings.retries.window },
            .maxTotalBufferedBytes = memoryBytes(settings) / bufferedResponseShare };
        options.admitsAll = options.placement.leastOutstanding;
        return options;
    }

    PaceOptions paceOptions(const RouterSettings& settings)
    {
        PaceOptions options { .coldOvershoot = settings.placement.coldOvershoot,
            .coldSlack = settings.placement.coldSlack };
        if (settings.placement.pace == "all-pools")
            options.scope = PaceScope::AllPools;
        else if (settings.placement.pace == "none")
            options.scope = PaceScope::None;
        return options;
    }

    static_assert(longestQueueTime(acceptPolicy, tickInterval) + longestQueueTime(acceptPolicy, tickInterval)
        <= acceptPolicy.patience); // Half of the time is left to read the request.

    // Fraction of the file descriptors for connections of callers; the others are for endpoints, peers and the store.
    constexpr double callerDescriptorFraction = 0.6;

    std::size_t maxCallerConnections(const RouterSettings& settings)
    {
        return static_cast<std::size_t>(callerDescriptorFraction * settings.daemon.maxDescriptors);
    }

    // For each of the addresses at which readiness, metrics and documents are served.
    constexpr double statusDescriptorFraction = 0.05;

    std::size_t maxStatusConnections(const RouterSettings& settings)
    {
        return static_cast<std::size_t>(statusDescriptorFraction * settings.daemon.maxDescriptors);
    }

    // Readiness, metrics and documents. Those who use them at the same time need no more connections than this; a crowd
    // there may take more while descriptors are free.
    constexpr std::size_t maxStatusAddresses = 3;
    constexpr std::size_t reservedStatusConnections = 64;

    // Files of the process, among them the log and the settings; for few descriptors one in so many.
    constexpr std::size_t fileDescriptors = 200;
    constexpr std::size_t fileDescriptorShare = 8;

    // Connections to the store and peers, listeners, the peers' socket and the event loop; for few descriptors one in
    // so many.
    constexpr std::size_t controlDescriptors = 64;
    constexpr std::size_t controlDescriptorShare = 16;

    // Of the descriptors for callers and endpoints, one in so many is left to callers, who then get a refusal: callers
    // that are turned away unanswered come again at once.
    constexpr std::size_t callerMarginShare = 16;

    ConnectionBudget connectionBudget(const RouterSettings& settings)
    {
        std::size_t descriptors = settings.daemon.maxDescriptors;
        std::size_t reserved = std::min(fileDescriptors, descriptors / fileDescriptorShare)
            + std::min(controlDescriptors, descriptors / controlDescriptorShare)
            + maxStatusAddresses * std::min(reservedStatusConnections, maxStatusConnections(settings));
        std::size_t limit = descriptors - reserved;
        return { .limit = limit, .callerMargin = limit / callerMarginShare };
    }

    // The other half is for the process without requests, answers, prompt parts, and bytes in the kernel's buffers.
    std::size_t maxTotalBodyBytes(const RouterSettings& settings) { return memoryBytes(settings) / 2; }

    // The receive buffers of all callers' connections may take this part of the memory, one in so many.
    constexpr std::size_t receiveMemoryShare = 4;

    // Bounds of a receive buffer: a typical request, and what fills a path of some milliseconds.
    constexpr std::size_t minReceiveBytes = 8U << 10U;
    constexpr std::size_t maxReceiveBytes = 64U << 10U;

    // Returns the receive buffer of each caller's connection. The system doubles it.
    int receiveBufferBytes(const RouterSettings& settings)
    {
        std::size_t connections = std::max<std::size_t>(maxCallerConnections(settings), 1);
        std::size_t bytes = memoryBytes(settings) / receiveMemoryShare / connections / 2;
        return static_cast<int>(std::clamp(bytes, minReceiveBytes, maxReceiveBytes));
    }

    // Modelled prefix caches may take this part of the memory, one in so many.
    constexpr std::size_t promptMemoryShare = 12;

    ProcessLimits processLimits(const RouterSettings& settings)
    {
        return { .memoryBytes = memoryBytes(settings), .descriptors = settings.daemon.maxDescriptors };
    }

    void logNotices(const RouterSettings& settings, std::string_view path)
    {
        for (const JsonProblem& notice : settings.notices)
            logEvent(LogLevel::Warning, "settings_adjusted", { { "message", formatProblems({ notice }, path) } });
    }

    // Buffers from this size on are mapped one by one, so that their memory goes back to the system at once. Otherwise
    // the allocator raises the size with the buffers that are freed, and gaps between large ones stay in memory.
    constexpr int largeBufferBytes = 128 << 10;

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
    ProcessMonitor processMonitor;
    RouterBlackboard board;
    DaemonInstanceId instanceId; ///< Of this process.
    ConnectionBudget budget;
    EndpointClient endpointClient;
    UdpTransport peerTransport;
    PlacementQueue queue;
    PlacementClient placementClient;
    PlacementCoordinator coordinator;
    RequestRouter router;
    CallerServer callerServer;
    FleetSync fleetSync;
    std::vector<std::unique_ptr<SimpleHttpServer>> statusServers; ///< One for each address.
    EventPointer tickTimer;
    LoopMonitor loopMonitor;
    AddressBinder addressBinder;
    std::array<EventPointer, 3> signalEvents;
    SettingsFile settingsFile;
    Phase phase { Phase::Running };
    bool isServing { false }; ///< All required addresses are bound.
    int exitCode { 0 };
    bool hasRegistrations { false };
    bool wasReady { false };
    Millis stopRequestTime {};
    Millis lastLogFlush {};
    Millis lastShareRefresh {};
    Millis lastHousekeeping {};

    State(const RouterSettings& routerSettings, DeploymentAdapter deploymentAdapter)
        : settings(routerSettings)
        , adapter(std::move(deploymentAdapter))
        , base(makePrioritizedEventBase())
        , http(*base)
        , source(adapter.source(*base, http, clock, settings))
        , processMonitor(metrics, processLimits(settings))
        , instanceId(hash64(settings.daemon.id.value, systemSeed()))
        , budget(connectionBudget(settings))
        , endpointClient(*base, clock,
              { .maxIdleTime = endpointIdleTimeout,
                  .maxIdleConnectionsPerAddress = maxIdlePerEndpoint,
                  .budget = &budget,
                  .receiveMemory = memoryBytes(settings) / endpointReceiveShare,
                  .maxTotalHeadMemory = memoryBytes(settings) / headMemoryShare })
        , peerTransport(*base)
        , queue(*base)
        , placementClient({ .base = *base,
              .clock = clock,
              .transport = peerTransport,
              .metrics = metrics,
              .coordinatorOf = [this](ShardId shard) { return fleetSync.coordinatorOf(shard); },
              .onCoordinatorUnresponsive = [this](const std::string& address) { fleetSync.suspectPeer(address); },
              .instanceId = instanceId })
        , coordinator({ .clock = clock,
              .random = random,
              .board = board,
              .queue = queue,
              .transport = peerTransport,
              .metrics = metrics,
              .addressOf = [this](DaemonInstanceId daemon) { return fleetSync.addressOf(daemon); },
              .options = [this] { return requestRouterOptions(settings).placement; },
              .instanceId = instanceId })
        , router({ .base = *base,
                     .clock = clock,
                     .random = random,
                     .board = board,
                     .transport = endpointClient,
                     .protocol = *adapter.protocol,
                     .metrics = metrics,
                     .queue = queue,
                     .placementClient = &placementClient,
                     .onLoadChanged = [this] { fleetSync.scheduleUpdate(); },
                     .mayTry = [this](TraitHash trait, Millis overdue) { return fleetSync.mayTry(trait, overdue); } },
              requestRouterOptions(settings))
        , callerServer(*base, router,
              { .address = settings.callers.address,
                  .writeTimeout = settings.callers.writeTimeout,
                  .maxConnections = maxCallerConnections(settings),
                  .receiveBufferBytes = receiveBufferBytes(settings),
                  .maxTotalBodyBytes = maxTotalBodyBytes(settings),
                  .budget = &budget })
        , fleetSync({ .base = *base,
                        .clock = clock,
                        .board = board,
                        .transport = peerTransport,
                        .http = http,
                        .source = *source,
                        .metrics = metrics,
                        .onPeerLoadChanged = [this] { queue.onCapacityChanged(); },
                        .onPlacementRequest
                        = [this](const PlacementRequest& request) { coordinator.onPlacementRequest(request); },
                        .onPlacementReply = [this](const PlacementReply& reply) { placementClient.onReply(reply); },
                        .lastGrantNumber
                        = [this](DaemonInstanceId daemon) { return placementClient.lastGrantNumber(daemon); } },
              { .daemonId = settings.daemon.id.value,
                  .address = settings.peers.address,
                  .seeds = settings.peers.seeds,
                  .instanceId = instanceId,
                  .cpuCores = static_cast<float>(settings.daemon.cpuCores),
                  .minDaemonsForCoordinators = settings.coordination.fromDaemons })
        , tickTimer(event_new(base.get(), -1, EV_PERSIST, onTick, this))
        , loopMonitor(*base, clock)
        , addressBinder(*base, clock)
    {
        setPromptMemory(board.fleetView, memoryBytes(settings) / promptMemoryShare);
        setEventPriority(*tickTimer, EventPriority::Control);
        timeval interval = toTimeval(tickInterval);
        event_add(tickTimer.get(), &interval);
    }

    [[nodiscard]] bool isReady() const
    {
        return phase == Phase::Running && board.table->version != 0 && hasRegistrations;
    }

    // What is served at an address of the status servers, besides the health path.
    struct StatusContent {
        bool hasMetrics { false };
        bool hasDocuments { false }; ///< They contain API keys, so only peers read them.
    };

    Result<void> listenForStatus(const std::string& address)
    {
        const auto& health = settings.health;
        StatusContent content {
            .hasMetrics = address == (health.metricsAddress.empty() ? health.address : health.metricsAddress),
            .hasDocuments = address == settings.peers.address,
        };
        auto respond = [this, content](std::string_view target) { return statusResponse(content, target); };
        auto server = std::make_unique<SimpleHttpServer>(*base, respond,
            SimpleHttpServerOptions {
                .maxConnections = maxStatusConnections(settings), .maxTotalBytes = maxTotalBodyBytes(settings) / 4 });
        auto listening = server->listen(address);
        if (listening)
            statusServers.push_back(std::move(server));
        return listening;
    }

    SimpleHttpResponse statusResponse(const StatusContent& content, std::string_view target)
    {
        std::string_view path = target.substr(0, target.find('?'));
        if (path == settings.health.path)
            return isReady() ? SimpleHttpResponse { .body = "ready\n" }
                             : SimpleHttpResponse { .status = 503, .body = "not ready\n" };
        if (content.hasMetrics && path == "/metrics")
            return { .body = metrics.text(), .contentType = "text/plain; version=0.0.4" };
        if (content.hasDocuments && path == documentsPath)
            return { .body = source->exportDocuments(parseDocumentsTarget(target)), .contentType = "application/json" };
        return { .status = 404, .body = "not found\n" };
    }

    void onRoutingTable(std::shared_ptr<const RoutingTable> table) override
    {
        board.table = std::move(table);
        updateConfigurationCurrent(clock.now());
        setMemoryCapacities(board.fleetView, *board.table);
        refreshPaces();
        const CallerLimits& limits = board.table->limits;
        callerServer.setLimits({ .maxHeaderBytes = limits.maxHeaderBytes,
            .maxBodyBytes = limits.maxBodyBytes,
            .headerTimeout = limits.headerTimeout,
            .readTimeout = std::max(limits.idleTimeout, limits.headerTimeout),
            .idleTimeout = limits.idleTimeout,
            .writeTimeout = settings.callers.writeTimeout,
            .maxConnections = maxCallerConnections(settings),
            .receiveBufferBytes = receiveBufferBytes(settings),
            .maxTotalBodyBytes = maxTotalBodyBytes(settings),
            .budget = &budget });
        metrics.set(Gauge::ConfigurationVersion, {}, static_cast<double>(board.table->version));
        updateReadiness();
    }

    void onRegistrations(const std::vector<Registration>& registrations) override
    {
        std::size_t previousCount = board.fleetView.endpoints.size();
        setRegistrations(board.fleetView, registrations);
        setMemoryCapacities(board.fleetView, *board.table);
        updatePaces(board.fleetView, *board.table, paceOptions(settings), clock.now());
        hasRegistrations = true;
        std::size_t draining = 0;
        for (const Registration& registration : registrations)
            draining += registration.isDraining ? 1U : 0U;
        logEvent(LogLevel::Info, "endpoints_changed",
            { { "count", registrations.size() }, { "before", previousCount }, { "draining", draining },
                { "position", source->versions().registrationsPosition } });
        fleetSync.refreshCoordinators();
        updateReadiness();
        router.onEndpointsChanged();
        queue.onCapacityChanged();
    }

    void onEvacuatedZones(const std::set<std::string>& zones) override
    {
        setEvacuatedZones(board.fleetView, zones, clock.now());
        auto endpoints = std::count_if(board.fleetView.endpoints.begin(), board.fleetView.endpoints.end(),
            [](const auto& entry) { return entry.second.isEvacuated; });
        metrics.set(Gauge::EvacuatedZones, {}, static_cast<double>(zones.size()));
        logEvent(LogLevel::Info, "endpoints_evacuated", { { "zones", zones.size() }, { "endpoints", endpoints } });
        router.onEndpointsChanged();
        queue.onCapacityChanged();
    }

    void onPeerAddresses(const std::vector<std::string>& addresses) override { fleetSync.setAnnouncedPeers(addresses); }

    void updateReadiness()
    {
        bool isReadyNow = isReady();
        if (isReadyNow == wasReady)
            return;
        wasReady = isReadyNow;
        fleetSync.setMayCoordinate(isReadyNow);
        metrics.set(Gauge::Ready, {}, isReadyNow ? 1 : 0);
        logEvent(LogLevel::Info, "readiness_changed",
            { { "ready", isReadyNow ? 1 : 0 }, { "configuration", board.table->version } });
    }

    void refreshPaces()
    {
        updatePaces(board.fleetView, *board.table, paceOptions(settings), clock.now());
        fleetSync.refreshCoordinators();
    }

    // Logs the endpoints whose pace this daemon decides when their phase changes.
    void reportPaces(Millis now)
    {
        std::size_t coldCount = 0;
        std::size_t rampCount = 0;
        std::uint64_t deferrals = 0;
        for (auto& [id, view] : board.fleetView.endpoints) {
            advancePace(view.pace, now);
            coldCount += view.pace.phase == PacePhase::Cold ? 1U : 0U;
            rampCount += view.pace.phase == PacePhase::Ramp ? 1U : 0U;
            deferrals += std::exchange(view.pace.unreportedDeferrals, 0);
            auto change = takePaceChange(view.pace, view.reportedPacePhase);
            if (!change || !view.pace.isOwner)
                continue;
            logEvent(LogLevel::Info, "endpoint_pace_changed",
                { { "endpoint", id.value }, { "phase", pacePhaseName(change->current) },
                    { "previous", pacePhaseName(change->previous) }, { "cause", paceCauseName(view.pace.cause) },
                    { "per_second", view.pace.allowance }, { "paced_ms", (now - view.pace.pacedSince).count },
                    { "requests", view.pace.pacedRequests }, { "deferrals", view.pace.deferrals } });
        }
        if (deferrals != 0)
            metrics.add(Counter::PaceDeferrals, {}, static_cast<double>(deferrals));
        metrics.set(Gauge::PacedEndpoints, { "cold" }, static_cast<double>(coldCount));
        metrics.set(Gauge::PacedEndpoints, { "ramp" }, static_cast<double>(rampCount));
    }

    void updateConfigurationCurrent(Millis now)
    {
        board.isConfigurationCurrent
            = now - source->configurationConfirmedAt() < source->confirmationInterval() + confirmationTolerance;
    }

    // Measures the lag. Requests in progress may take most of the processor time, so that the event loop handles few
    // events for new connections, which have a lower priority; some connections are then accepted here.
    void updateLag()
    {
        if (loopMonitor.tick())
            logEvent(LogLevel::Warning, "processor_saturated",
                { { "lag_ms", loopMonitor.lag().count }, { "in_progress", router.activeCount() },
                    { "connections", callerServer.connectionCount() } });
        board.requestReadLag = loopMonitor.lag();
        callerServer.setSaturated(loopMonitor.isSaturated());
        if (loopMonitor.isSaturated())
            callerServer.acceptConnections(acceptPolicy.acceptsPerSaturatedTick);
    }

    // Logs a second in which callers left unheard, or which ends with connections that wait.
    void reportCallerConnections()
    {
        CallerConnectionCounts counts = callerServer.takeConnectionCounts();
        metrics.add(Counter::CallerConnections, { "accepted" }, static_cast<double>(counts.accepted));
        metrics.add(Counter::CallerConnections, { "abandoned" }, static_cast<double>(counts.abandoned));
        metrics.add(Counter::CallerConnections, { "expired" }, static_cast<double>(counts.expired));
        metrics.add(Counter::CallerConnections, { "dropped" }, static_cast<double>(counts.dropped));
        metrics.set(Gauge::AcceptQueue, {}, static_cast<double>(counts.queued));
        if (counts.abandoned + counts.expired < minLoggedAbandoned && counts.queued < minLoggedQueue)
            return;
        logEvent(LogLevel::Info, "caller_connections",
            { { "accepted", counts.accepted }, { "requests", counts.requests }, { "abandoned", counts.abandoned },
                { "expired", counts.expired }, { "idle_closed", counts.idleClosed }, { "dropped", counts.dropped },
                { "open", counts.open }, { "queued", counts.queued },
                { "longest_unread_ms", counts.longestUnread.count }, { "lag_ms", loopMonitor.lag().count } });
    }

    // A step of the tick that fails must not keep a planned stop from ending.
    static void onTick(evutil_socket_t, short, void* self)
    {
        auto& state = *static_cast<State*>(self);
        runGuarded("tick", [&] { state.tick(); });
        runGuarded("tick_shutdown", [&] { state.advanceShutdown(state.clock.now()); });
    }

    [[nodiscard]] std::vector<AddressBinding> addressBindings()
    {
        const std::string& metricsAddress = settings.health.metricsAddress;
        std::vector<AddressBinding> bindings { { .protocol = "udp", .address = settings.peers.address, .bind = [this] {
                                                    return peerTransport.bind(settings.peers.address);
                                                } } };
        for (const std::string& address :
            std::set<std::string> { settings.peers.address, settings.health.address, metricsAddress }) {
            if (address.empty())
                continue;
            bool isRequired = address == settings.peers.address || address == settings.health.address;
            bindings.push_back({ .protocol = "tcp",
                .address = address,
                .bind = [this, address] { return listenForStatus(address); },
                .isRequired = isRequired });
        }
        bindings.push_back({ .protocol = "tcp", .address = settings.callers.address, .bind = [this] {
                                return callerServer.listen();
                            } });
        return bindings;
    }

    void onAddressesBound(const Result<void>& result)
    {
        if (!result) {
            logEvent(LogLevel::Error, "start_failed", { { "message", result.error().message } });
            exitCode = 1;
            end();
            return;
        }
        isServing = true;
        fleetSync.start();
        source->start(*this);
        endStartStep(StartStep::Addresses);
        logStarted({ { "daemon", settings.daemon.id.value }, { "availability_zone", settings.daemon.availabilityZone },
            { "callers", settings.callers.address }, { "store", settings.store.address },
            { "processor_share", settings.daemon.cpuCores }, { "memory_mb", settings.daemon.memoryMb },
            { "max_descriptors", settings.daemon.maxDescriptors } });
    }

    void tick()
    {
        if (!isServing) {
            flushLog();
            return;
        }
        Millis now = clock.now();
        updateLag();
        updateConfigurationCurrent(now);
        if (now - lastShareRefresh >= shareRefreshInterval) {
            lastShareRefresh = now;
            refreshFairShareRatios(board.shares, now);
            router.setFleetProperties(fleetSync.possibleDaemonCount(), fleetSync.usesCoordinators());
        }
        router.updateQuarantines();
        fleetSync.tick();
        coordinator.tick();
        reportPaces(now);
        if (now - lastLogFlush >= logFlushInterval) {
            lastLogFlush = now;
            flushLog();
        }
        if (now - lastHousekeeping >= housekeepingInterval) {
            lastHousekeeping = now;
            metrics.set(Gauge::MembersAlive, {}, static_cast<double>(fleetSync.livePeerCount() + 1));
            metrics.set(Gauge::ConfigurationAge, {}, (now - source->configurationConfirmedAt()).seconds());
            reportCallerConnections();
            processMonitor.update(now, callerServer.heldResources());
            metrics.add(Counter::CallbackFailures, {}, static_cast<double>(takeCallbackFailures()));
            reloadSettingsIfRequired(false);
        }
    }

    void stop()
    {
        if (phase != Phase::Running)
            return;
        phase = Phase::Stopping;
        stopRequestTime = clock.now();
        board.isStopping = true;
        callerServer.disableKeepAlive();
        logEvent(LogLevel::Info, "shutdown_started",
            { { "in_progress", router.activeCount() }, { "connections", callerServer.connectionCount() } });
        updateReadiness();
        if (isServing)
            return;
        logEvent(LogLevel::Info, "shutdown_finished", { { "took_ms", 0 }, { "in_progress", router.activeCount() } });
        end();
    }

    void end()
    {
        phase = Phase::Ended;
        event_base_loopbreak(base.get());
    }

    void advanceShutdown(Millis now)
    {
        if (phase != Phase::Stopping)
            return;
        Millis elapsed = now - stopRequestTime;
        ShutdownTimes times = shutdownTimes(settings.shutdown.grace);
        if (elapsed >= times.refusal) {
            board.refusesRequests = true;
            callerServer.stopListening();
            callerServer.closeIdleConnections();
        }
        if (elapsed >= times.finalAnswers)
            router.endAllRequests();
        bool isComplete = elapsed >= times.refusal && router.activeCount() == 0 && callerServer.connectionCount() == 0;
        if (!isComplete && elapsed < times.exit)
            return;
        fleetSync.announceLeave();
        logEvent(LogLevel::Info, "shutdown_finished",
            { { "took_ms", elapsed.count }, { "in_progress", router.activeCount() } });
        end();
    }

    // Reloads the settings after SIGHUP, a change of the file, or a failure of the last reload.
    void reloadSettingsIfRequired(bool signalled)
    {
        if (!takeReload(settingsFile, signalled))
            return;
        auto text = readFile(settingsFile.path);
        auto parsed = parseRouterSettings(text.value_or(""), settingsFile.path);
        if (!parsed) {
            if (recordReloadFailure(settingsFile, parsed.error().message) || signalled)
                logEvent(LogLevel::Error, "reload_failed", { { "message", parsed.error().message } });
            return;
        }
        recordReload(settingsFile);
        logNotices(parsed.value(), settingsFile.path);
        settings.retries = parsed.value().retries;
        settings.placement = parsed.value().placement;
        if (phase == Phase::Running) // A planned stop keeps the grace time with which it began.
            settings.shutdown = parsed.value().shutdown;
        settings.logging = parsed.value().logging;
        router.setOptions(requestRouterOptions(settings));
        refreshPaces();
        setLogLevel(parseLogLevel(settings.logging.level).value());
        logEvent(LogLevel::Info, "settings_reloaded", { { "signalled", signalled ? 1 : 0 } });
    }

    void watchSignals()
    {
        auto watch = [this](std::size_t index, int signalNumber, event_callback_fn handler) {
            signalEvents[index].reset(evsignal_new(base.get(), signalNumber, handler, this));
            event_add(signalEvents[index].get(), nullptr);
        };
        auto onStop = [](evutil_socket_t, short, void* self) {
            runGuarded("signal_stop", [&] { static_cast<State*>(self)->stop(); });
        };
        watch(0, SIGTERM, onStop);
        watch(1, SIGINT, onStop);
        watch(2, SIGHUP, [](evutil_socket_t, short, void* self) {
            runGuarded("signal_reload", [&] { static_cast<State*>(self)->reloadSettingsIfRequired(true); });
        });
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
    mallopt(M_MMAP_THRESHOLD, largeBufferBytes);
    return state.addressBinder.start(
        state.addressBindings(), [&state](const Result<void>& result) { state.onAddressesBound(result); });
}

int RouterDaemon::run()
{
    State& state = *m_state;
    while (state.phase != State::Phase::Ended) {
        // Coordinators do not sleep between turns, since the other daemons wait for their placement replies.
        if (state.loopMonitor.isSaturated() && !state.fleetSync.coordinatesAnyShard())
            state.loopMonitor.runPacedTurn([&] { return state.phase == State::Phase::Ended; });
        else
            event_base_loop(state.base.get(), EVLOOP_ONCE);
    }
    flushLog();
    return state.exitCode;
}

void RouterDaemon::watchSignals(SettingsFile settingsFile)
{
    m_state->settingsFile = std::move(settingsFile);
    m_state->watchSignals();
}

void RouterDaemon::stop() { m_state->stop(); }

std::uint16_t RouterDaemon::callerPort() const noexcept { return m_state->callerServer.port(); }

int runRouter(const RouterSettings& settings, DeploymentAdapter adapter, SettingsFile settingsFile)
{
    std::signal(SIGPIPE, SIG_IGN);
    replaceDefaultSignalActions();
    setLogLevel(parseLogLevel(settings.logging.level).value());
    logNotices(settings, settingsFile.path);
    RouterDaemon daemon(settings, std::move(adapter));
    endStartStep(StartStep::Construction);
    daemon.watchSignals(std::move(settingsFile));
    unblockLifecycleSignals();
    if (auto started = daemon.start(); !started) {
        logEvent(LogLevel::Error, "start_failed", { { "message", started.error().message } });
        return logExit(1, "start_failed");
    }
    int code = daemon.run();
    return logExit(code, code == 0 ? "stopped" : "start_failed");
}

}
