#include "bw_control/bw_control.h"

#include <iostream>

int main(int ArgumentCount, char **Arguments) {
  const bw::control_program Program(
      {.Version = BW_VERSION, .Out = std::cout, .Error = std::cerr});
  return static_cast<int>(
      Program.run({Arguments + 1, Arguments + ArgumentCount}));
}
