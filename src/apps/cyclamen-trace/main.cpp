#include "trace.hpp"

#include <iostream>

int main(int argc, char** argv)
{
    const std::vector<std::string> words(argv + 1, argv + argc);
    return static_cast<int>(
        cyclamenhold::run_trace(words, std::cout, std::cerr));
}
