#include "config/SettingsFile.h"

#include <fstream>
#include <iterator>

namespace jasminestack {

std::optional<std::string> readFile(const std::string& path)
{
    std::ifstream stream(path, std::ios::binary);
    if (!stream)
        return std::nullopt;
    std::string text { std::istreambuf_iterator<char>(stream), {} };
    if (stream.bad())
        return std::nullopt;
    return text;
}

}
