#include "daemon/boundedqueue.h"

#include <gtest/gtest.h>

#include <chrono>
#include <latch>
#include <string>
#include <thread>
#include <utility>

namespace apricotwing {
namespace {

constexpr std::chrono::milliseconds NoWait{0};

// Guards against work that waits as long as another thread has added more.
TEST(BoundedQueueTest, PassesItemsInTheOrderOfTheirArrivalFromAnyThread) {
  constexpr int ItemsOfBusyThread = 20;
  BoundedQueue<int> Queue(64);
  std::latch QuietHasAdded(1);
  std::latch BusyHasAdded(1);
  // Both threads stay until all items were added, as those of a server do.
  std::thread Quiet([&] {
    EXPECT_TRUE(Queue.push(0));
    QuietHasAdded.count_down();
    BusyHasAdded.wait();
  });
  std::thread Busy([&] {
    QuietHasAdded.wait();
    for (int Item = 1; Item <= ItemsOfBusyThread; ++Item)
      EXPECT_TRUE(Queue.push(int(Item)));
    BusyHasAdded.count_down();
  });
  Quiet.join();
  Busy.join();
  for (int Expected = 0; Expected <= ItemsOfBusyThread; ++Expected) {
    int Item = -1;
    ASSERT_TRUE(Queue.pop(Item, NoWait));
    EXPECT_EQ(Item, Expected);
  }
}

// Guards against memory that grows with the load, and a lost item.
TEST(BoundedQueueTest, RejectsItemsBeyondItsCapacityAndLeavesThem) {
  BoundedQueue<std::string> Queue(1);
  std::string Second = "second";
  EXPECT_TRUE(Queue.push("first"));
  EXPECT_FALSE(Queue.push(std::move(Second)));
  EXPECT_EQ(Second, "second"); // NOLINT(bugprone-use-after-move)
  EXPECT_EQ(Queue.size(), 1U);
}

// Guards against consumers that never end.
TEST(BoundedQueueTest, WakesConsumersOnceItIsClosed) {
  BoundedQueue<int> Queue(1);
  EXPECT_TRUE(Queue.push(1));
  Queue.close(2);
  EXPECT_FALSE(Queue.push(2));
  EXPECT_TRUE(Queue.isClosed());
  int Item = 0;
  constexpr std::chrono::minutes UntilWoken{1};
  for (int Taken = 0; Taken < 3; ++Taken)
    EXPECT_TRUE(Queue.pop(Item, UntilWoken));
  EXPECT_FALSE(Queue.pop(Item, NoWait));
}

} // namespace
} // namespace apricotwing
