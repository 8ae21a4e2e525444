/// \file
/// Gangs that need slow calls for advice, with faults of the advice service, on
/// the emulated platform.
#include "emulator/emulatedcell.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

namespace apricotwing::emulator {
namespace {

using namespace std::chrono_literals;
using jobs::JobView;

/// A cell of nine instances with an additional queue, on which each call for
/// advice takes over half a second.
class AdviceTest : public testing::Test {
protected:
  AdviceTest() : Cell(1, 9, 24) {
    publishQueue(2s);
    Cell.run(3s);
  }
  ~AdviceTest() override {
    for (const std::string &Violation : Cell.workers().violations())
      ADD_FAILURE() << Violation;
  }

  void publishQueue(Duration Validity) {
    std::vector<jobs::Queue> Queues = Cell.queues();
    std::erase_if(Queues, [](const auto &Each) { return Each.Name == "slow"; });
    jobs::Queue Slow = Queues.front();
    Slow.Name = "slow";
    Slow.PathPrefix = "/slow/";
    Slow.Advice = jobs::AdviceSettings{520, 7.4, Validity};
    Queues.push_back(Slow);
    Cell.putQueues(Queues, ++PolicyVersion);
  }

  /// Submits gangs at intervals of 1 to 4 s.
  std::vector<std::string> submitGangs(int Count) {
    std::vector<std::string> Ids;
    for (int Number = 0; Number < Count; ++Number) {
      Ids.push_back(Cell.submit("n4", stepOf(any(2, 6), 1s, true), "/slow/"));
      Cell.run(Duration(any(1000, 4000)));
    }
    return Ids;
  }

  /// Expects that all gangs have ended \p Limit after the last submission.
  void expectEnd(const std::vector<std::string> &Ids, Duration Limit) {
    Cell.run(Limit);
    for (const std::string &Id : Ids)
      Cell.read("n4", Id);
    Cell.run(300ms);
    for (const std::string &Id : Ids) {
      EXPECT_TRUE(Cell.jobs().at(Id).Accepted) << Id;
      EXPECT_EQ(Cell.jobs().at(Id).View, JobView::Completed) << Id;
    }
  }

  int any(int Low, int High) {
    return std::uniform_int_distribution<int>(Low, High)(Random);
  }

  std::int64_t PolicyVersion = 1;
  EmulatedCell Cell;
  std::mt19937_64 Random{1};
};

// Guards against gangs of which all calls for advice are made by the one
// instance whose calls fail.
TEST_F(AdviceTest, GangsEndWhileTheCallsOfOneInstanceFail) {
  Cell.adviceLink("n0").Fails = true;
  expectEnd(submitGangs(12), 20s);
}

TEST_F(AdviceTest, GangsEndWhileTheCallsOfTwoInstancesGetNoAnswer) {
  Cell.adviceLink("n0").Silent = true;
  Cell.adviceLink("n1").Silent = true;
  expectEnd(submitGangs(12), 30s);
}

// Guards against gangs that wait for ever because the only instance that gets
// answers is reserved for fast calls.
TEST_F(AdviceTest, GangsEndWhileOnlyTheLastInstanceGetsAnswers) {
  for (const std::string &Name : Cell.names())
    Cell.adviceLink(Name).Fails = Name != "n8";
  expectEnd(submitGangs(12), 30s);
}

TEST_F(AdviceTest, GangsEndAfterAllCallsHaveFailedForAWhile) {
  for (const std::string &Name : Cell.names())
    Cell.adviceLink(Name).Fails = true;
  const std::vector<std::string> Ids = submitGangs(6);
  for (const std::string &Name : Cell.names())
    Cell.adviceLink(Name).endFaults();
  expectEnd(Ids, 20s);
}

// Guards against a second call of an instance while the service still works on
// its first, which lets the answers to all later ones come too late.
TEST_F(AdviceTest, CallsDoNotQueueUpAtASlowService) {
  for (const std::string &Name : Cell.names())
    Cell.adviceLink(Name).Delay = 3500ms;
  for (int Number = 0; Number < 12; ++Number)
    Cell.submit("n4", stepOf(any(2, 6), 1s, true), "/slow/");
  const TimePoint Until = Cell.time().now() + 30s;
  int MostOpen = 0;
  while (Cell.time().now() < Until) {
    Cell.run(20ms);
    for (const std::string &Name : Cell.names())
      MostOpen = std::max(MostOpen, Cell.adviceLink(Name).Open);
  }
  EXPECT_EQ(MostOpen, 1);
}

// Guards against starts with tickets that have expired on the way, because
// their validity was counted from the arrival of the answer at the leader.
TEST_F(AdviceTest, TicketsDoNotExpireOnSlowLinks) {
  publishQueue(1500ms);
  Cell.run(1s);
  Cell.LinkDelay = 190ms;
  std::vector<std::string> Gangs;
  for (int Number = 0; Number < 400; ++Number) {
    // Drawn in this order on all processors: compilers differ in the order in
    // which they evaluate the arguments of a call.
    const Duration Estimate(any(500, 3000));
    const int Tasks = any(7, 20);
    Cell.submit("n4", stepOf(Tasks, Estimate));
    if (Number % 6 == 0)
      Gangs.push_back(
          Cell.submit("n4", stepOf(any(3, 10), 2s, true), "/slow/"));
    Cell.run(100ms);
  }
  Cell.run(40s);
  EXPECT_EQ(Cell.workers().ticketRefusals(), 0);
  Cell.LinkDelay = 0ms;
  expectEnd(Gangs, 20s);
}

} // namespace
} // namespace apricotwing::emulator
