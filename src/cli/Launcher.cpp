#include "cli/Launcher.h"
#include "base/LifecycleSignals.h"

#include <climits>
#include <cstdio>
#include <cstring>
#include <dlfcn.h>
#include <unistd.h>

// The executable. It holds the lifecycle signals and then loads the program from the shared library in its own folder,
// since a program that is linked against its libraries spends most of the time until main() in the dynamic loader,
// where these signals end the process. Only the C library may be used here: any other library would be loaded before
// main().

namespace {

constexpr int failure = 1;

using Path = char[PATH_MAX];

// Writes the path of the library as seen from the working directory. Returns false if the executable isn't below it.
bool writeRelativeLibraryPath(Path& path)
{
    Path executable;
    ssize_t executableSize = readlink("/proc/self/exe", executable, sizeof executable - 1);
    if (executableSize < 0 || !getcwd(path, sizeof path))
        return false;
    executable[executableSize] = '\0';
    std::size_t folderSize = std::strlen(path);
    if (std::strncmp(executable, path, folderSize) != 0 || executable[folderSize] != '/')
        return false;
    const char* relative = executable + folderSize + 1;
    const char* name = std::strrchr(executable, '/') + 1;
    int size = std::snprintf(
        path, sizeof path, "./%.*s%s", static_cast<int>(name - relative), relative, JASMINESTACK_PROGRAM_LIBRARY);
    return size > 0 && static_cast<std::size_t>(size) < sizeof path;
}

// The library is found in the executable's folder (RUNPATH). A process that sees only a part of the file system, such
// as one with a private /tmp, may reach that folder through its working directory alone.
void* loadProgram()
{
    constexpr int mode = RTLD_NOW | RTLD_GLOBAL;
    void* program = dlopen(JASMINESTACK_PROGRAM_LIBRARY, mode);
    Path path;
    if (!program && writeRelativeLibraryPath(path))
        program = dlopen(path, mode);
    return program;
}

}

int main(int argumentCount, char** arguments)
{
    sigset_t originalMask;
    jasminestack::blockLifecycleSignals(originalMask);
    void* program = loadProgram();
    void* entry = program ? dlsym(program, jasminestack::programEntryName) : nullptr;
    if (!entry) {
        std::fprintf(stderr, "jasminestack: cannot load the program: %s\n", dlerror());
        return failure;
    }
    return reinterpret_cast<jasminestack::ProgramEntry*>(entry)(argumentCount, arguments, &originalMask);
}
