#include "emulator/emulatedcell.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <vector>

namespace apricotwing::emulator {
namespace {

using namespace std::chrono_literals;
using cell::ClientStatus;

/// Calls at one instance while its store is away and no call is answered.
class CallLimitsTest : public testing::Test {
protected:
  CallLimitsTest() : Cell(1, 1) {
    Cell.run(5s);
    Cell.node("n0").setCallLimits({3, 20'000});
    Cell.store().Down = true;
    // Calls are sent to the leader and not answered, as its lease is over.
    Cell.run(1500ms);
  }

  /// Makes a call and returns its number.
  std::size_t call(Duration Deadline, std::size_t PayloadBytes = 0) {
    cell::ClientCall Call;
    Call.Verb =
        PayloadBytes > 0 ? cell::ClientVerb::Submit : cell::ClientVerb::Read;
    const std::size_t Number = Answers.size();
    Call.Host = Cell.queues().front().Host;
    Call.Path = Cell.queues().front().PathPrefix + "000000000000000" +
                std::to_string(Number);
    Call.Key = "key";
    Call.Deadline = Deadline;
    if (PayloadBytes > 0) {
      Call.Job.emplace();
      Call.Job->Payload = std::string(PayloadBytes, 'p');
      Call.Job->Steps.resize(1);
    }
    Answers.emplace_back();
    Cell.node("n0").serve(std::move(Call),
                          [this, Number](const cell::ClientAnswer &Answer) {
                            Answers[Number] = Answer;
                          });
    Cell.run(20ms);
    return Number;
  }

  EmulatedCell Cell;
  std::vector<std::optional<cell::ClientAnswer>> Answers;
};

// Guards against callers that wait for long and leave no room for ordinary
// ones.
TEST_F(CallLimitsTest, AnswersTheCallThatWouldWaitLongest) {
  call(10s);
  const std::size_t Longest = call(60s);
  call(20s);
  const std::size_t Ordinary = call(3s);
  ASSERT_TRUE(Answers[Longest]);
  EXPECT_EQ(Answers[Longest]->Status, ClientStatus::Unavailable);
  EXPECT_GE(Answers[Longest]->RetryAfter, 1s);
  EXPECT_FALSE(Answers[Ordinary]);
  const std::size_t Late = call(60s);
  ASSERT_TRUE(Answers[Late]);
  EXPECT_EQ(Answers[Late]->Status, ClientStatus::Unavailable);
  EXPECT_EQ(Cell.node("n0").router().callsOverLimit(), 2U);
}

// Guards against submissions that are few and take the memory of many, and
// against a refusal of one that the leader may have accepted.
TEST_F(CallLimitsTest, BoundsTheJobsOfWaitingCalls) {
  const std::size_t Read = call(30s);
  const std::size_t First = call(20s, 15'000);
  const std::size_t Second = call(10s, 15'000);
  ASSERT_TRUE(Answers[First]);
  EXPECT_EQ(Answers[First]->Status, ClientStatus::Unresolved);
  EXPECT_FALSE(Answers[Read]);
  EXPECT_FALSE(Answers[Second]);
  EXPECT_TRUE(Answers[call(1s, 25'000)]);
  EXPECT_FALSE(Answers[Second]);
}

// Guards against places that are not given back.
TEST_F(CallLimitsTest, ServesAsManyCallsAfterwards) {
  for (int Index = 0; Index < 3; ++Index)
    call(2s, 5000);
  Cell.run(3s);
  EXPECT_EQ(Cell.node("n0").router().openCalls(), 0U);
  Cell.store().Down = false;
  Cell.run(5s);
  EXPECT_EQ(Answers[call(3s)]->Status, ClientStatus::NoSuchJob);
}

} // namespace
} // namespace apricotwing::emulator
