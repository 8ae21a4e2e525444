/// \file
/// Takeovers by instances that read the store over a narrow link.
#include "emulator/emulatedcell.h"

#include <gtest/gtest.h>

#include <string>

namespace apricotwing::emulator {
namespace {

using namespace std::chrono_literals;

/// A cell with active jobs whose stored state takes several seconds to read.
class NarrowLinkTest : public testing::Test {
protected:
  static constexpr int JobCount = 300;
  static constexpr std::size_t PayloadBytes = 4000;

  NarrowLinkTest() : Cell(1, 3, 40) {
    Cell.run(2s);
    for (int Number = 0; Number < JobCount; ++Number) {
      Cell.submit("n0", stepOf(1, 60s), "/batch/",
                  std::string(PayloadBytes, 'x'));
      Cell.run(10ms);
    }
    Cell.run(1s);
    for (const auto &[Id, Job] : Cell.jobs())
      EXPECT_TRUE(Job.Accepted) << Id;
  }
  ~NarrowLinkTest() override {
    for (const std::string &Violation : Cell.workers().violations())
      ADD_FAILURE() << Violation;
  }

  /// Ends the leader and submits a job at another instance until it is
  /// accepted; returns whether it was within \p Limit.
  bool acceptsJobsAfterATakeover(Duration Limit) {
    const std::string Old = Cell.leader();
    Cell.kill(Old);
    const std::string Other = Old == "n0" ? "n1" : "n0";
    const TimePoint End = Cell.time().now() + Limit;
    const std::string Id = Cell.submit(Other, stepOf(1, 1s));
    while (!Cell.jobs().at(Id).Accepted && Cell.time().now() < End) {
      Cell.run(1s);
      if (!Cell.jobs().at(Id).Accepted)
        Cell.submitAgain(Other, Id);
    }
    return Cell.jobs().at(Id).Accepted;
  }

  EmulatedCell Cell;
};

// Guards against leaders that ask for the same page without end.
TEST_F(NarrowLinkTest, ANewLeaderLoadsPagesThatTakeLongerThanACall) {
  Cell.store().BytesPerMs = 500;
  EXPECT_TRUE(acceptsJobsAfterATakeover(15s));
}

// The same for a link on which a page takes many times as long.
TEST_F(NarrowLinkTest, ANewLeaderLoadsItsStateOverAVeryNarrowLink) {
  Cell.store().BytesPerMs = 150;
  EXPECT_TRUE(acceptsJobsAfterATakeover(30s));
}

} // namespace
} // namespace apricotwing::emulator
