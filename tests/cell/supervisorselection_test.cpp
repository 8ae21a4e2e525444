#include "cell/supervisorselection.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace apricotwing::cell {
namespace {

/// Returns \p Large members with half a core and \p Small members with 0.12 of
/// a core.
std::vector<SupervisorCandidate> membersOf(int Large, int Small) {
  std::vector<SupervisorCandidate> Result;
  Result.reserve(std::size_t(Large) + std::size_t(Small));
  for (int Number = 0; Number < Large; ++Number)
    Result.push_back({"large" + std::to_string(Number), 0.5});
  for (int Number = 0; Number < Small; ++Number)
    Result.push_back({"small" + std::to_string(Number), 0.12});
  return Result;
}

TEST(SupervisorSelectionTest, UsesAllMembersOfASmallCell) {
  EXPECT_EQ(selectSupervisors(membersOf(0, 5), 48, 0).size(), 5U);
  EXPECT_EQ(selectSupervisors(membersOf(8, 0), 48, 0).size(), 8U);
  EXPECT_TRUE(selectSupervisors({}, 48, 0).empty());
}

// Guards against a leader that constantly exchanges messages with dozens of
// members: on half a core it had no time left for scheduling.
TEST(SupervisorSelectionTest, UsesTheLargeMembersOfALargeCell) {
  const auto Chosen = selectSupervisors(membersOf(5, 27), 350, 0);
  EXPECT_EQ(Chosen.size(), 5U);
  EXPECT_TRUE(Chosen.contains("large0"));
  EXPECT_FALSE(Chosen.contains("small0"));
}

TEST(SupervisorSelectionTest, AddsSmallMembersIfTheLargeOnesAreTooFew) {
  EXPECT_EQ(selectSupervisors(membersOf(2, 27), 350, 0).size(), 6U);
  EXPECT_EQ(selectSupervisors(membersOf(0, 30), 100, 0).size(), MinSupervisors);
}

// Guards against members that get more workers than their CPU time allows.
TEST(SupervisorSelectionTest, UsesAsManyMembersAsTheWorkersNeed) {
  EXPECT_EQ(selectSupervisors(membersOf(20, 0), 2000, 0).size(), 16U);
  EXPECT_EQ(selectSupervisors(membersOf(20, 0), 9000, 0).size(), 20U);
}

} // namespace
} // namespace apricotwing::cell
