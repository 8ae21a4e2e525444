#include "httpserver/intakebudget.h"

#include <gtest/gtest.h>

#include <map>
#include <string>

namespace apricotwing {
namespace {

constexpr std::size_t Kib = 1024;

/// A budget of 100 KiB and three connections for callers.
class IntakeBudgetTest : public testing::Test {
protected:
  static IntakeLimits limits(std::size_t BytesPerAddress) {
    IntakeLimits Result;
    Result.Parts = {{{100 * Kib, 3}, {100 * Kib, 3}, {100 * Kib, 3}}};
    Result.BytesPerAddress = BytesPerAddress;
    Result.RequestTimeout = Duration{1000};
    return Result;
  }

  IntakeBudget::Id open(IntakeBudget &Target, int Key, TimePoint Now = {},
                        IntakePart Part = IntakePart::Callers,
                        const std::string &Address = "10.0.0.1") {
    return Target.open(Part, Address, Now, [this, Key](IntakeRefusal Reason) {
      Closed[Key] = Reason;
    });
  }

  IntakeBudget Budget{limits(0)};
  std::map<int, IntakeRefusal> Closed;
};

// Guards against a cost that leaves out the bookkeeping of chunks: the shortest
// chunk has six bytes of input and holds up to 2 + 32 bytes.
TEST(IntakeCostTest, CoversTheShortestChunk) {
  EXPECT_GE(intakeCost("1\r\nx\n\n"), 34U);
  EXPECT_GE(intakeCost(std::string(1000, 'x')), 2000U);
}

// Guards against a full budget that closes the newcomer, a small request or the
// client of another server instead of the connection that holds most.
TEST_F(IntakeBudgetTest, ClosesTheConnectionThatHoldsMost) {
  const auto Peer = open(Budget, 1, {}, IntakePart::Peers);
  const auto Large = open(Budget, 2);
  const auto Medium = open(Budget, 3);
  const auto Small = open(Budget, 4);
  Budget.received(Peer, 90 * Kib, {});
  Budget.received(Large, 50 * Kib, {});
  Budget.received(Medium, 40 * Kib, {});
  EXPECT_TRUE(Closed.empty());
  Budget.received(Small, 20 * Kib, {});
  EXPECT_EQ(Closed, (std::map<int, IntakeRefusal>{{2, IntakeRefusal::Memory}}));
  EXPECT_EQ(Budget.bytes(IntakePart::Callers), 60 * Kib);
  EXPECT_EQ(Budget.bytes(IntakePart::Peers), 90 * Kib);
  Budget.remove(Large);
  EXPECT_EQ(Budget.bytes(IntakePart::Callers), 60 * Kib);
}

// Guards against closing a connection whose request may run, and against
// unread responses that are not counted.
TEST_F(IntakeBudgetTest, SparesRequestsThatWereHandedOver) {
  const auto Handled = open(Budget, 1);
  const auto Other = open(Budget, 2);
  Budget.received(Handled, 90 * Kib, {});
  Budget.handedOver(Handled);
  Budget.received(Other, 40 * Kib, {});
  EXPECT_EQ(Closed, (std::map<int, IntakeRefusal>{{2, IntakeRefusal::Memory}}));
  Budget.writing(Handled, 200 * Kib, {});
  EXPECT_EQ(Closed.at(1), IntakeRefusal::Memory);
}

// Guards against a close that came too late and is then counted as one.
TEST_F(IntakeBudgetTest, CountsAKeptConnectionAgain) {
  const auto Kept = open(Budget, 1);
  Budget.received(Kept, 101 * Kib, {});
  EXPECT_EQ(Budget.refusals(IntakeRefusal::Memory), 1U);
  Budget.handedOver(Kept);
  Budget.keep(Kept);
  EXPECT_EQ(Budget.refusals(IntakeRefusal::Memory), 0U);
  EXPECT_EQ(Budget.bytes(IntakePart::Callers), 101 * Kib);
  Budget.idle(Kept, {});
  EXPECT_EQ(Budget.bytes(IntakePart::Callers), 0U);
}

// Guards against idle or unfinished connections that keep new callers out.
TEST_F(IntakeBudgetTest, ANewConnectionReplacesTheOldestOne) {
  const auto Handled = open(Budget, 1, TimePoint(Duration{1}));
  Budget.received(Handled, 1, TimePoint(Duration{1}));
  Budget.handedOver(Handled);
  open(Budget, 2, TimePoint(Duration{2}));
  open(Budget, 3, TimePoint(Duration{3}));
  EXPECT_TRUE(Closed.empty());
  open(Budget, 4, TimePoint(Duration{4}));
  EXPECT_EQ(Closed,
            (std::map<int, IntakeRefusal>{{2, IntakeRefusal::Connections}}));
}

// Guards against requests at their handlers that leave no connection for new
// clients, and against a place that is not given back.
TEST_F(IntakeBudgetTest, AdmitsNoRequestBeyondThreeQuartersOfTheConnections) {
  IntakeLimits Limits = limits(0);
  Limits.Parts[std::size_t(IntakePart::Callers)].Connections = 4;
  IntakeBudget Four(Limits);
  for (int Key = 1; Key <= 3; ++Key) {
    EXPECT_TRUE(Four.admitsRequest(IntakePart::Callers, 0));
    Four.handedOver(open(Four, Key));
  }
  EXPECT_FALSE(Four.admitsRequest(IntakePart::Callers, 0));
  EXPECT_TRUE(Four.admitsRequest(IntakePart::Peers, 0));
  EXPECT_EQ(Four.refusals(IntakeRefusal::Waiting), 1U);
  Four.writing(1, 10, {});
  EXPECT_TRUE(Four.admitsRequest(IntakePart::Callers, 0));
}

// Guards against handlers whose copies of bodies take more than the budget, and
// against a lone body that is refused although it is permitted.
TEST_F(IntakeBudgetTest, AdmitsBodiesUpToHalfOfTheBytes) {
  const auto First = open(Budget, 1);
  Budget.received(First, 80 * Kib, {});
  EXPECT_TRUE(Budget.admitsRequest(IntakePart::Callers, 40 * Kib));
  Budget.handedOver(First);
  EXPECT_FALSE(Budget.admitsRequest(IntakePart::Callers, 10 * Kib));
  EXPECT_TRUE(Budget.admitsRequest(IntakePart::Callers, 1 * Kib));
  Budget.idle(First, {});
  EXPECT_TRUE(Budget.admitsRequest(IntakePart::Callers, 40 * Kib));
}

// Guards against small requests that exceed the budget because they are many.
TEST_F(IntakeBudgetTest, ClosesSmallRequestsBeyondAQuarterMore) {
  IntakeLimits Limits = limits(0);
  Limits.Parts[std::size_t(IntakePart::Callers)].Connections = 20;
  IntakeBudget Many(Limits);
  for (int Key = 1; Key <= 12; ++Key)
    Many.received(open(Many, Key), 10 * Kib, {});
  EXPECT_TRUE(Closed.empty());
  Many.received(open(Many, 13), 10 * Kib, {});
  EXPECT_EQ(Closed, (std::map<int, IntakeRefusal>{{1, IntakeRefusal::Memory}}));
}

// Guards against unfinished requests that stay, and against idle connections
// that this limit closes.
TEST_F(IntakeBudgetTest, ClosesOverdueRequestsOnly) {
  const auto Slow = open(Budget, 1);
  open(Budget, 2);
  Budget.received(Slow, 1, TimePoint(Duration{500}));
  Budget.received(Slow, 1, TimePoint(Duration{1400}));
  Budget.closeOverdue(TimePoint(Duration{1500}));
  EXPECT_TRUE(Closed.empty());
  Budget.closeOverdue(TimePoint(Duration{1501}));
  EXPECT_EQ(Closed, (std::map<int, IntakeRefusal>{{1, IntakeRefusal::Slow}}));
}

// Guards against clients of one address that use up the whole budget.
TEST_F(IntakeBudgetTest, LimitsOneAddress) {
  IntakeBudget Limited(limits(60 * Kib));
  const auto First = open(Limited, 1);
  const auto Other = open(Limited, 2, {}, IntakePart::Callers, "10.0.0.2");
  Limited.received(Other, 45 * Kib, {});
  Limited.received(First, 40 * Kib, {});
  EXPECT_TRUE(Closed.empty());
  const auto Second = open(Limited, 3);
  Limited.received(Second, 33 * Kib, {});
  EXPECT_EQ(Closed,
            (std::map<int, IntakeRefusal>{{1, IntakeRefusal::Address}}));
}

} // namespace
} // namespace apricotwing
