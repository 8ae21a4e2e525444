#include "daemon/boundedqueue.h"

#include <gtest/gtest.h>

#include <chrono>
#include <latch>
#include <string>
#include <thread>
#include <utility>
#include <vector>

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

// Guards against consumers that wait on after the end: with an hour, the test
// does not end.
TEST(BoundedQueueTest, EndsTheWaitsOfAllConsumersOnceItIsClosed) {
  constexpr std::chrono::hours UntilClosed{1};
  constexpr std::size_t ConsumerCount = 4;
  BoundedQueue<int> Queue(1);
  std::vector<std::thread> Consumers;
  Consumers.reserve(ConsumerCount);
  while (Consumers.size() < ConsumerCount)
    Consumers.emplace_back([&] {
      int Item = 0;
      while (Queue.pop(Item, UntilClosed) || !Queue.isClosed())
        ;
    });
  EXPECT_TRUE(Queue.push(1));
  Queue.close();
  EXPECT_FALSE(Queue.push(2));
  for (std::thread &Consumer : Consumers)
    Consumer.join();
  EXPECT_EQ(Queue.size(), 0U);
}

} // namespace
} // namespace apricotwing
