#pragma once

#include "LoadConnection.h"
#include "LoadScenario.h"
#include "LoadStatistics.h"
#include "ResponseChecker.h"

#include <functional>
#include <memory>
#include <string>

namespace jasminestack::standins {

/// \brief What all callers share.
struct LoadContext {
    event_base& base;
    Random random;
    LoadStatistics statistics;
    bool stopped { false }; ///< No new requests are sent.
    std::size_t active { 0 }; ///< Requests in progress.
};

/// \brief One caller with one connection. In a closed loop it sends its next request when the last one has ended.
class LoadCaller {
public:
    LoadCaller(LoadContext&, const CallerGroup&, std::size_t groupIndex, std::size_t firstTarget);

    /// \brief Sends the next request, or does nothing if the load has stopped.
    void next();
    /// \brief Sends one given booking and nothing after it.
    void sendBooking(const std::string& booking, const std::string& key);

    /// \returns Whether a request waits for its answer or for its resend.
    [[nodiscard]] bool busy() const noexcept { return m_busy || m_resending; }
    /// \brief Sets the function that is called when a request and its resends have ended, in place of next().
    void onIdle(std::function<void()> function) { m_onIdle = std::move(function); }

private:
    struct ErrorBody {
        std::string kind;
        std::string runStatus;
        std::string request;
        double retryAfterMs { 0 };
    };

    void sendModel();
    void sendGet();
    void startBooking();
    void sendAttempt();
    void transmit(
        const std::string& method, const std::string& path, const std::string& headers, const std::string& body);
    void head(int status);
    void data(std::string_view);
    void end(TransferOutcome);
    void endSuccess();
    void endError(const ErrorBody&);
    void recordBooking(const std::string& outcome, const std::string& runStatus, const std::string& request);
    void done(double pauseMs);
    void rotate();
    [[nodiscard]] std::string prompt();
    [[nodiscard]] std::string hintHeader(double cost);
    [[nodiscard]] static ErrorBody parseError(const std::string& body, int status);
    [[nodiscard]] GroupStatistics& statistics() { return m_context.statistics.groups[m_groupIndex]; }

    LoadContext& m_context;
    const CallerGroup& m_group;
    std::size_t m_groupIndex;
    std::size_t m_target;
    LoadConnection m_connection;
    Timer m_pause;
    std::function<void()> m_onIdle;
    std::function<void()> m_afterPause;
    std::unique_ptr<LoadCaller> m_follower; ///< Sends duplicates of bookings.
    ResponseChecker m_check;
    bool m_busy { false };
    bool m_resending { false };
    std::string m_marker;
    unsigned m_tokens { 0 };
    bool m_streaming { false };
    int m_status { 0 };
    std::string m_body;
    double m_sentAt { 0 };
    double m_lastAt { 0 };
    std::string m_booking;
    std::string m_key;
    unsigned m_attempts { 0 };
    bool m_followsOther { false };
};

}
