#include "kumquatbank/ctl/ctl.h"

#include <iostream>

int main(int argc, char** argv)
{
    return static_cast<int>(kumquatbank::runCommandLine(argc, argv, std::cout, std::cerr));
}
