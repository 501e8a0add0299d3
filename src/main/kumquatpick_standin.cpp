#include "standin/roles.h"

#include <vector>

int main(int argc, char** argv)
{
    std::vector<std::string> arguments(argv + 1, argv + argc);
    return Kumquatpick::runRole(arguments);
}
