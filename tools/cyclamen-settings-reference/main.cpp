// Prints the table of a node's settings, for the operators' page.
#include "adapters/settings.hpp"

#include <iostream>

int main()
{
    std::cout << cyclamenhold::settings_reference();
}
