#pragma once

#include "ReferenceEventReader.h"
#include "router/SseSplitter.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// \file
/// \brief Compares what SseSplitter forwards of any bytes with what ReferenceEventReader.h finds in them.

namespace jasminestack::test {

inline constexpr std::string_view testExtensionField = "x-test-versions";

/// \brief What a caller was sent of an answer and the answers that resumed it.
struct ForwardedStream {
    std::string bytes;
    std::vector<EventViolation> violations; ///< Of each answer.
    std::vector<std::uint64_t> lastIds; ///< At the end of each answer.
    std::vector<std::pair<std::size_t, std::uint64_t>> positions; ///< Bytes forwarded and id, whenever the id changed.
};

/// \param pieceSizes Sizes of the received pieces, repeated until the end of an answer.
inline ForwardedStream forwardAnswers(
    const std::vector<std::string>& answers, std::uint64_t lastId, const std::vector<std::size_t>& pieceSizes)
{
    SseSplitter splitter({ .extensionField = testExtensionField }, lastId);
    ForwardedStream stream;
    for (const std::string& answer : answers) {
        if (!stream.violations.empty())
            splitter.resume();
        std::size_t pieces = 0;
        for (std::size_t offset = 0; offset < answer.size();) {
            // A copy, so that a use of an earlier piece is a use of freed memory.
            std::string piece = answer.substr(offset, pieceSizes[pieces++ % pieceSizes.size()]);
            offset += piece.size();
            std::uint64_t idBefore = splitter.lastId();
            stream.bytes += splitter.feed(piece);
            if (splitter.lastId() != idBefore)
                stream.positions.emplace_back(stream.bytes.size(), splitter.lastId());
        }
        splitter.endAnswer();
        stream.violations.push_back(splitter.violation());
        stream.lastIds.push_back(splitter.lastId());
    }
    return stream;
}

/// \brief Checks the answers of several endpoints to one request, each of which resumes the one before.
/// \param lastId Id of the last event that the caller has before.
/// \returns Which property the forwarded bytes lack, or nothing.
inline std::string findSplitterFault(
    const std::vector<std::string>& answers, std::uint64_t lastId, const std::vector<std::size_t>& pieceSizes)
{
    ForwardedStream stream = forwardAnswers(answers, lastId, pieceSizes);
    std::string bytes;
    std::vector<DispatchedEvent> events;
    std::uint64_t expectedId = lastId;
    for (std::size_t i = 0; i < answers.size(); ++i) {
        ReadAnswer answer = readAnswerByReference(
            answers[i], expectedId, !bytes.empty(), std::string(testExtensionField), maxEventBytes);
        bytes += answer.bytes;
        events.insert(events.end(), answer.events.begin(), answer.events.end());
        expectedId = answer.lastId;
        if (answer.isSound != (stream.violations[i] == EventViolation::None))
            return "violation of answer " + std::to_string(i) + " is " + std::string(toString(stream.violations[i]));
        if (stream.lastIds[i] != expectedId)
            return "last id after answer " + std::to_string(i);
    }
    if (readEventStream(stream.bytes) != events)
        return "events that the caller's parser finds";
    if (stream.bytes != bytes)
        return "forwarded bytes";
    for (auto [size, id] : stream.positions) {
        std::vector<DispatchedEvent> sent = readEventStream(std::string_view(stream.bytes).substr(0, size));
        if (sent.empty() || sent.back().id != std::to_string(id))
            return "last id that is no forwarded event's";
    }
    return {};
}

}
