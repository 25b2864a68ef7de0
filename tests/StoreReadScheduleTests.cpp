#include "base/Random.h"
#include "routing/StoreReadSchedule.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

using namespace jasminestack;

namespace {

// Targets of the deployments: see the pages on the contact time, on configuration and on leaving endpoints.
constexpr Millis contactTime { 3'000 };
constexpr Millis applyTime { 2'000 };

constexpr Millis oneWay { 2 }; // From the daemon to the store or back.
constexpr Millis responseTimeout { 1'500 }; // After the hold of a call, in KeyedTopicReader.
constexpr Millis endOfHistory { 40'000 };

struct Silence {
    Millis from;
    Millis until;
};

/// \brief What happens to a store: silences, and times at which a record is appended.
struct History {
    std::vector<Silence> silences;
    std::vector<Millis> changes; ///< In order.
    std::vector<Silence> pauses; ///< Times at which the daemon is a follower and sends no calls.
    bool startsWithList { false };

    [[nodiscard]] bool isSilent(Millis time) const
    {
        return std::any_of(silences.begin(), silences.end(),
            [&](const Silence& item) { return item.from <= time && time < item.until; });
    }

    /// \returns Whether the store responded all the time from \p from to \p to.
    [[nodiscard]] bool isCalm(Millis from, Millis to) const
    {
        return std::none_of(
            silences.begin(), silences.end(), [&](const Silence& item) { return item.from < to && item.until > from; });
    }

    [[nodiscard]] std::string describe() const
    {
        std::ostringstream text;
        for (const Silence& item : silences)
            text << "silent " << item.from.count << "-" << item.until.count << " ";
        for (const Silence& item : pauses)
            text << "paused " << item.from.count << "-" << item.until.count << " ";
        for (Millis time : changes)
            text << "change " << time.count << " ";
        return text.str();
    }
};

/// \brief A daemon that follows the store of a history, in steps of one millisecond.
class Reader {
public:
    Reader(const History& history, const StoreReadTiming& timing)
        : m_history(history)
        , m_timing(timing)
    {
        resumeReads(m_schedule, m_timing, {}, false, {});
        m_listRequired = history.startsWithList;
    }

    /// \brief When each change was read; changes without an entry were not.
    std::vector<Millis> appliedAt;
    std::vector<Millis> readsCompletedAt;
    std::vector<std::optional<Millis>> graceStarts; ///< What expiryGraceStart() said of each change.
    unsigned calls { 0 };

    void run()
    {
        for (Millis now; now < endOfHistory; now += Millis { 1 })
            step(now);
    }

private:
    struct PendingCall {
        StoreCall call;
        std::size_t position; ///< Number of changes read before.
        bool hasArrived { false };
        std::optional<Millis> responseAt; ///< When the daemon receives the response.
        std::size_t responsePosition { 0 };
        bool isLost { false };
    };

    void step(Millis now)
    {
        for (const Silence& pause : m_history.pauses) {
            if (now == pause.from)
                pauseReads(m_schedule);
            else if (now == pause.until)
                resumeReads(m_schedule, m_timing, {}, false, now);
        }
        for (PendingCall& call : m_pending)
            stepStore(call, now);
        // Handling a call may add another one.
        for (std::size_t i = 0; i < m_pending.size(); ++i)
            stepDaemon(i, now);
        std::erase_if(m_pending, [](const PendingCall& call) { return call.call.number == 0; });
        if (m_schedule.nextCallAt && now >= *m_schedule.nextCallAt) {
            expirePendingCall(m_schedule);
            send(now);
        }
    }

    void send(Millis now)
    {
        StoreCall call = m_listRequired ? beginList(m_schedule, now) : beginRead(m_schedule, m_timing, now);
        m_pending.push_back({ .call = call, .position = appliedAt.size() });
        ++calls;
    }

    void stepStore(PendingCall& pending, Millis now)
    {
        if (pending.isLost || pending.responseAt || now < pending.call.sentAt + oneWay)
            return;
        if (!std::exchange(pending.hasArrived, true) && m_history.isSilent(now)) {
            pending.isLost = true;
            return;
        }
        auto end = static_cast<std::size_t>(
            std::upper_bound(m_history.changes.begin(), m_history.changes.end(), now) - m_history.changes.begin());
        if (end <= pending.position && now < pending.call.sentAt + oneWay + pending.call.hold)
            return;
        if (m_history.isSilent(now)) {
            pending.isLost = true;
            return;
        }
        pending.responseAt = now + oneWay;
        pending.responsePosition = end;
    }

    void stepDaemon(std::size_t index, Millis now)
    {
        PendingCall pending = m_pending[index];
        if (pending.responseAt && now >= *pending.responseAt) {
            m_pending[index].call = {};
            if (!settleCall(m_schedule, pending.call))
                return;
            m_listRequired = false;
            bool hasChanges = pending.responsePosition > appliedAt.size();
            while (appliedAt.size() < pending.responsePosition) {
                graceStarts.push_back(expiryGraceStart(m_schedule, { .contactTime = contactTime }, now));
                appliedAt.push_back(now);
            }
            readsCompletedAt.push_back(now);
            recordReadComplete(m_schedule, m_timing, hasChanges, now);
        } else if (now >= pending.call.sentAt + pending.call.hold + responseTimeout) {
            m_pending[index].call = {};
            static_cast<void>(recordLostCall(m_schedule, m_timing, pending.call, now));
        }
    }

    const History& m_history;
    StoreReadTiming m_timing;
    StoreReadSchedule m_schedule;
    std::vector<PendingCall> m_pending;
    bool m_listRequired { false };
};

Millis drawBelow(Random& random, std::int64_t limit)
{
    return { static_cast<std::int64_t>(random.uniformInteger(static_cast<std::uint64_t>(limit))) };
}

History drawHistory(Random& random, bool hasPauses)
{
    History history;
    history.startsWithList = random.uniformInteger(4) == 0;
    std::uint64_t silences = random.uniformInteger(4) + 1;
    Millis time = drawBelow(random, 4'000);
    for (std::uint64_t i = 0; i < silences; ++i) {
        Millis length = drawBelow(random, random.uniformInteger(2) == 0 ? 1'200 : 7'000) + Millis { 1 };
        if (random.uniformInteger(2) == 0)
            history.changes.push_back(time - drawBelow(random, 400));
        history.silences.push_back({ time, time + length });
        // Changes around the moment from which the daemon has to be up to date again, and at any other one.
        Millis contact = time + length + contactTime;
        for (std::uint64_t changes = random.uniformInteger(4); changes != 0; --changes)
            history.changes.push_back(contact - Millis { 2'500 } + drawBelow(random, 4'000));
        time = time + length + drawBelow(random, random.uniformInteger(2) == 0 ? 800 : 8'000) + Millis { 1 };
    }
    for (int pauses = hasPauses ? 3 : 0; pauses != 0; --pauses) {
        Millis from = (history.pauses.empty() ? Millis {} : history.pauses.back().until) + drawBelow(random, 6'000);
        history.pauses.push_back({ from + Millis { 1 }, from + Millis { 2 } + drawBelow(random, 2'500) });
    }
    std::sort(history.changes.begin(), history.changes.end());
    return history;
}

/// \returns The latest time by which a change of \p time may be in force: applyTime after it and contactTime after the
/// end of the last silence before.
Millis dueTime(const History& history, Millis time)
{
    Millis due = time + applyTime;
    for (bool isMoved = true; isMoved;) {
        isMoved = false;
        for (const Silence& silence : history.silences) {
            if (silence.from < due && silence.until + contactTime > due) {
                due = silence.until + contactTime;
                isMoved = true;
            }
        }
    }
    return due;
}

StoreReadTiming timingWithPause()
{
    StoreReadTiming timing = storeReadTiming(contactTime);
    timing.pauseAfterChanges = Millis { 100 };
    return timing;
}

/// \returns What is wrong with a reader of this history, or an empty text.
std::string violation(const History& history, const StoreReadTiming& timing)
{
    Reader reader(history, timing);
    reader.run();
    std::ostringstream text;
    for (std::size_t i = 0; i < history.changes.size(); ++i) {
        Millis due = dueTime(history, history.changes[i]);
        if (due >= endOfHistory)
            continue;
        if (i >= reader.appliedAt.size() || reader.appliedAt[i] > due) {
            text << "change of " << history.changes[i].count << " due at " << due.count << ", applied at "
                 << (i < reader.appliedAt.size() ? reader.appliedAt[i].count : -1) << "; ";
        } else if (reader.graceStarts[i] && *reader.graceStarts[i] + RegistrationExpiry {}.grace > due) {
            text << "deletion of " << history.changes[i].count << " due at " << due.count << ", kept until "
                 << (*reader.graceStarts[i] + RegistrationExpiry {}.grace).count << "; ";
        }
    }
    if (!history.pauses.empty())
        return text.str();
    for (const Silence& silence : history.silences) {
        Millis due = silence.until + contactTime;
        if (due >= endOfHistory || !history.isCalm(silence.until, due))
            continue;
        bool isRead = std::any_of(reader.readsCompletedAt.begin(), reader.readsCompletedAt.end(),
            [&](Millis time) { return time >= silence.until && time <= due; });
        if (!isRead)
            text << "no read from " << silence.until.count << " to " << due.count << "; ";
    }
    return text.str();
}

}

// Guards against requests that are handled by an older configuration, or sent to an engine that has left, because a
// read was lost in a silence of the store: whatever the moments, lengths and number of silences, all changes have to be
// in force in time.
TEST_CASE("after any history of silences all changes are in force in time", "[store][silence]")
{
    constexpr int histories = 4'000;
    Random random(37);
    for (int i = 0; i < histories; ++i) {
        History history = drawHistory(random, false);
        INFO(history.describe());
        REQUIRE(violation(history, timingWithPause()).empty());
    }
}

// Guards against a check that cannot fail: a poll of four seconds whose loss is noticed by its timeout alone has to be
// found in the same histories.
TEST_CASE("long polls that hide a silence for longer than the contact time are found", "[store][silence]")
{
    constexpr int histories = 300;
    Random random(37);
    StoreReadTiming timing = timingWithPause();
    timing.longPollTimeout = Millis { 4'000 };
    timing.overdueTimeout = responseTimeout;
    int violations = 0;
    for (int i = 0; i < histories; ++i)
        violations += violation(drawHistory(random, false), timing).empty() ? 0 : 1;
    CHECK(violations > histories / 20);
}

// Guards against the reviewed moment and all its neighbours: the long poll that follows a change is sent into a
// silence.
TEST_CASE("a poll that is lost in a short silence delays no change, at any moment", "[store][silence]")
{
    for (Millis start { 3'900 }; start < Millis { 6'200 }; start += Millis { 23 }) {
        for (Millis length : { Millis { 5 }, Millis { 200 }, Millis { 1'100 } }) {
            for (Millis after { 0 }; after <= Millis { 3'400 }; after += Millis { 170 }) {
                History history { .silences = { { start, start + length } },
                    .changes = { Millis { 4'000 }, start + length + after } };
                std::sort(history.changes.begin(), history.changes.end());
                INFO(history.describe());
                REQUIRE(violation(history, timingWithPause()).empty());
            }
        }
    }
}

// Guards against a lost poll that nobody notices because the daemon stopped to read the store, as a follower of other
// daemons, and began again before the poll's timeout.
TEST_CASE("a poll that is lost before a change of the daemon's role is sent again", "[store][silence]")
{
    constexpr int histories = 2'000;
    Random random(3701);
    for (int i = 0; i < histories; ++i) {
        History history = drawHistory(random, true);
        Reader reader(history, timingWithPause());
        reader.run();
        INFO(history.describe());
        // The last pause ends before 26 s, and the last silence before 40 s in all histories that are checked.
        Millis last = history.pauses.back().until;
        for (const Silence& silence : history.silences)
            last = std::max(last, silence.until);
        if (last + contactTime >= endOfHistory)
            continue;
        for (std::size_t change = 0; change < history.changes.size(); ++change) {
            Millis due = std::max(last + contactTime, history.changes[change] + applyTime);
            if (due < endOfHistory)
                REQUIRE((change < reader.appliedAt.size() && reader.appliedAt[change] <= due));
        }
    }
}

// Guards against a fleet without engines after an outage: registrations that expired in it are back within two seconds
// of its end, and are kept until then if the outage was noticed while it lasted.
TEST_CASE(
    "registrations that expired in a long outage are kept while their endpoints register again", "[store][silence]")
{
    StoreReadTiming timing = timingWithPause();
    constexpr Millis noticed { 3'000 }; // All calls before the outage have been noticed as lost by then.
    for (Millis length = noticed; length < Millis { 9'000 }; length += Millis { 97 }) {
        History history { .silences = { { Millis { 5'000 }, Millis { 5'000 } + length } },
            .changes = { Millis { 4'900 }, Millis { 7'000 } } };
        Reader reader(history, timing);
        reader.run();
        INFO(history.describe());
        Millis end = history.silences.front().until;
        REQUIRE(reader.appliedAt.size() == 2);
        REQUIRE(reader.graceStarts[1]);
        CHECK(*reader.graceStarts[1] >= end);
        CHECK(*reader.graceStarts[1] + RegistrationExpiry {}.grace <= end + contactTime);
    }
}

// Guards against calls without need: while the store responds, an idle daemon sends one call in each hold.
TEST_CASE("an idle daemon sends one read in each hold", "[store][silence]")
{
    History history;
    Reader reader(history, timingWithPause());
    reader.run();
    Millis hold = storeReadTiming(contactTime).longPollTimeout;
    CHECK(reader.calls <= static_cast<unsigned>(endOfHistory.count / hold.count) + 1);
}

// Guards against a hold that fits only one contact time.
TEST_CASE("hold and overdue time leave room for a repeated read within any contact time", "[store][silence]")
{
    for (Millis contact :
        { Millis { 1'000 }, Millis { 2'000 }, Millis { 3'000 }, Millis { 5'000 }, Millis { 60'000 } }) {
        StoreReadTiming timing = storeReadTiming(contact);
        CHECK(timing.longPollTimeout > Millis {});
        CHECK(timing.longPollTimeout + timing.overdueTimeout + timing.maxRetryDelay <= contact);
    }
}
