#include "soakseeds.h"

#include <cstdio>
#include <cstdlib>
#include <stdexcept>

namespace apricotwing::emulator {

std::vector<std::uint64_t> soakSeeds(std::uint64_t LastSeed,
                                     const std::vector<std::uint64_t> &Others) {
  unsigned long long First = 1;
  unsigned long long Last = LastSeed;
  const char *Range = std::getenv("APRICOTWING_SOAK_SEEDS");
  if (Range != nullptr) {
    if (std::sscanf(Range, "%llu-%llu", &First, &Last) != 2 || Last < First)
      throw std::runtime_error("APRICOTWING_SOAK_SEEDS must be FIRST-LAST");
    std::printf("seeds %llu to %llu\n", First, Last);
  }
  std::vector<std::uint64_t> Seeds;
  for (unsigned long long Seed = First; Seed <= Last; ++Seed)
    Seeds.push_back(Seed);
  if (Range == nullptr)
    Seeds.insert(Seeds.end(), Others.begin(), Others.end());
  return Seeds;
}

} // namespace apricotwing::emulator
