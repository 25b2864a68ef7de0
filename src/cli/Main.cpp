#include "cli/Cli.h"

int main(int argumentCount, char** arguments) { return jasminestack::runCommandLine(argumentCount, arguments); }
