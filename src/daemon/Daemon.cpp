#include "daemon/Daemon.h"

#include "base/Clock.h"
#include "base/LifecycleSignals.h"
#include "base/Random.h"
#include "config/SettingsFile.h"
#include "core/CrashGuard.h"
#include "core/EndpointHealth.h"
#include "core/Retry.h"
#include "core/Scheduling.h"
#include "daemon/AdminRoutes.h"
#include "daemon/ClaimService.h"
#include "daemon/ConfigurationService.h"
#include "daemon/FleetServices.h"
#include "daemon/RequestProxy.h"
#include "net/AddressBinder.h"
#include "net/CallerServer.h"
#include "net/EndpointClient.h"
#include "net/EventCallback.h"
#include "net/EventPriority.h"
#include "net/HttpClient.h"
#include "net/HttpLogClient.h"
#include "observe/Logging.h"
#include "observe/Metrics.h"
#include "observe/ProcessEnd.h"
#include "observe/ProcessMonitor.h"
#include "observe/ProcessStart.h"
#include "observe/Tracing.h"

#include <array>
#include <csignal>
#include <event2/event.h>
#include <fstream>
#include <optional>

namespace jasminestack {

namespace {

    constexpr timeval tickInterval { .tv_sec = 0, .tv_usec = 50'000 };

    // Time between the announcement to the peers that the daemon is leaving the fleet and the end of the process, so
    // that the messages are written before the sockets close.
    constexpr Millis exitDelay { 100 };

    // Finished spans are exported at least this often.
    constexpr Millis traceFlushInterval { 1'000 };

    constexpr Millis processCheckInterval { 1'000 };

    // Longest time for which a stopping daemon waits until the log has stored the results of calls with idempotency
    // keys.
    constexpr Millis claimFlushTimeout { 5'000 };

    RequestProxyOptions proxyOptions(const DaemonSettings& settings)
    {
        return { .maxBodyBytes = settings.callers.maxBodyBytes,
            .connectTimeout = settings.endpoints.connectTimeout,
            .firstByteTimeout = settings.endpoints.firstByteTimeout,
            .responseIdleTimeout = settings.endpoints.idleTimeout };
    }

    CallerServerOptions callerServerOptions(const DaemonSettings& settings)
    {
        return { .address = settings.callers.address,
            .maxHeaderBytes = settings.callers.maxHeaderBytes,
            .maxBodyBytes = settings.callers.maxBodyBytes,
            .readTimeout = settings.callers.readTimeout,
            .writeTimeout = settings.callers.writeTimeout };
    }

    Tracer::Sink makeTraceSink(const std::string& path)
    {
        if (path.empty())
            return {};
        auto file = std::make_shared<std::ofstream>(path, std::ios::app);
        return [file](std::string_view document) { *file << document << '\n' << std::flush; };
    }

}

struct Daemon::State {
    enum class Phase : std::uint8_t {
        Running,
        BalancerGrace, ///< Not ready; requests are accepted until load balancers have stopped sending them.
        Draining, ///< New requests are refused; requests in progress continue.
        Leaving, ///< The peers have been notified; the process ends after exitDelay.
    };

    DaemonSettings settings;
    std::function<const Configuration&()> configuration; ///< If not empty, used instead of the log's configuration.
    SystemClock clock;
    Random random { systemSeed() };
    EventBasePointer base { event_base_new() };
    HttpClient http;
    HttpLogClient log;
    ConfigurationService configurationService;
    SelfState self;
    MemberTable members;
    EndpointTable endpoints;
    SchedulingStatePointer scheduling;
    RetryBudget retryBudget;
    CrashGuardState crashGuard;
    Metrics metrics;
    ProcessMonitor processMonitor { metrics, {} };
    Tracer tracer;
    EndpointClient transport;
    ClaimService claims;
    RequestProxy proxy;
    CallerServer callerServer;
    std::unique_ptr<AdminServer> adminServer;
    FleetServices fleetServices;
    AddressBinder addressBinder;
    EventPointer tickTimer;
    std::array<EventPointer, 3> signalEvents;
    SettingsFile settingsFile;
    Phase phase { Phase::Running };
    Millis stopRequestedAt {};
    Millis leftAt {};
    Millis lastTraceFlushAt {};
    Millis lastProcessCheckAt {};
    Millis idleSince {}; ///< When a stopping daemon found that its last request had ended; 0 before.
    std::uint64_t appliedConfigurationVersion { 0 };
    int exitCode { 0 };
    bool isServing { false }; ///< All addresses are bound.

    State(const DaemonSettings& theSettings, std::function<const Configuration&()> theConfiguration)
        : settings(theSettings)
        , configuration(std::move(theConfiguration))
        , http(*base)
        , log(http, settings.log.address)
        // The log retains records for longer than the claim window, so half of the claim window is less than half of
        // the retention period, as checkpointInterval requires.
        , configurationService(log, clock, { .checkpointInterval = { settings.log.claimWindow.count / 2 } })
        , self { .id = settings.daemon.id,
            .incarnation = static_cast<std::uint64_t>(clock.wallTime().count),
            .peerAddress = settings.peers.address,
            .availabilityZone = settings.daemon.availabilityZone,
            .region = settings.daemon.region }
        , scheduling(makeSchedulingState({ .reportInterval = settings.scheduling.reportInterval,
              .cellReportInterval = settings.scheduling.exchangeInterval,
              .crossCellGain = settings.scheduling.gain,
              .policy = parseSchedulingPolicy(settings.scheduling.policy).value_or(SchedulingPolicy::Fair) }))
        , tracer({ .instanceId = settings.daemon.id.value }, clock, random, makeTraceSink(settings.tracing.otlpFile))
        , transport(*base, clock)
        , claims(log, clock, random, metrics, settings.daemon.id.value,
              { .claims = { .streamCount = settings.log.claimStreams, .claimWindow = settings.log.claimWindow } })
        , proxy(RequestProxyContext { .clock = clock,
                    .random = random,
                    .configuration = [this]() -> const Configuration& { return currentConfiguration(); },
                    .scheduling = *scheduling,
                    .self = self,
                    .members = members,
                    .endpoints = endpoints,
                    .transport = transport,
                    .metrics = metrics,
                    .tracer = tracer,
                    .retryBudget = retryBudget,
                    .crashGuard = crashGuard,
                    .sendCrashMark = [this](const CrashMark& mark) { fleetServices.sendCrashMark(mark); },
                    .claims = &claims },
              proxyOptions(settings))
        , callerServer(*base, proxy, callerServerOptions(settings))
        , fleetServices({ .base = *base,
              .settings = settings,
              .clock = clock,
              .http = http,
              .self = self,
              .members = members,
              .endpoints = endpoints,
              .configurationService = configurationService,
              .scheduling = *scheduling,
              .crashGuard = crashGuard,
              .metrics = metrics,
              .configuration = [this]() -> const Configuration& { return currentConfiguration(); },
              .onSlotsChanged = [this] { proxy.dispatchQueuedRequests(); } })
        , addressBinder(*base, clock)
    {
        tickTimer.reset(event_new(base.get(), -1, EV_PERSIST, onTick, this));
        event_add(tickTimer.get(), &tickInterval);
    }

    [[nodiscard]] const Configuration& currentConfiguration() const
    {
        return configuration ? configuration() : configurationService.current();
    }

    Result<void> startAdmin()
    {
        if (settings.admin.address.empty())
            return ok();
        auto token = readOperatorToken(settings.admin);
        if (!token)
            return token.error();
        auto listening = AdminServer::listen(*base,
            { .address = settings.admin.address, .operatorToken = std::move(token).value() },
            makeAdminHandlers({ .configuration = configurationService,
                .scheduling = *scheduling,
                .view =
                    [this] {
                        return SchedulingContext { self, currentConfiguration(), members, endpoints };
                    },
                .metrics = metrics,
                .clock = clock }));
        if (!listening)
            return listening.error();
        adminServer = std::move(listening).value();
        return ok();
    }

    void watchSignals()
    {
        auto watch = [this](std::size_t index, int signalNumber, event_callback_fn handler) {
            signalEvents[index].reset(evsignal_new(base.get(), signalNumber, handler, this));
            event_add(signalEvents[index].get(), nullptr);
        };
        auto onStop = [](evutil_socket_t, short, void* argument) {
            runGuarded("signal_stop", [&] { static_cast<State*>(argument)->stop(); });
        };
        watch(0, SIGTERM, onStop);
        watch(1, SIGINT, onStop);
        watch(2, SIGHUP, [](evutil_socket_t, short, void* argument) {
            runGuarded("signal_reload", [&] { static_cast<State*>(argument)->reloadSettingsIfRequired(true); });
        });
    }

    // Addresses and the parts built from the other settings stay as they were at the start.
    void reloadSettingsIfRequired(bool isSignalled)
    {
        if (!takeReload(settingsFile, isSignalled))
            return;
        auto text = readFile(settingsFile.path);
        auto parsed = parseDaemonSettings(text.value_or(""), settingsFile.path);
        if (!parsed) {
            if (recordReloadFailure(settingsFile, parsed.error().message) || isSignalled)
                logEvent(LogLevel::Error, "reload_failed", { { "message", parsed.error().message } });
            return;
        }
        recordReload(settingsFile);
        settings.logging = parsed.value().logging;
        if (phase == Phase::Running) // A planned stop keeps the times with which it began.
            settings.shutdown = parsed.value().shutdown;
        setLogLevel(parseLogLevel(settings.logging.level).value());
        logEvent(LogLevel::Info, "settings_reloaded", { { "signalled", isSignalled ? 1 : 0 } });
    }

    // A step of the tick that fails must not keep a planned stop from ending.
    static void onTick(evutil_socket_t, short, void* argument)
    {
        auto& state = *static_cast<State*>(argument);
        runGuarded("tick", [&] { state.runTick(); });
        runGuarded("tick_shutdown", [&] { state.advanceShutdown(state.clock.now()); });
    }

    void applyCurrentConfiguration()
    {
        const Configuration& current = currentConfiguration();
        if (current.version == appliedConfigurationVersion)
            return;
        appliedConfigurationVersion = current.version;
        applyConfiguration(endpoints, current);
        metrics.set(Gauge::ConfigurationVersion, {}, static_cast<double>(current.version));
    }

    void updateReadiness()
    {
        self.ready = currentConfiguration().version > 0 && phase == Phase::Running;
        metrics.set(Gauge::Ready, {}, self.ready ? 1 : 0);
    }

    [[nodiscard]] std::vector<AddressBinding> addressBindings()
    {
        return {
            { .protocol = "tcp",
                .address = settings.callers.address,
                .bind = [this] { return callerServer.listen(); } },
            { .protocol = "tcp", .address = settings.admin.address, .bind = [this] { return startAdmin(); } },
            { .protocol = "tcp", .address = settings.peers.address, .bind = [this] { return fleetServices.start(); } }
        };
    }

    void onAddressesBound(const Result<void>& result)
    {
        if (!result) {
            logEvent(LogLevel::Error, "start_failed", { { "message", result.error().message } });
            exitCode = 1;
            event_base_loopbreak(base.get());
            return;
        }
        isServing = true;
        if (!configuration) {
            configurationService.start();
            claims.start();
        }
        applyCurrentConfiguration();
        updateReadiness();
        endStartStep(StartStep::Addresses);
        logStarted({ { "daemon", settings.daemon.id.value }, { "callers", settings.callers.address } });
    }

    void runTick()
    {
        if (!isServing)
            return;
        Millis now = clock.now();
        if (!configuration) {
            configurationService.tick();
            claims.tick();
        }
        applyCurrentConfiguration();
        updateReadiness();
        proxy.tick();
        fleetServices.tick();
        metrics.set(Gauge::OpenStreams, {}, static_cast<double>(proxy.openStreamCount()));
        if (now - lastProcessCheckAt >= processCheckInterval) {
            lastProcessCheckAt = now;
            processMonitor.update(now, callerServer.heldResources());
            reloadSettingsIfRequired(false);
        }
        if (now - lastTraceFlushAt >= traceFlushInterval) {
            lastTraceFlushAt = now;
            tracer.flush();
        }
        metrics.add(Counter::CallbackFailures, {}, static_cast<double>(takeCallbackFailures()));
    }

    void stop()
    {
        if (phase != Phase::Running && !isServing)
            return; // The loop ends already.
        if (phase != Phase::Running) {
            logEvent(LogLevel::Warning, "shutdown_forced", { { "in_progress", proxy.activeRequestCount() } });
            exitCode = 1;
            event_base_loopbreak(base.get());
            return;
        }
        phase = Phase::BalancerGrace;
        stopRequestedAt = clock.now();
        self.draining = true;
        updateReadiness();
        callerServer.disableKeepAlive();
        logEvent(LogLevel::Info, "shutdown_started", { { "in_progress", proxy.activeRequestCount() } });
        if (isServing)
            return;
        logEvent(LogLevel::Info, "shutdown_finished", { { "took_ms", 0 } });
        event_base_loopbreak(base.get());
    }

    void advanceShutdown(Millis now)
    {
        if (phase == Phase::Running)
            return;
        Millis elapsed = now - stopRequestedAt;
        if (phase == Phase::BalancerGrace && elapsed >= settings.shutdown.balancerGrace) {
            phase = Phase::Draining;
            callerServer.stopListening();
            proxy.refuseNewRequests();
        }
        if (elapsed >= settings.shutdown.drain)
            proxy.refuseQueuedRequests();
        if (phase == Phase::Draining && proxy.activeRequestCount() == 0 && callerServer.openExchangeCount() == 0) {
            if (idleSince == Millis {})
                idleSince = now;
            if (!claims.hasNoUnconfirmedRecords() && now - idleSince < claimFlushTimeout)
                return;
            phase = Phase::Leaving;
            leftAt = now;
            fleetServices.announceLeave();
            logEvent(LogLevel::Info, "shutdown_finished", { { "took_ms", elapsed.count } });
        }
        if (phase == Phase::Leaving && now - leftAt >= exitDelay)
            event_base_loopbreak(base.get());
    }
};

Daemon::Daemon(const DaemonSettings& settings, std::function<const Configuration&()> configuration)
    : m_state(std::make_unique<State>(settings, std::move(configuration)))
{
}

Daemon::~Daemon() = default;

Result<void> Daemon::start()
{
    State& state = *m_state;
    return state.addressBinder.start(
        state.addressBindings(), [&state](const Result<void>& result) { state.onAddressesBound(result); });
}

int Daemon::run()
{
    event_base_dispatch(m_state->base.get());
    m_state->tracer.flush();
    return m_state->exitCode;
}

void Daemon::watchSignals(SettingsFile settingsFile)
{
    m_state->settingsFile = std::move(settingsFile);
    m_state->watchSignals();
}

void Daemon::stop() { m_state->stop(); }

bool Daemon::isServing() const noexcept { return m_state->isServing; }

std::uint16_t Daemon::callerPort() const noexcept { return m_state->callerServer.port(); }

int runDaemon(const DaemonSettings& settings, SettingsFile settingsFile)
{
    std::signal(SIGPIPE, SIG_IGN);
    replaceDefaultSignalActions();
    setLogLevel(parseLogLevel(settings.logging.level).value());
    Daemon daemon(settings);
    endStartStep(StartStep::Construction);
    daemon.watchSignals(std::move(settingsFile));
    unblockLifecycleSignals();
    auto started = daemon.start();
    if (!started) {
        logEvent(LogLevel::Error, "start_failed", { { "message", started.error().message } });
        return logExit(1, "start_failed");
    }
    int code = daemon.run();
    if (code == 0)
        return logExit(0, "stopped");
    return logExit(code, daemon.isServing() ? "shutdown_forced" : "start_failed");
}

}
