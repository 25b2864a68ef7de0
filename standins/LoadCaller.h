#pragma once

#include "LoadConnection.h"
#include "LoadScenario.h"
#include "LoadStatistics.h"
#include "ResponseChecker.h"

#include <functional>
#include <memory>
#include <string>

namespace jasminestack::standins {

/// \brief State that all callers share.
struct LoadContext {
    event_base& base;
    Random random;
    LoadStatistics statistics;
    bool isStopped { false }; ///< No new requests are sent.
    std::size_t activeRequests { 0 }; ///< Requests in flight.
};

/// \brief One caller with one connection. In a closed loop it sends its next request when the previous one has ended.
class LoadCaller {
public:
    LoadCaller(LoadContext&, const CallerGroup&, std::size_t groupIndex, std::size_t firstTarget);

    /// \brief Sends the next request, or does nothing if the load has stopped.
    void sendNext();
    /// \brief Sends the given booking, with retries.
    void sendBooking(const std::string& booking, const std::string& key);

    /// \returns Whether a request waits for its response or its next retry.
    [[nodiscard]] bool isBusy() const noexcept { return m_isBusy || m_isRetrying; }
    /// \brief Sets the function that is called, instead of sendNext(), when a request and its retries have
    /// ended.
    void onIdle(std::function<void()> function) { m_onIdle = std::move(function); }

private:
    struct ErrorBody {
        std::string kind;
        std::string runStatus;
        std::string requestId;
        double retryAfterMs { 0 };
    };

    void sendModel();
    void sendGet();
    void startBooking();
    void sendAttempt();
    void transmit(
        const std::string& method, const std::string& path, const std::string& headers, const std::string& body);
    void handleHead(int status);
    void handleData(std::string_view);
    void handleEnd(TransferOutcome);
    void endSuccess();
    void endError(const ErrorBody&);
    void recordBooking(const std::string& outcome, const std::string& runStatus, const std::string& requestId);
    void finishRequest(double pauseMs);
    void switchTarget();
    [[nodiscard]] std::string makePrompt();
    [[nodiscard]] std::string hintHeader(double cost);
    [[nodiscard]] static ErrorBody parseError(const std::string& body, int status);
    [[nodiscard]] GroupStatistics& statistics() { return m_context.statistics.groups[m_groupIndex]; }

    LoadContext& m_context;
    const CallerGroup& m_group;
    std::size_t m_groupIndex;
    std::size_t m_target;
    LoadConnection m_connection;
    Timer m_pauseTimer;
    std::function<void()> m_onIdle;
    std::function<void()> m_afterPause;
    std::unique_ptr<LoadCaller>
        m_duplicateSender; ///< Sends duplicates of bookings at the same time through another target.
    ResponseChecker m_checker;
    bool m_isBusy { false };
    bool m_isRetrying { false };
    std::string m_marker;
    unsigned m_tokens { 0 };
    bool m_isStreaming { false };
    int m_status { 0 };
    std::string m_body;
    double m_sentMs { 0 };
    double m_lastDataMs { 0 };
    std::string m_booking;
    std::string m_key;
    unsigned m_attempts { 0 };
    bool m_isDuplicateSender { false };
};

}
