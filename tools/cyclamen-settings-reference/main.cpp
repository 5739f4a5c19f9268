// Prints the reference table of the node settings for the operators' page.
#include "adapters/settings.hpp"

#include <iostream>

int main()
{
    std::cout << cyclamenhold::settings_reference();
}
