#pragma once

#include "StandinServer.h"

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jasminestack::standins {

/// \brief Stand-in of the platform's metadata store with keyed topics: appends, long-poll reads, listing of the newest
/// records, expired history, outages and lost responses.
class KeyedStore {
public:
    enum class Fault : std::uint8_t {
        None,
        Unavailable, ///< Responds with 503 and does nothing else.
        Reset, ///< Closes the connection and does nothing else.
        Silent, ///< Never responds to requests received meanwhile; earlier reads are answered afterwards.
        LostAnswers, ///< Appends the record, then closes the connection without a response.
    };

    KeyedStore(event_base&, const std::string& address);

    [[nodiscard]] const std::string& address() const noexcept { return m_server.address(); }

    /// \brief Appends a record as an operator or an engine would; without a value the key is deleted.
    void put(const std::string& topic, const std::string& key, std::optional<std::string> value);

    /// \brief Expires all records; the newest value of each key can still be listed.
    void compact(const std::string& topic);

    /// \brief Keeps a copy of all topics for returnFromCopy().
    void takeCopy() { m_copy = m_topics; }

    /// \brief Forgets everything written since takeCopy(), and raises the era. Reads that wait are answered with 410 if
    /// the copy does not have their offset.
    void returnFromCopy();

    /// \brief Applies \p fault to all later requests; Unavailable and Reset also end the waiting reads.
    void setFault(Fault fault);

    /// \brief Delays the responses to later reads.
    void setReadDelay(double delayMs) { m_readDelayMs = delayMs; }

    /// \returns Number of requests received, by path.
    [[nodiscard]] const std::map<std::string, unsigned>& calls() const noexcept { return m_callsByPath; }

    /// \returns Number of long polls that are pending.
    [[nodiscard]] std::size_t waitingReads() const noexcept { return m_waitingReads.size(); }

    /// \returns The newest value of the key, if it has one.
    [[nodiscard]] std::optional<std::string> value(const std::string& topic, const std::string& key) const;

private:
    struct Record {
        std::string key;
        std::optional<std::string> value;
    };

    struct Topic {
        std::int64_t firstOffset { 0 }; ///< Offset of the oldest retained record.
        std::deque<Record> records;
        std::map<std::string, std::pair<std::int64_t, std::string>> newest; ///< Offset and value.

        [[nodiscard]] std::int64_t endOffset() const { return firstOffset + static_cast<std::int64_t>(records.size()); }
    };

    struct LongPollRead {
        ExchangePointer exchange;
        std::string topic;
        std::int64_t from { 0 }; ///< Offset of the first record to return.
        double earliestMs { 0 }; ///< Monotonic clock; the read returns no sooner.
        double deadlineMs { 0 }; ///< Monotonic clock; the read then returns without records.
    };

    void handle(const ExchangePointer&);
    void respond(
        const ExchangePointer&, int status, std::string_view body, const char* contentType = "application/json") const;
    void append(const ExchangePointer&);
    void read(const ExchangePointer&);
    void listNewest(const ExchangePointer&);
    void respondWithFault(const ExchangePointer&) const;
    void respondToRead(const LongPollRead&);
    void respondToWaitingReads();

    StandinServer m_server;
    Timer m_timer; ///< Checks the waiting reads.
    std::map<std::string, Topic> m_topics;
    std::map<std::string, Topic> m_copy;
    std::int64_t m_era { 1 }; ///< Sent in all responses.
    std::list<LongPollRead> m_waitingReads;
    std::vector<ExchangePointer> m_unansweredRequests; ///< Received while the store was silent.
    double m_readDelayMs { 0 };
    std::map<std::string, unsigned> m_callsByPath;
    Fault m_fault { Fault::None };
};

}
