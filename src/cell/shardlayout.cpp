#include "cell/shardlayout.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace apricotwing::cell {

namespace {

/// Weight of an account without a weight.
constexpr double MinWeight = 0.1;

double weightOf(const jobs::ClientAccount &Account) {
  return std::max(double(Account.Weight), MinWeight);
}

/// Number of shards that are worthwhile. \p LargestShare is the largest
/// account's fraction of all weights.
std::size_t shardCountFor(std::size_t Workers, std::size_t Instances,
                          std::size_t Accounts, double LargestShare) {
  const auto ByWorkers =
      std::size_t(std::lround(double(Workers) / double(WorkersPerShard)));
  const auto ByLargest = std::size_t(MaxAccountRatio / LargestShare);
  return std::max<std::size_t>(std::min({ByWorkers, ByLargest, Accounts,
                                         Instances / MinInstancesPerShard}),
                               1);
}

} // namespace

int ShardLayout::shardAt(std::string_view Name) const {
  const double Position =
      double(XXH3_64bits(Name.data(), Name.size())) * 0x1p-64;
  double Limit = 0;
  for (std::size_t Index = 0; Index + 1 < Shares.size(); ++Index) {
    Limit += Shares[Index];
    if (Position < Limit)
      return int(Index);
  }
  return int(Shares.size()) - 1;
}

int ShardLayout::shardOfAccount(const std::string &Name) const {
  const auto Found = Accounts.find(Name);
  return Found == Accounts.end() ? shardAt(Name) : Found->second;
}

int ShardLayout::shardOfWorker(std::string_view Id) const {
  return shardAt(Id);
}

int ShardLayout::homeOfInstance(std::string_view Name) const {
  return shardAt(Name);
}

ShardLayout planLayout(const std::vector<jobs::ClientAccount> &Accounts,
                       std::size_t Workers, std::size_t Instances) {
  std::vector<const jobs::ClientAccount *> Order;
  double Total = 0;
  for (const jobs::ClientAccount &Account : Accounts) {
    Order.push_back(&Account);
    Total += weightOf(Account);
  }
  if (Order.empty())
    return {};
  std::sort(Order.begin(), Order.end(),
            [](const auto *Left, const auto *Right) {
              return std::pair(-weightOf(*Left), Left->Name) <
                     std::pair(-weightOf(*Right), Right->Name);
            });
  const std::size_t Count = shardCountFor(Workers, Instances, Order.size(),
                                          weightOf(*Order.front()) / Total);
  if (Count == 1)
    return {};
  // Largest first, each into the shard with the lowest weight so far.
  std::vector<double> Shares(Count);
  std::map<std::string, int> ShardOf;
  for (const jobs::ClientAccount *Account : Order) {
    const auto Lightest = std::min_element(Shares.begin(), Shares.end());
    *Lightest += weightOf(*Account) / Total;
    ShardOf[Account->Name] = int(Lightest - Shares.begin());
  }
  return {std::move(Shares), std::move(ShardOf)};
}

} // namespace apricotwing::cell
