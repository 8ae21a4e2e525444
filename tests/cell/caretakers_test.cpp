#include "cell/caretakers.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace apricotwing::cell {
namespace {

/// \p Large members with half a core and \p Small with 0.12 of one.
std::vector<CaretakerCandidate> membersOf(int Large, int Small) {
  std::vector<CaretakerCandidate> Result;
  Result.reserve(std::size_t(Large) + std::size_t(Small));
  for (int Number = 0; Number < Large; ++Number)
    Result.push_back({"large" + std::to_string(Number), 0.5});
  for (int Number = 0; Number < Small; ++Number)
    Result.push_back({"small" + std::to_string(Number), 0.12});
  return Result;
}

TEST(CaretakersTest, UsesAllMembersOfASmallCell) {
  EXPECT_EQ(chooseCaretakers(membersOf(0, 5), 48).size(), 5U);
  EXPECT_EQ(chooseCaretakers(membersOf(8, 0), 48).size(), 8U);
  EXPECT_TRUE(chooseCaretakers({}, 48).empty());
}

// Guards against a leader that exchanges mail with dozens of members all the
// time: on half a core it had no time left to decide.
TEST(CaretakersTest, UsesTheLargeMembersOfALargeCell) {
  const auto Chosen = chooseCaretakers(membersOf(5, 27), 350);
  EXPECT_EQ(Chosen.size(), 5U);
  EXPECT_TRUE(Chosen.contains("large0"));
  EXPECT_FALSE(Chosen.contains("small0"));
}

TEST(CaretakersTest, AddsSmallMembersIfTheLargeOnesAreTooFew) {
  EXPECT_EQ(chooseCaretakers(membersOf(2, 27), 350).size(), 6U);
  EXPECT_EQ(chooseCaretakers(membersOf(0, 30), 100).size(), MinCaretakers);
}

// Guards against members that get more workers than they have time for.
TEST(CaretakersTest, UsesAsManyMembersAsTheWorkersNeed) {
  EXPECT_EQ(chooseCaretakers(membersOf(20, 0), 2000).size(), 16U);
  EXPECT_EQ(chooseCaretakers(membersOf(20, 0), 9000).size(), 20U);
}

} // namespace
} // namespace apricotwing::cell
