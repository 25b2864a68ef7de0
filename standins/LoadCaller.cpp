#include "LoadCaller.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace jasminestack::standins {

using nlohmann::json;

namespace {

    constexpr double minimumPauseMs
        = 20; // Minimum pause after an error, so that a closed loop does not spin on refusals.
    constexpr double maximumPauseMs = 2'000;
    constexpr double retryPauseMs = 50;
    constexpr std::size_t prefixBytes = 256; // Length of the prompt part that the model engines cache.
    constexpr std::size_t maxEvents = 10'000;
    constexpr std::size_t maxSamples = 4'000'000;

    std::string_view outcomeName(TransferOutcome outcome)
    {
        switch (outcome) {
        case TransferOutcome::NotConnected:
            return "not_connected";
        case TransferOutcome::NoResponse:
            return "no_answer";
        case TransferOutcome::Broken:
            return "broken";
        case TransferOutcome::TimedOut:
            return "timed_out";
        case TransferOutcome::Complete:
            break;
        }
        return "complete";
    }

    void addSample(std::vector<float>& samples, double value)
    {
        if (samples.size() < maxSamples)
            samples.push_back(static_cast<float>(value));
    }

}

LoadCaller::LoadCaller(LoadContext& context, const CallerGroup& group, std::size_t groupIndex, std::size_t firstTarget)
    : m_context(context)
    , m_group(group)
    , m_groupIndex(groupIndex)
    , m_target(firstTarget % group.targets.size())
    , m_connection(context.base,
          { .onHead = [this](int status) { handleHead(status); },
              .onData = [this](std::string_view text) { handleData(text); },
              .onEnd = [this](TransferOutcome outcome) { handleEnd(outcome); } })
    , m_pauseTimer(context.base, [this] { m_afterPause(); })
{
}

void LoadCaller::sendNext()
{
    double elapsed = monotonicMs() - m_context.statistics.startMs;
    if (m_context.isStopped || elapsed > m_group.stopMs)
        return;
    if (m_group.kind == "booking")
        startBooking();
    else if (m_group.kind == "get")
        sendGet();
    else
        sendModel();
}

std::string LoadCaller::makePrompt()
{
    std::size_t size = std::size_t { m_group.promptTokens } * 4;
    std::string text = m_group.crashMarker;
    if (m_group.prefixes > 0) {
        text += "prefix-" + m_group.workspace + "-" + std::to_string(m_context.random.uniformInteger(m_group.prefixes));
        text.resize(std::min(prefixBytes, size), '.');
    }
    if (!m_group.sameContent)
        text += " " + m_marker;
    if (text.size() < size)
        text.resize(size, '.');
    return text;
}

std::string LoadCaller::hintHeader(double cost)
{
    if (m_group.hint == "noisy")
        cost *= std::exp((m_context.random.uniformReal() * 2 - 1) * std::log(5.0));
    else if (m_group.hint == "false")
        cost = m_group.falseHint;
    else if (m_group.hint != "exact")
        return {};
    return "X-Cost-Hint: " + std::to_string(std::lround(std::max(cost, 1.0))) + "\r\n";
}

void LoadCaller::sendModel()
{
    m_tokens = m_group.tokens.sample(m_context.random);
    m_isStreaming = m_context.random.uniformReal() < m_group.streamPart;
    m_marker = m_group.name + "/" + (m_group.sameContent ? "same" : std::to_string(statistics().sent));
    json message = { { "role", "user" }, { "content", makePrompt() } };
    json body
        = { { "model", m_group.model }, { "user", m_marker }, { "max_tokens", m_tokens }, { "stream", m_isStreaming },
              { "prompt_tokens", m_group.promptTokens }, { "messages", json::array({ std::move(message) }) } };
    std::string headers = hintHeader(m_group.promptTokens / 4.0 + m_tokens);
    m_checker.reset(m_marker, m_tokens, m_isStreaming);
    transmit("POST", "/v1/chat/completions", headers, body.dump());
}

void LoadCaller::sendGet()
{
    m_marker = m_group.name + "/" + std::to_string(statistics().sent);
    transmit("GET", m_group.path, "", "");
}

void LoadCaller::startBooking()
{
    m_booking = m_group.name + "/" + std::to_string(statistics().sent) + "-" + m_context.random.hex(8);
    m_key = m_context.random.uuid();
    m_attempts = 0;
    if (m_group.duplicatePart > 0 && m_context.random.uniformReal() < m_group.duplicatePart) {
        if (!m_duplicateSender) {
            m_duplicateSender = std::make_unique<LoadCaller>(m_context, m_group, m_groupIndex, m_target + 1);
            m_duplicateSender->m_isDuplicateSender = true;
        }
        if (!m_duplicateSender->isBusy())
            m_duplicateSender->sendBooking(m_booking, m_key);
    }
    sendAttempt();
}

void LoadCaller::sendBooking(const std::string& booking, const std::string& key)
{
    m_booking = booking;
    m_key = key;
    m_attempts = 0;
    sendAttempt();
}

void LoadCaller::sendAttempt()
{
    ++m_attempts;
    m_isRetrying = false;
    m_marker = m_booking;
    std::string headers = m_group.idempotencyKey ? "Idempotency-Key: " + m_key + "\r\n" : "";
    json body = { { "booking", m_booking }, { "slot", "lathe-3" } };
    if (!m_group.crashMarker.empty())
        body["note"] = m_group.crashMarker;
    transmit("POST", m_group.path, headers, body.dump());
}

void LoadCaller::transmit(
    const std::string& method, const std::string& path, const std::string& headers, const std::string& body)
{
    const std::string& target = m_group.targets[m_target];
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + target + "\r\n";
    if (!m_group.key.empty())
        text += "Authorization: Bearer " + m_group.key + "\r\n";
    if (m_group.deadlineMs > 0)
        text += "X-Deadline-Ms: " + std::to_string(std::lround(m_group.deadlineMs)) + "\r\n";
    text += headers;
    if (method != "GET")
        text += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    text += "\r\n" + body;
    m_isBusy = true;
    ++m_context.activeRequests;
    ++statistics().sent;
    m_status = 0;
    m_body.clear();
    m_sentMs = monotonicMs();
    m_lastDataMs = 0;
    m_connection.send(target, text, m_group.timeoutMs);
}

void LoadCaller::handleHead(int status) { m_status = status; }

void LoadCaller::handleData(std::string_view text)
{
    double now = monotonicMs();
    if (m_status == 200) {
        if (m_lastDataMs == 0)
            addSample(statistics().firstByteMs, now - m_sentMs);
        else
            addSample(statistics().interChunkMs, now - m_lastDataMs);
    }
    m_lastDataMs = now;
    if (m_status != 200 || m_group.kind != "model" || !m_isStreaming) {
        m_body.append(text);
        return;
    }
    std::uint64_t tokens = m_checker.addData(text);
    if (tokens > 0) {
        statistics().tokens += tokens;
        statistics().addCost(static_cast<double>(tokens), now - m_context.statistics.startMs);
    }
}

LoadCaller::ErrorBody LoadCaller::parseError(const std::string& body, int status)
{
    json value = json::parse(body, nullptr, false);
    ErrorBody result { .kind = "http_" + std::to_string(status), .runStatus = "none" };
    if (!value.is_object() || !value.contains("error") || !value["error"].is_object())
        return result;
    const json& error = value["error"];
    auto text = [&error](const char* field, const std::string& fallback) {
        auto found = error.find(field);
        return found != error.end() && found->is_string() ? found->get<std::string>() : fallback;
    };
    result.kind = text("kind", result.kind);
    result.runStatus = text("run_status", result.runStatus);
    result.requestId = text("request_id", "");
    if (auto found = error.find("retry_after_ms"); found != error.end() && found->is_number())
        result.retryAfterMs = found->get<double>();
    return result;
}

void LoadCaller::handleEnd(TransferOutcome outcome)
{
    m_isBusy = false;
    --m_context.activeRequests;
    if (outcome != TransferOutcome::Complete) {
        switchTarget();
        bool notSent = outcome == TransferOutcome::NotConnected;
        return endError({ .kind = std::string(outcomeName(outcome)), .runStatus = notSent ? "none" : "unknown" });
    }
    if (m_status != 200)
        return endError(parseError(m_body, m_status));
    if (!m_checker.streamError().empty() && m_isStreaming)
        return endError(parseError(m_checker.streamError(), m_status));
    endSuccess();
}

void LoadCaller::endSuccess()
{
    GroupStatistics& group = statistics();
    double now = monotonicMs();
    double sinceStartMs = now - m_context.statistics.startMs;
    if (m_group.kind == "model") {
        if (!m_isStreaming) {
            m_checker.checkBody(m_body);
            if (m_checker.isComplete()) {
                group.tokens += m_tokens;
                group.addCost(m_tokens, sinceStartMs);
            }
        }
        group.addCost(m_group.promptTokens / 4.0, sinceStartMs);
        group.wrong += m_checker.isWrong() ? 1 : 0;
        group.partial += m_checker.isComplete() ? 0 : 1;
    } else if (m_group.kind == "booking") {
        json response = json::parse(m_body, nullptr, false);
        bool isMatching = response.is_object() && response.value("booking", "") == m_booking;
        group.wrong += isMatching ? 0 : 1;
        if (!isMatching && m_context.statistics.events.size() < maxEvents)
            m_context.statistics.events.emplace_back(
                now, "wrong response to " + m_booking + ": " + m_body.substr(0, 300));
        recordBooking(isMatching ? "ok" : "wrong_answer", "ran", "");
        group.addCost(1, sinceStartMs);
    }
    ++group.completed;
    addSample(group.latencyMs, now - m_sentMs);
    finishRequest(m_group.thinkMs);
}

void LoadCaller::endError(const ErrorBody& error)
{
    double now = monotonicMs();
    ++statistics().errors[error.kind + "/" + error.runStatus];
    if (m_context.statistics.events.size() < maxEvents)
        m_context.statistics.events.emplace_back(now, m_group.targets[m_target] + " " + error.kind);
    if (error.runStatus == "not_run") {
        m_context.statistics.notRun.push_back(
            { .requestId = error.requestId, .marker = m_marker, .kind = error.kind, .receivedMs = now });
    }
    if (error.kind == "shutting_down" || error.kind == "not_ready")
        switchTarget();
    if (m_group.kind == "booking") {
        recordBooking(error.kind, error.runStatus, error.requestId);
        if (m_attempts <= m_group.retries && !m_context.isStopped) {
            switchTarget();
            m_isRetrying = true;
            m_afterPause = [this] { sendAttempt(); };
            m_pauseTimer.start(std::clamp(error.retryAfterMs, retryPauseMs, maximumPauseMs));
            return;
        }
    }
    finishRequest(std::clamp(std::max(error.retryAfterMs, m_group.thinkMs), minimumPauseMs, maximumPauseMs));
}

void LoadCaller::recordBooking(const std::string& outcome, const std::string& runStatus, const std::string& requestId)
{
    m_context.statistics.bookings.push_back({ .booking = m_booking,
        .target = m_group.targets[m_target],
        .outcome = outcome,
        .runStatus = runStatus,
        .requestId = requestId,
        .startMs = m_sentMs,
        .endMs = monotonicMs() });
}

void LoadCaller::finishRequest(double pauseMs)
{
    if (m_isDuplicateSender)
        return;
    if (m_onIdle)
        return m_onIdle();
    if (pauseMs <= 0)
        return sendNext();
    m_afterPause = [this] { sendNext(); };
    m_pauseTimer.start(pauseMs);
}

void LoadCaller::switchTarget() { m_target = (m_target + 1) % m_group.targets.size(); }

}
