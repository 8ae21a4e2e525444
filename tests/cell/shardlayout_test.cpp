#include "cell/codec.h"
#include "cell/shardlayout.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace apricotwing::cell {
namespace {

/// Returns accounts with the given weights, named "a0", "a1", ...
std::vector<jobs::ClientAccount> accountsOf(const std::vector<int> &Weights) {
  std::vector<jobs::ClientAccount> Result;
  for (const int Weight : Weights) {
    Result.emplace_back();
    Result.back().Name = "a" + std::to_string(Result.size() - 1);
    Result.back().Weight = Weight;
  }
  return Result;
}

TEST(ShardLayoutTest, KeepsASmallCellInOneShard) {
  const auto Accounts = accountsOf(std::vector<int>(20, 10));
  EXPECT_EQ(planLayout(Accounts, 48, 6), ShardLayout());
  EXPECT_EQ(planLayout(Accounts, 350, 42), ShardLayout());
  EXPECT_EQ(planLayout({}, 3000, 300), ShardLayout());
}

// Guards against a single leader for thousands of workers, which had no CPU
// time left for messages and stopped starting tasks.
TEST(ShardLayoutTest, AddsShardsWithTheNumberOfWorkers) {
  const auto Accounts = accountsOf(std::vector<int>(40, 10));
  EXPECT_EQ(planLayout(Accounts, 540, 97).shardCount(), 2);
  EXPECT_EQ(planLayout(Accounts, 1000, 100).shardCount(), 3);
  EXPECT_EQ(planLayout(Accounts, 3000, 300).shardCount(), 10);
}

TEST(ShardLayoutTest, LeavesEnoughInstancesToEachShard) {
  const auto Accounts = accountsOf(std::vector<int>(40, 10));
  EXPECT_EQ(planLayout(Accounts, 3000, 9).shardCount(), 2);
  EXPECT_EQ(planLayout(Accounts, 3000, 3).shardCount(), 1);
}

// Guards against a shard that is too small for its account: an account is in
// one shard only.
TEST(ShardLayoutTest, MakesNoShardSmallerThanTheLargestAccount) {
  const auto Accounts = accountsOf({100, 100, 50, 50, 50, 50});
  const ShardLayout Layout = planLayout(Accounts, 3000, 300);
  EXPECT_EQ(Layout.shardCount(), 5);
  for (const double Share : Layout.shares())
    EXPECT_GE(Share, 0.12);
}

// Guards against accounts that wait in a full shard while another is empty.
TEST(ShardLayoutTest, GivesWorkersInProportionToTheWeights) {
  const auto Accounts = accountsOf({52, 40, 30, 20, 20, 10, 9, 5, 3, 2, 1, 1});
  const ShardLayout Layout = planLayout(Accounts, 900, 60);
  ASSERT_EQ(Layout.shardCount(), 3);
  std::vector<double> Weights(3);
  for (const auto &Account : Accounts)
    Weights[std::size_t(Layout.shardOfAccount(Account.Name))] +=
        Account.Weight / 193.0;
  std::vector<int> Workers(3);
  for (int Number = 0; Number < 9000; ++Number)
    ++Workers[std::size_t(Layout.shardOfWorker("i-" + std::to_string(Number)))];
  for (std::size_t Shard = 0; Shard < 3; ++Shard) {
    EXPECT_NEAR(Weights[Shard], 1 / 3.0, 0.05);
    EXPECT_NEAR(Layout.shares()[Shard], Weights[Shard], 1e-9);
    EXPECT_NEAR(Workers[Shard] / 9000.0, Weights[Shard], 0.02);
  }
}

TEST(ShardLayoutTest, AssignsAnAccountThatWasAddedLater) {
  const ShardLayout Layout({0.5, 0.5}, {{"known", 1}});
  EXPECT_EQ(Layout.shardOfAccount("known"), 1);
  const int Shard = Layout.shardOfAccount("new");
  EXPECT_TRUE(Shard == 0 || Shard == 1);
  EXPECT_EQ(Layout.shardOfAccount("new"), Shard);
}

// Guards against instances that read different layouts from the same row: a
// worker would belong to two shards.
TEST(ShardLayoutTest, IsUnchangedByStorage) {
  const ShardLayout Layout =
      planLayout(accountsOf({7, 11, 13, 17, 19, 23, 29}), 1200, 40);
  ASSERT_GT(Layout.shardCount(), 1);
  EXPECT_EQ(decodeShardLayout(encode(Layout)), Layout);
}

// Guards against a process that ends because of an invalid row.
TEST(ShardLayoutTest, RejectsInvalidRows) {
  EXPECT_FALSE(decodeShardLayout(R"({"shares":[],"accounts":{}})"));
  EXPECT_FALSE(decodeShardLayout(R"({"shares":[1],"accounts":{"a":1}})"));
  EXPECT_FALSE(decodeShardLayout(R"({"shares":[1],"accounts":{"a":-1}})"));
  EXPECT_FALSE(decodeShardLayout(R"({"shares":"x"})"));
  EXPECT_FALSE(decodeShardLayout("["));
}

} // namespace
} // namespace apricotwing::cell
