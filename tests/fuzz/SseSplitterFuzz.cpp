#include "SseSplitterProperties.h"

#include <cstdio>
#include <cstdlib>

using namespace jasminestack::test;

/// \file
/// \brief Fuzzing target for SseSplitter: the first byte chooses the start position and the size of pieces, the byte
/// 0xff divides the rest into at most three answers.

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    if (size == 0)
        return 0;
    constexpr std::uint64_t lastIds[] = { 0, 1, 5, UINT64_MAX - 1 };
    std::uint64_t lastId = lastIds[data[0] % 4];
    std::size_t pieceBytes = data[0] / 4 + 1;
    std::vector<std::string> answers(1);
    for (std::size_t i = 1; i < size; ++i) {
        if (data[i] == 0xff && answers.size() < 3)
            answers.emplace_back();
        else
            answers.back() += static_cast<char>(data[i]);
    }
    for (std::size_t piece : { std::size_t { 1 }, pieceBytes, size }) {
        std::string fault = findSplitterFault(answers, lastId, { piece });
        if (!fault.empty()) {
            std::fprintf(stderr, "pieces of %zu bytes: %s\n", piece, fault.c_str());
            std::abort();
        }
    }
    return 0;
}
