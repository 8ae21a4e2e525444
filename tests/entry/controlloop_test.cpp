#include "entry/controlloop.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <chrono>
#include <semaphore>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace apricotwing::entry {
namespace {

// Guards against a process that ends because one message was handled with an
// unexpected error.
TEST(ControlLoopTest, GoesOnAfterAnException) {
  ControlLoop Control;
  std::vector<std::string> Problems;
  Control.setErrorHandler(
      [&](const std::string &Problem) { Problems.push_back(Problem); });
  int Done = 0;
  Control.post(WorkKind::PeerReply,
               [] { throw std::runtime_error("unexpected"); });
  Control.post(WorkKind::PeerReply, [&] { ++Done; });
  Control.post(WorkKind::PeerReply, [&] { Control.stop(); });
  int Pumps = 0;
  Control.run(
      [&] {
        if (++Pumps == 1)
          throw std::out_of_range("pump");
      },
      Duration{5});
  EXPECT_EQ(Done, 1);
  ASSERT_GE(Problems.size(), 1U);
  EXPECT_EQ(Problems.front(), "unexpected");
}

/// A thread that adds work and then stays, as those of the servers do.
class PostingThread {
public:
  /// Returns once \p Count items of \p Kind were added, which append \p Name to
  /// \p Order.
  PostingThread(ControlLoop &Control, WorkKind Kind, int Count,
                const std::string &Name, std::vector<std::string> &Order)
      : Thread([&, this] {
          for (int Item = 0; Item < Count; ++Item)
            EXPECT_TRUE(Control.tryPost(
                Kind, [&Order, Name] { Order.push_back(Name); }));
          Posted.release();
          Ended.acquire();
        }) {
    Posted.acquire();
  }
  ~PostingThread() {
    Ended.release();
    Thread.join();
  }
  PostingThread(const PostingThread &) = delete;
  PostingThread &operator=(const PostingThread &) = delete;

private:
  std::binary_semaphore Posted{0};
  std::binary_semaphore Ended{0};
  std::thread Thread;
};

// Guards against callers that wait as long as another server has more work.
TEST(ControlLoopTest, ServesCallsInTheOrderOfTheirArrival) {
  ControlLoop Control;
  std::vector<std::string> Order;
  const PostingThread Callers(Control, WorkKind::CallerCall, 1, "caller",
                              Order);
  const PostingThread Peers(Control, WorkKind::PeerMessage, 20, "peer", Order);
  Control.drain();
  ASSERT_EQ(Order.size(), 21U);
  EXPECT_EQ(Order.front(), "caller");
}

// Guards against commits and orders that are held up by calls which cannot be
// answered without them.
TEST(ControlLoopTest, HandlesResultsOfOwnCallsBeforeNewCalls) {
  ControlLoop Control;
  std::vector<std::string> Order;
  const PostingThread Peers(Control, WorkKind::PeerMessage, 20, "peer", Order);
  Control.post(WorkKind::StoreResponse, [&] { Order.emplace_back("result"); });
  Control.drain();
  ASSERT_EQ(Order.size(), 21U);
  EXPECT_EQ(Order.front(), "result");
}

class MockYielder final : public ThreadYielder {
public:
  MOCK_METHOD(void, yield, (), (override));
};

// Guards against connections and outgoing calls that wait for the end of the
// control thread's time slice at each of their steps.
TEST(ControlLoopTest, LetsOtherThreadsRunAfterEachItemAndPump) {
  MockYielder Yielder;
  ControlLoop Control(Yielder);
  testing::MockFunction<void(const std::string &)> Step;
  const testing::InSequence Ordered;
  EXPECT_CALL(Step, Call("item"));
  EXPECT_CALL(Yielder, yield());
  EXPECT_CALL(Step, Call("last item"));
  EXPECT_CALL(Yielder, yield());
  EXPECT_CALL(Step, Call("pump"));
  EXPECT_CALL(Yielder, yield());
  Control.post(WorkKind::StoreResponse, [&] { Step.Call("item"); });
  Control.post(WorkKind::StoreResponse, [&] {
    Step.Call("last item");
    Control.stop();
  });
  Control.run([&] { Step.Call("pump"); }, Duration{5});
}

// Guards against a busy control thread that no figure shows.
TEST(ControlLoopTest, ProfilesWorkAndWaitsByKind) {
  constexpr std::chrono::milliseconds WorkTime{20};
  ControlLoop Control;
  Control.post(WorkKind::StoreResponse,
               [&] { std::this_thread::sleep_for(WorkTime); });
  ASSERT_TRUE(Control.tryPost(WorkKind::CallerCall, [&] { Control.stop(); }));
  Control.run([] {}, Duration{5});
  const LoopProfile Profile = Control.takeProfile();
  EXPECT_EQ(Profile.of(WorkKind::StoreResponse).Items, 1U);
  EXPECT_GE(Profile.of(WorkKind::StoreResponse).Busy, WorkTime);
  EXPECT_EQ(Profile.of(WorkKind::CallerCall).Items, 1U);
  EXPECT_GE(Profile.of(WorkKind::CallerCall).LongestQueue, WorkTime);
  EXPECT_GE(Profile.total().Busy, WorkTime);
  EXPECT_EQ(Control.takeProfile().total().Items, 0U);
}

} // namespace
} // namespace apricotwing::entry
