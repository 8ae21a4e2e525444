#include "cli/commandline.h"
#include "cli/httptransport.h"

#include <cstdlib>
#include <iostream>
#include <thread>

namespace {

std::string variable(const char *Name) {
  const char *Value = std::getenv(Name);
  return Value ? Value : "";
}

void sleepFor(apricotwing::Duration Time) { std::this_thread::sleep_for(Time); }

} // namespace

int main(int Count, char **Arguments) {
  using namespace apricotwing;
  HttpTransport Network;
  const CommandLineContext Context{variable("APRICOTWING_SERVER"),
                                   variable("APRICOTWING_KEY"),
                                   Network,
                                   sleepFor,
                                   std::cin,
                                   std::cout,
                                   std::cerr};
  return static_cast<int>(
      runCommandLine({Arguments + 1, Arguments + Count}, Context));
}
