#include "soak/runhistory.h"

#include <gtest/gtest.h>

namespace apricotwing::soak {
namespace {

/// Two runs of a task on two workers. All happens within one millisecond, as
/// only the order counts.
class RunHistoryTest : public testing::Test {
protected:
  std::size_t start(std::int64_t Run) {
    return History.start("job.0.0.0", Run, "worker-" + std::to_string(Run), 1,
                         Delivery::Direct, 5);
  }
  void end(std::size_t Record, const char *Kind) {
    History.end(Record, Kind, 5);
  }
  std::size_t cases() const { return History.repeatedTasks().size(); }

  RunHistory History;
};

TEST_F(RunHistoryTest, FindsTwoRunsAtOnce) {
  const std::size_t First = start(1);
  start(2);
  end(First, "lapsed");
  ASSERT_EQ(cases(), 1U);
  EXPECT_EQ(History.repeatedTasks().front().Reason, "two runs at once");
}

TEST_F(RunHistoryTest, AllowsARunAfterOneThatWasNotDone) {
  const std::size_t First = start(1);
  end(First, "crashed");
  History.acknowledge(First);
  start(2);
  EXPECT_EQ(cases(), 0U);
}

TEST_F(RunHistoryTest, FindsAStartAfterADoneEndThatIsNotedBefore) {
  const std::size_t First = start(1);
  end(First, "done");
  History.acknowledge(First);
  start(2);
  ASSERT_EQ(cases(), 1U);
  EXPECT_EQ(History.repeatedTasks().front().Reason, "done before");
}

TEST_F(RunHistoryTest, FindsAStartAfterADoneEndThatIsNotedLater) {
  const std::size_t First = start(1);
  end(First, "done");
  start(2);
  EXPECT_EQ(cases(), 0U);
  History.acknowledge(First);
  EXPECT_EQ(cases(), 1U);
}

TEST_F(RunHistoryTest, AnEndIsNotNotedOnceTheLeaseHasLapsed) {
  const std::size_t First = start(1);
  end(First, "done");
  History.lapse(First);
  History.acknowledge(First);
  start(2);
  EXPECT_EQ(cases(), 0U);
}

TEST_F(RunHistoryTest, ANotedEndStaysSoWhenTheLeaseLapses) {
  const std::size_t First = start(1);
  end(First, "done");
  History.acknowledge(First);
  History.lapse(First);
  start(2);
  EXPECT_EQ(cases(), 1U);
}

TEST_F(RunHistoryTest, TellsTasksApart) {
  start(1);
  History.start("job.0.0.1", 1, "worker-2", 1, Delivery::Direct, 5);
  EXPECT_EQ(cases(), 0U);
}

} // namespace
} // namespace apricotwing::soak
