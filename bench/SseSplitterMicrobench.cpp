#include "router/SseSplitter.h"

#include <benchmark/benchmark.h>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief Measures the time that SseSplitter needs for an event of a stream, by the size of the received pieces.

namespace {

using namespace jasminestack;

constexpr std::uint64_t eventCount = 2'000;

std::string makeEvent(std::uint64_t id)
{
    return "id: " + std::to_string(id) + "\ndata: {\"token\":\"word-" + std::to_string(id) + "\"}\n\n";
}

/// \param state Its range is the size of a piece in bytes; 0 is one event a piece.
void splitStream(benchmark::State& state)
{
    std::string stream;
    std::vector<std::size_t> pieceSizes;
    for (std::uint64_t id = 1; id <= eventCount; ++id) {
        std::string event = makeEvent(id);
        pieceSizes.push_back(event.size());
        stream += event;
    }
    if (auto pieceBytes = static_cast<std::size_t>(state.range(0)); pieceBytes != 0)
        pieceSizes.assign((stream.size() + pieceBytes - 1) / pieceBytes, pieceBytes);
    for (auto _ : state) {
        SseSplitter splitter(EventRules {});
        std::size_t forwardedBytes = 0;
        std::string_view rest = stream;
        for (std::size_t size : pieceSizes) {
            std::string_view piece = rest.substr(0, size);
            forwardedBytes += splitter.feed(piece).size();
            rest.remove_prefix(piece.size());
        }
        if (forwardedBytes != stream.size())
            state.SkipWithError("not all events were forwarded");
    }
    state.counters["per_event"] = benchmark::Counter(
        static_cast<double>(eventCount), benchmark::Counter::kIsIterationInvariantRate | benchmark::Counter::kInvert);
}

}

BENCHMARK(splitStream)->ArgName("piece_bytes")->Arg(0)->Arg(60)->Arg(4'096);
