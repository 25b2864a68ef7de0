#include "base/Random.h"
#include "routing/CrashAttribution.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <vector>

// Histories of a model service whose endpoints are lost with every request that has one prompt part, so that up to half
// of them are away at a time. Unlike in CrashAttributionTests.cpp a lost endpoint is away for a while, and several are
// lost a second.

using namespace jasminestack;

namespace {

constexpr Millis step { 5 };
constexpr Millis contactTime { 3'000 }; ///< Time in which daemons are to learn of losses and verdicts.
constexpr int tolerableCrashes = 5; ///< Of one part; contactTime later at most maxLateSends requests with it are sent.
constexpr int maxLateSends = 3;
constexpr int requestsPerAllowedRefusal = 500; ///< One of so many sound requests may be refused by mistake.
constexpr Millis crashesBegin { 1'000 }; ///< Before, requests without the part are answered.
constexpr std::uint64_t seedsPerHistory = 8;

/// \brief When a request with a crashing part ends its endpoint.
enum class CrashTime : std::uint8_t {
    AtOnce,
    BeforeAnswer, ///< Within 0.6 s, before the answer begins.
    AfterEvents,
};

/// \brief Where the crashing part is in its prompts; the last part is different in all requests.
enum class PartPosition : std::uint8_t {
    First,
    Middle,
};

/// \brief Endpoints that are lost for a reason of their own.
struct CommonFailures {
    Millis interval {}; ///< 0: none.
    unsigned endpoints { 1 };
    Millis spacing {}; ///< From the loss of one endpoint to the next one's; 0: all at once.
    Millis unnoticed {}; ///< Daemons go on to send to a lost endpoint for so long; these requests are lost at once.
};

struct HistoryOptions {
    unsigned daemonCount { 4 };
    unsigned endpointCount { 10 };
    double requestsPerSecond { 60 };
    double crashingShare { 0.08 }; ///< Of the requests: have a crashing part.
    unsigned crashingParts { 1 };
    CrashTime crashTime { CrashTime::BeforeAnswer };
    PartPosition position { PartPosition::Middle };
    unsigned documents { 20 }; ///< Parts of which each sound request has one.
    unsigned sendsPerRequest { 3 }; ///< Endpoints to which a daemon sends one request at most.
    unsigned callerRepeats { 0 }; ///< How often a caller repeats a failed request at once, with another last part.
    CommonFailures failures;
    Millis returnTime { 3'000 }; ///< From the loss of an endpoint process to its successor.
    Millis maxMessageDelay { 20 };
    Millis duration { 24'000 };
};

struct HistoryResult {
    int crashes { 0 };
    int lateSends { 0 };
    int refusedSound { 0 };
    int soundRequests { 0 };
};

class ModelServiceHistory {
public:
    ModelServiceHistory(const HistoryOptions& options, std::uint64_t seed)
        : m_options(options)
        , m_random(seed)
        , m_daemons(options.daemonCount)
        , m_endpoints(options.endpointCount)
        , m_crashes(options.crashingParts)
        , m_lastTolerableCrashAt(options.crashingParts)
    {
        for (Endpoint& endpoint : m_endpoints)
            endpoint.process = ++m_lastProcess;
    }

    HistoryResult run()
    {
        for (; m_now < m_options.duration; m_now += step) {
            returnEndpoints();
            deliverMessages();
            if (chance(m_options.requestsPerSecond * step.seconds()))
                arrive();
            failInCommon();
            endRequests();
            exchangeEvidence();
        }
        return m_result;
    }

private:
    struct Endpoint {
        EndpointInstanceId process { 0 };
        bool isUp { true };
        Millis lostAt {};
        Millis returnsAt {};
    };

    struct Request {
        unsigned daemon { 0 };
        EndpointInstanceId process { 0 };
        std::vector<TraitHash> traits;
        std::optional<unsigned> crashingPart;
        unsigned sends { 0 };
        unsigned repeatsLeft { 0 };
        bool isAtLostEndpoint { false };
        Millis sentAt {};
        Millis beginsAt {}; ///< When its answer begins.
        Millis endsAt {};
    };

    struct Message {
        unsigned receiver { 0 };
        Millis arrivesAt {};
        CrashEvidence evidence;
    };

    static constexpr TraitHash firstCrashingPart = 10;
    static constexpr TraitHash commonPart = 100;
    static constexpr TraitHash firstDocument = 1'000;
    static constexpr TraitHash firstContent = 1'000'000;
    static constexpr WorkspaceHash workspace = 1;

    [[nodiscard]] bool chance(double probability) { return m_random.uniformReal() < probability; }

    [[nodiscard]] Millis randomTime(Millis from, Millis to)
    {
        return from
            + Millis { static_cast<std::int64_t>(m_random.uniformReal() * static_cast<double>((to - from).count)) };
    }

    [[nodiscard]] unsigned randomBelow(std::size_t bound)
    {
        return static_cast<unsigned>(m_random.uniformInteger(bound));
    }

    void arrive()
    {
        Request request { .daemon = randomBelow(m_options.daemonCount), .repeatsLeft = m_options.callerRepeats };
        if (m_options.crashingParts != 0 && m_now >= crashesBegin && chance(m_options.crashingShare))
            request.crashingPart = randomBelow(m_options.crashingParts);
        if (!request.crashingPart || m_options.position == PartPosition::Middle)
            request.traits.push_back(commonPart);
        request.traits.push_back(request.crashingPart ? firstCrashingPart + *request.crashingPart
                                                      : firstDocument + randomBelow(m_options.documents));
        request.traits.push_back(firstContent + ++m_requestCount);
        m_result.soundRequests += request.crashingPart ? 0 : 1;
        send(std::move(request));
    }

    [[nodiscard]] TraitVerdict verdict(const Request& request) const
    {
        return decideByTraits(m_daemons[request.daemon], m_attribution, request.traits, workspace).verdict;
    }

    // Sends the request to one of the endpoints that are up, unless it is refused.
    void send(Request request)
    {
        if (verdict(request) == TraitVerdict::Quarantined) {
            m_result.refusedSound += request.crashingPart ? 0 : 1;
            return;
        }
        std::vector<const Endpoint*> candidates;
        for (const Endpoint& endpoint : m_endpoints) {
            if (endpoint.isUp || m_now - endpoint.lostAt < m_options.failures.unnoticed)
                candidates.push_back(&endpoint);
        }
        if (candidates.empty())
            return;
        const Endpoint& endpoint = *candidates[randomBelow(candidates.size())];
        request.process = endpoint.process;
        request.isAtLostEndpoint = !endpoint.isUp;
        ++request.sends;
        request.sentAt = m_now;
        setTimes(request);
        if (request.isAtLostEndpoint)
            request.endsAt = m_now + step;
        countLateSend(request);
        m_inFlight.push_back(std::move(request));
    }

    void setTimes(Request& request)
    {
        request.beginsAt = m_now + randomTime({ 20 }, { 150 });
        request.endsAt = request.beginsAt + randomTime({ 50 }, { 600 });
        if (!request.crashingPart)
            return;
        if (m_options.crashTime == CrashTime::AfterEvents) {
            request.endsAt = request.beginsAt + randomTime({ 20 }, { 60 });
            return;
        }
        request.endsAt = m_now + (m_options.crashTime == CrashTime::AtOnce ? step : randomTime(step, { 600 }));
        request.beginsAt = request.endsAt + step;
    }

    void countLateSend(const Request& request)
    {
        if (!request.crashingPart || request.isAtLostEndpoint || m_crashes[*request.crashingPart] < tolerableCrashes)
            return;
        bool isLate = m_now - m_lastTolerableCrashAt[*request.crashingPart] > contactTime;
        m_result.lateSends += isLate ? 1 : 0;
    }

    void endRequests()
    {
        std::vector<Request> ended;
        std::erase_if(m_inFlight, [&](const Request& request) {
            if (request.endsAt <= m_now)
                ended.push_back(request);
            return request.endsAt <= m_now;
        });
        std::vector<Request> lost;
        for (Request& request : ended) {
            if (!request.crashingPart && !request.isAtLostEndpoint) {
                (void)recordAnswer(m_daemons[request.daemon], m_attribution, request.traits, m_now);
                continue;
            }
            for (Endpoint& endpoint : m_endpoints) {
                if (endpoint.process != request.process || !endpoint.isUp)
                    continue;
                loseEndpoint(endpoint);
                countCrash(*request.crashingPart);
            }
            handleLoss(std::move(request));
        }
    }

    void countCrash(unsigned part)
    {
        ++m_result.crashes;
        if (++m_crashes[part] == tolerableCrashes)
            m_lastTolerableCrashAt[part] = m_now;
    }

    void loseEndpoint(Endpoint& endpoint)
    {
        endpoint.isUp = false;
        endpoint.lostAt = m_now;
        endpoint.returnsAt = m_now + m_options.returnTime;
        std::vector<Request> lost;
        std::erase_if(m_inFlight, [&](const Request& request) {
            if (request.process == endpoint.process)
                lost.push_back(request);
            return request.process == endpoint.process;
        });
        for (Request& request : lost)
            handleLoss(std::move(request));
    }

    void failInCommon()
    {
        const CommonFailures& failures = m_options.failures;
        if (failures.interval != Millis {} && m_now != Millis {} && m_now.count % failures.interval.count == 0) {
            unsigned first = randomBelow(m_endpoints.size());
            for (unsigned i = 0; i < failures.endpoints; ++i)
                m_dueFailures.emplace(m_now + Millis { failures.spacing.count * i },
                    (first + i) % static_cast<unsigned>(m_endpoints.size()));
        }
        while (!m_dueFailures.empty() && m_dueFailures.begin()->first <= m_now) {
            Endpoint& endpoint = m_endpoints[m_dueFailures.begin()->second];
            m_dueFailures.erase(m_dueFailures.begin());
            if (endpoint.isUp)
                loseEndpoint(endpoint);
        }
    }

    // As the request path does: the loss is recorded, then the request is sent to another endpoint or fails.
    void handleLoss(Request request)
    {
        CrashAttributionState& state = m_daemons[request.daemon];
        recordLoss(state, m_attribution, request.process,
            { .workspace = workspace,
                .hasBegun = request.beginsAt <= m_now,
                .sentAt = request.sentAt,
                .content = request.traits.back(),
                .traits = request.traits },
            m_now);
        (void)updateQuarantines(state, m_attribution, m_now);
        if (verdict(request) == TraitVerdict::Clear && request.sends < m_options.sendsPerRequest)
            send(std::move(request));
        else if (request.repeatsLeft != 0)
            repeat(std::move(request));
    }

    void repeat(Request request)
    {
        request.daemon = randomBelow(m_options.daemonCount);
        request.sends = 0;
        --request.repeatsLeft;
        request.traits.back() = firstContent + ++m_requestCount;
        m_result.soundRequests += request.crashingPart ? 0 : 1;
        send(std::move(request));
    }

    void returnEndpoints()
    {
        for (Endpoint& endpoint : m_endpoints) {
            if (endpoint.isUp || m_now < endpoint.returnsAt)
                continue;
            endpoint.isUp = true;
            endpoint.process = ++m_lastProcess;
        }
    }

    void exchangeEvidence()
    {
        for (unsigned sender = 0; sender < m_options.daemonCount; ++sender) {
            CrashAttributionState& state = m_daemons[sender];
            (void)updateQuarantines(state, m_attribution, m_now);
            CrashEvidence evidence = std::exchange(state.unsent, {});
            if (m_now.count % 400 == 0)
                evidence.quarantines = currentQuarantines(state);
            if (evidence.empty())
                continue;
            for (unsigned receiver = 0; receiver < m_options.daemonCount; ++receiver) {
                if (receiver != sender)
                    m_messages.push_back({ .receiver = receiver,
                        .arrivesAt = m_now + randomTime({}, m_options.maxMessageDelay),
                        .evidence = evidence });
            }
        }
    }

    void deliverMessages()
    {
        std::erase_if(m_messages, [&](const Message& message) {
            if (message.arrivesAt > m_now)
                return false;
            mergeEvidence(m_daemons[message.receiver], m_attribution, message.evidence, m_now);
            return true;
        });
    }

    HistoryOptions m_options;
    CrashAttributionOptions m_attribution;
    Random m_random;
    Millis m_now {};
    std::vector<CrashAttributionState> m_daemons;
    std::vector<Endpoint> m_endpoints;
    EndpointInstanceId m_lastProcess { 0 };
    std::uint64_t m_requestCount { 0 };
    std::vector<int> m_crashes; ///< By crashing part.
    std::vector<Millis> m_lastTolerableCrashAt; ///< By crashing part.
    std::vector<Request> m_inFlight;
    std::multimap<Millis, unsigned> m_dueFailures;
    std::vector<Message> m_messages;
    HistoryResult m_result;
};

void checkHistory(const char* name, const HistoryOptions& options)
{
    int crashes = 0;
    int late = 0;
    int refused = 0;
    for (std::uint64_t seed = 1; seed <= seedsPerHistory; ++seed) {
        INFO(name << ", seed " << seed);
        HistoryResult result = ModelServiceHistory(options, seed).run();
        CHECK(result.lateSends <= maxLateSends * static_cast<int>(options.crashingParts));
        CHECK(result.refusedSound <= result.soundRequests / requestsPerAllowedRefusal);
        crashes += result.crashes;
        late += result.lateSends;
        refused += result.refusedSound;
    }
    WARN(name << ": " << crashes << " crashes, " << late << " late sends, " << refused << " sound requests refused");
}

}

// Guards against a part that goes on to crash endpoints since they are lost before they answer, several a second, so
// that their losses count as one.
TEST_CASE("a part that crashes half of the endpoints at a time is found after few crashes", "[crash][part]")
{
    for (CrashTime crashTime : { CrashTime::AtOnce, CrashTime::BeforeAnswer, CrashTime::AfterEvents }) {
        HistoryOptions options { .crashTime = crashTime };
        INFO("crash time " << static_cast<int>(crashTime));
        checkHistory("in the middle", options);
        options.position = PartPosition::First;
        checkHistory("first", options);
        options.crashingParts = 2;
        checkHistory("two parts at once", options);
        options = { .daemonCount = 8, .endpointCount = 18, .crashTime = crashTime };
        checkHistory("eight daemons", options);
        options = { .daemonCount = 2, .endpointCount = 3, .crashTime = crashTime };
        if (crashTime != CrashTime::AfterEvents) // See the next test.
            checkHistory("three endpoints", options);
        options = { .crashTime = crashTime, .sendsPerRequest = 1 };
        checkHistory("requests that are sent once", options);
        options = { .crashTime = crashTime, .maxMessageDelay = { 300 } };
        checkHistory("slow messages", options);
        options = { .crashTime = crashTime, .failures = { .interval = { 2'500 } } };
        checkHistory("beside other losses", options);
    }
}

// Guards against a part that crashes all endpoints of a small service at nearly the same time, so that only some of the
// losses count.
TEST_CASE(
    "a part that crashes all of three endpoints after events is found after few crashes", "[crash][part][!mayfail]")
{
    checkHistory(
        "three endpoints, after events", { .daemonCount = 2, .endpointCount = 3, .crashTime = CrashTime::AfterEvents });
}

// Guards against the refusal of sound parts at endpoints that are lost one after the other for other reasons, so that
// requests which were sent again are lost again.
TEST_CASE("losses of endpoints in a row refuse no part", "[crash][part]")
{
    for (unsigned documents : { 5U, 100U, 600U }) {
        for (unsigned callerRepeats : { 0U, 4U }) {
            HistoryOptions options {
                .crashingShare = 0, .crashingParts = 0, .documents = documents, .callerRepeats = callerRepeats
            };
            INFO(documents << " documents, " << callerRepeats << " repeats");
            options.failures = { .interval = { 600 } };
            checkHistory("single endpoints", options);
            options.failures = { .interval = { 5'000 }, .endpoints = 6, .spacing = { 60 } };
            checkHistory("a rack", options);
            options.failures = { .interval = { 5'000 }, .endpoints = 6, .spacing = { 60 }, .unnoticed = { 150 } };
            checkHistory("a rack that daemons go on to send to", options);
            options.failures = { .interval = { 4'500 }, .endpoints = 6, .unnoticed = { 150 } };
            checkHistory("a zone at once", options);
            options.failures = { .interval = { 6'000 }, .endpoints = 8, .spacing = { 300 } };
            checkHistory("most endpoints, slowly", options);
        }
    }
}

namespace {

constexpr CrashAttributionOptions attribution;
constexpr TraitHash cause = 7;

/// \returns Whether a part is quarantined that was lost with so many endpoints \p interval apart, each time
/// \p timeInFlight after it was sent.
bool isQuarantined(unsigned losses, Millis interval, Millis timeInFlight)
{
    CrashAttributionState state;
    Millis begin { 10'000 };
    Millis at = begin;
    for (unsigned endpoint = 1; endpoint <= losses; ++endpoint, at = at + interval)
        recordLoss(state, attribution, endpoint,
            { .workspace = 1,
                .sentAt = at - timeInFlight,
                .content = 100 + endpoint,
                .traits = { cause, 100 + endpoint } },
            at);
    return !updateQuarantines(state, attribution, begin + attribution.observationTime).empty();
}

}

// Guards against losses that count as one although each request was sent after the loss before, and against a part that
// is refused since a zone was lost at once.
TEST_CASE("losses of a part in quick succession count if it was sent between them", "[crash][part]")
{
    CHECK(isQuarantined(attribution.waitingThreshold, { 60 }, { 30 }));
    CHECK(isQuarantined(attribution.waitingThreshold, { 60 }, { 1 }));
    CHECK_FALSE(isQuarantined(attribution.waitingThreshold - 1, { 60 }, { 30 }));
    CHECK_FALSE(isQuarantined(2 * attribution.waitingThreshold, { 10 }, { 200 }));
}
