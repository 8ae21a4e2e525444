#include "core/requestworld.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>
#include <rapidcheck/state.h>

#include <cstdlib>
#include <iostream>

namespace apricotwing {
namespace {

struct EmptyModel {};

class RandomAction : public rc::state::Command<EmptyModel, RequestWorld> {
public:
  RandomAction()
      : Kind(*rc::gen::weightedElement<WorldAction>({
            {20, WorldAction::Submit},
            {6, WorldAction::Tick},
            {2, WorldAction::Pause},
            {3, WorldAction::Authority},
            {14, WorldAction::Begin},
            {8, WorldAction::Answer},
            {4, WorldAction::Lose},
            {2, WorldAction::Repeat},
            {3, WorldAction::Fault},
            {1, WorldAction::Leave},
            {3, WorldAction::ReadList},
            {6, WorldAction::Grant},
            {2, WorldAction::Reclaim},
            {1, WorldAction::Limit},
            {1, WorldAction::ReadConfig},
        })),
        A(*rc::gen::inRange(0U, 1000U)), B(*rc::gen::inRange(0U, 1000U)),
        C(*rc::gen::inRange(0U, 1000U)) {}

  void run(const EmptyModel &, RequestWorld &World) const override {
    World.perform(Kind, A, B, C);
  }

  void show(std::ostream &Out) const override {
    Out << "action " << int(Kind) << " (" << A << ", " << B << ", " << C << ")";
  }

private:
  const WorldAction Kind;
  const unsigned A;
  const unsigned B;
  const unsigned C;
};

void randomWalk() {
  RequestWorld World;
  rc::state::check(EmptyModel(), World,
                   rc::state::gen::execOneOfWithArgs<RandomAction>());
  World.finish();
}

// Checks the invariants I1, I2 and I4 to I8 of the design under random
// sequences of late, lost and repeated reports, failing and leaving executors,
// paused routers, lost authority, and changes of limits and grants.
TEST(RequestRouterFuzzTest, KeepsInvariantsOnRandomWalks) {
  if (std::getenv("RC_PARAMS") != nullptr) {
    rc::detail::checkGTest(randomWalk);
    return;
  }
  for (const std::uint64_t Seed : {11, 12, 13, 14, 15}) {
    rc::detail::TestParams Params;
    Params.seed = Seed;
    Params.maxSuccess = 200;
    Params.maxSize = 400;
    const rc::detail::TestResult Result = rc::detail::checkTestable(
        randomWalk, rc::detail::TestMetadata(), Params);
    if (Result.is<rc::detail::SuccessResult>())
      continue;
    rc::detail::printResultMessage(Result, std::cerr);
    FAIL() << "seed " << Seed;
  }
}

} // namespace
} // namespace apricotwing
