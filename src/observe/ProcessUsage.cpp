#include "observe/ProcessUsage.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <ctime>
#include <fcntl.h>
#include <span>
#include <unistd.h>

namespace jasminestack {

namespace {

    constexpr std::int64_t millisPerSecond = 1'000;
    constexpr std::int64_t nanosPerMilli = 1'000'000;

    // Removes the next word from text; empty at its end.
    std::string_view takeWord(std::string_view& text)
    {
        text.remove_prefix(std::min(text.find_first_not_of(' '), text.size()));
        std::string_view word = text.substr(0, text.find_first_of(" \n"));
        text.remove_prefix(word.size());
        return word;
    }

    std::optional<std::uint64_t> parseNumber(std::string_view word)
    {
        std::uint64_t number = 0;
        auto [end, error] = std::from_chars(word.data(), word.data() + word.size(), number);
        if (word.empty() || error != std::errc {} || end != word.data() + word.size())
            return std::nullopt;
        return number;
    }

    std::string_view readSmallFile(const char* path, std::span<char> buffer)
    {
        int file = open(path, O_RDONLY | O_CLOEXEC);
        if (file < 0)
            return {};
        ssize_t count = read(file, buffer.data(), buffer.size());
        close(file);
        return { buffer.data(), count > 0 ? static_cast<std::size_t>(count) : 0 };
    }

}

std::size_t systemMemoryBytes()
{
    long pages = sysconf(_SC_PHYS_PAGES);
    return pages > 0 ? static_cast<std::size_t>(pages) * static_cast<std::size_t>(sysconf(_SC_PAGESIZE)) : 0;
}

std::optional<std::uint64_t> parseStartTicks(std::string_view stat)
{
    // The second field is the program's name in parentheses, which may contain spaces and parentheses.
    std::size_t nameEnd = stat.rfind(')');
    if (nameEnd == std::string_view::npos)
        return std::nullopt;
    std::string_view rest = stat.substr(nameEnd + 1);
    constexpr int fieldsBefore = 19; // Of the start time, after the name.
    for (int i = 0; i < fieldsBefore; ++i)
        takeWord(rest);
    return parseNumber(takeWord(rest));
}

std::optional<Millis> processAge()
{
    std::array<char, 1'024> buffer;
    auto startTicks = parseStartTicks(readSmallFile("/proc/self/stat", buffer));
    long ticksPerSecond = sysconf(_SC_CLK_TCK);
    timespec sinceBoot {};
    if (!startTicks || ticksPerSecond <= 0 || clock_gettime(CLOCK_BOOTTIME, &sinceBoot) != 0)
        return std::nullopt;
    Millis now { sinceBoot.tv_sec * millisPerSecond + sinceBoot.tv_nsec / nanosPerMilli };
    Millis start { static_cast<std::int64_t>(*startTicks) * millisPerSecond / ticksPerSecond };
    return start <= now ? std::optional(now - start) : std::nullopt;
}

}
