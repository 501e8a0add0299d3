#include "tool/commands.h"

#include <csignal>
#include <iostream>
#include <string>
#include <vector>

int main(int argc, char** argv)
{
    using namespace Kumquatpick;
    // If a reader closes the pipe early (`| head`), the tool must not be killed in the middle of a request.
    std::signal(SIGPIPE, SIG_IGN);
    std::vector<std::string> arguments(argv + 1, argv + argc);
    ToolContext context { std::cin, std::cout, std::cerr, processEnvironment };
    return static_cast<int>(runTool(arguments, context));
}
