#include "entry/controlloop.h"

#include <gtest/gtest.h>

#include <chrono>
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
