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

// Writes the path of the library in the folder of the executable. Returns false if it can't be told.
bool writeLibraryPath(Path& path)
{
    Path executable;
    ssize_t executableSize = readlink("/proc/self/exe", executable, sizeof executable - 1);
    if (executableSize < 0)
        return false;
    executable[executableSize] = '\0';
    const char* name = std::strrchr(executable, '/');
    if (!name)
        return false;
    int folderSize = static_cast<int>(name + 1 - executable);
    int size = std::snprintf(path, sizeof path, "%.*s%s", folderSize, executable, JASMINESTACK_PROGRAM_LIBRARY);
    return size > 0 && static_cast<std::size_t>(size) < sizeof path;
}

// Returns the part of the path below the working directory, or null if it isn't below it.
const char* relativeToWorkingDirectory(const Path& path)
{
    Path folder;
    if (!getcwd(folder, sizeof folder))
        return nullptr;
    std::size_t size = std::strlen(folder);
    return std::strncmp(path, folder, size) == 0 && path[size] == '/' ? path + size + 1 : nullptr;
}

// The library is in the folder of the executable. A process that sees only a part of the file system, such as one with
// a private /tmp, may reach that folder through its working directory alone; one without /proc has RUNPATH.
void* loadProgram()
{
    constexpr int mode = RTLD_NOW | RTLD_GLOBAL;
    Path path;
    if (!writeLibraryPath(path))
        return dlopen(JASMINESTACK_PROGRAM_LIBRARY, mode);
    if (void* program = dlopen(path, mode))
        return program;
    const char* relative = relativeToWorkingDirectory(path);
    return relative && std::strchr(relative, '/') ? dlopen(relative, mode) : nullptr;
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
