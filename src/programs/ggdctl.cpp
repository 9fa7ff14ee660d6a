// The operators' command. See docs/operators/templates.md.
#include <greengagedrum/ctl/command.hpp>

#include <iostream>
#include <string>
#include <vector>

int main(int argc, char** argv)
{
    namespace ctl = greengagedrum::ctl;
    const std::vector<std::string> given(argv + 1, argv + argc);
    const ctl::output to{std::cout, std::cerr};
    return static_cast<int>(ctl::run(given, to));
}
