#pragma once

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

namespace jasminestack {

/// \returns The root of the source tree that holds the build folder of the running test binary.
inline std::filesystem::path sourceRoot()
{
    auto folder = std::filesystem::read_symlink("/proc/self/exe").parent_path();
    while (folder.has_relative_path() && !std::filesystem::exists(folder / "docs" / "design.md"))
        folder = folder.parent_path();
    return folder;
}

/// \returns The content of a file.
inline std::string readWholeFile(const std::filesystem::path& path)
{
    std::ifstream stream(path, std::ios::binary);
    return { std::istreambuf_iterator<char>(stream), {} };
}

}
