/// \file
/// Seeds that a soak test plays.
#ifndef APRICOTWING_TESTS_EMULATOR_SOAKSEEDS_H
#define APRICOTWING_TESTS_EMULATOR_SOAKSEEDS_H

#include <cstdint>
#include <vector>

namespace apricotwing::emulator {

/// Returns the seeds 1 to \p LastSeed and \p Others, or those that the
/// environment variable APRICOTWING_SOAK_SEEDS=FIRST-LAST selects for a longer
/// run, and prints the latter. Throws std::runtime_error if it is malformed.
std::vector<std::uint64_t>
soakSeeds(std::uint64_t LastSeed,
          const std::vector<std::uint64_t> &Others = {});

} // namespace apricotwing::emulator

#endif
