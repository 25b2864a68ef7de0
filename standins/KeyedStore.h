#pragma once

#include "StandinServer.h"

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <string>

namespace jasminestack::standins {

/// \brief The platform's metadata store with keyed topics: appends, held reads, lists of the newest records, expired
/// history, outages and lost answers.
class KeyedStore {
public:
    enum class Fault : std::uint8_t {
        None,
        Unavailable, ///< Answers 503 and does nothing.
        Reset, ///< Closes the connection and does nothing.
        LostAnswers, ///< Appends, and then closes the connection without an answer.
    };

    KeyedStore(event_base&, const std::string& address);

    [[nodiscard]] const std::string& address() const noexcept { return m_server.address(); }

    /// \brief Writes as the operator or an engine does; without a value the key is dropped.
    void put(const std::string& topic, const std::string& key, std::optional<std::string> value);

    /// \brief Drops all history; the newest record of each key stays.
    void compact(const std::string& topic);

    /// \brief Sets what goes wrong from now on; held reads end with it.
    void setFault(Fault fault);

    /// \returns Calls received so far, by path.
    [[nodiscard]] const std::map<std::string, unsigned>& calls() const noexcept { return m_calls; }

    /// \returns The newest value of a key.
    [[nodiscard]] std::optional<std::string> value(const std::string& topic, const std::string& key) const;

private:
    struct Record {
        std::string key;
        std::optional<std::string> value;
    };

    struct Topic {
        std::int64_t first { 0 }; ///< Offset of the oldest record that is kept.
        std::deque<Record> records;
        std::map<std::string, std::pair<std::int64_t, std::string>> newest; ///< Offset and value.

        [[nodiscard]] std::int64_t end() const { return first + static_cast<std::int64_t>(records.size()); }
    };

    struct LongPollRead {
        ExchangePointer exchange;
        std::string topic;
        std::int64_t from { 0 };
        double until { 0 };
    };

    void handle(const ExchangePointer&);
    void append(const ExchangePointer&);
    void read(const ExchangePointer&);
    void list(const ExchangePointer&);
    void fail(const ExchangePointer&) const;
    void answerRead(const LongPollRead&);
    void answerHeldReads();

    StandinServer m_server;
    Timer m_timer; ///< Ends held reads.
    std::map<std::string, Topic> m_topics;
    std::list<LongPollRead> m_held;
    std::map<std::string, unsigned> m_calls;
    Fault m_fault { Fault::None };
};

}
