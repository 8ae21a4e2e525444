/// \file
/// Runs a rapidcheck property with fixed seeds, or with those of RC_PARAMS.
#ifndef APRICOTWING_SUPPORT_FIXEDSEEDS_H
#define APRICOTWING_SUPPORT_FIXEDSEEDS_H

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <cstdint>
#include <cstdlib>
#include <iostream>

namespace apricotwing {

/// Checks \p Property \p Cases times for each of a fixed list of seeds. If the
/// environment variable RC_PARAMS is set, uses its parameters instead. A
/// failure ends the test.
template <typename Testable>
void checkWithFixedSeeds(const Testable &Property, int Cases) {
  if (std::getenv("RC_PARAMS") != nullptr) {
    rc::detail::checkGTest(Property);
    return;
  }
  for (const std::uint64_t Seed : {1, 2, 3, 4}) {
    rc::detail::TestParams Params;
    Params.seed = Seed;
    Params.maxSuccess = Cases;
    const rc::detail::TestResult Result =
        rc::detail::checkTestable(Property, rc::detail::TestMetadata(), Params);
    if (Result.template is<rc::detail::SuccessResult>())
      continue;
    rc::detail::printResultMessage(Result, std::cerr);
    FAIL() << "seed " << Seed;
  }
}

} // namespace apricotwing

#endif
