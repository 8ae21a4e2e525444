#include "jobs/usagehistory.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace apricotwing::jobs {

void UsageHistory::setWeights(std::map<std::string, int> NewWeights) {
  Weights = std::move(NewWeights);
  TotalWeight = 0;
  for (auto &[Account, Weight] : Weights) {
    Weight = std::max(Weight, 1);
    TotalWeight += Weight;
  }
}

double UsageHistory::remainingPart(Duration Elapsed) const {
  return std::exp2(-double(Elapsed.count()) / double(HalfLife.count()));
}

double UsageHistory::dominantShare(const Resources &Held) const {
  const auto ShareOf = [](std::int64_t Part, std::int64_t Whole) {
    return Whole > 0 ? double(Part) / double(Whole) : 0.0;
  };
  // Runs of a lost worker may hold more than the remaining workers have.
  return std::clamp(
      std::max({ShareOf(Held.CpuMillis, Capacity.CpuMillis),
                ShareOf(Held.MemoryMib, Capacity.MemoryMib),
                ShareOf(Held.Accelerators, Capacity.Accelerators)}),
      0.0, 1.0);
}

void UsageHistory::advance(TimePoint Now) {
  if (Now <= UpdatedAt)
    return;
  const double Remaining = remainingPart(Now - UpdatedAt);
  UpdatedAt = Now;
  for (auto &[Account, Use] : Entries) {
    Use.Share = Use.Share * Remaining + Use.HeldShare * (1 - Remaining);
    Changed = Changed || Use.HeldShare > 0;
  }
  std::erase_if(Entries, [](const auto &Item) {
    return Item.second.Held == Resources{} &&
           Item.second.Share < NegligibleShare;
  });
}

void UsageHistory::setCapacity(const Resources &NewCapacity, TimePoint Now) {
  if (!isEnabled() || NewCapacity == Capacity || NewCapacity == Resources{})
    return;
  advance(Now);
  Capacity = NewCapacity;
  for (auto &[Account, Use] : Entries)
    Use.HeldShare = dominantShare(Use.Held);
}

void UsageHistory::setRunning(const std::string &Account, const Resources &Held,
                              TimePoint Now) {
  if (!isEnabled())
    return;
  advance(Now);
  Entry &Use = Entries[Account];
  Use.Held = Held;
  Use.HeldShare = dominantShare(Held);
}

Duration UsageHistory::delayOf(const std::string &Account, double Share,
                               double Total) const {
  const auto Found = Weights.find(Account);
  if (Found == Weights.end())
    return Duration{0};
  const double Excess = Share - Total * Found->second / TotalWeight;
  if (Excess <= 0)
    return Duration{0};
  return Duration(
      Duration::rep(double(MaxDelay.count()) * Excess / (Share + SmallShare)));
}

Duration UsageHistory::delay(const std::string &Account, TimePoint Now) {
  if (!isEnabled())
    return Duration{0};
  advance(Now);
  const auto Found = Entries.find(Account);
  if (Found == Entries.end())
    return Duration{0};
  double Total = 0;
  for (const auto &[Name, Use] : Entries)
    Total += Weights.contains(Name) ? Use.Share : 0;
  return delayOf(Account, Found->second.Share, Total);
}

std::vector<AccountUse> UsageHistory::largest(TimePoint Now,
                                              std::size_t Max) const {
  std::vector<AccountUse> Result;
  if (!isEnabled())
    return Result;
  const double Remaining =
      remainingPart(std::max(Now - UpdatedAt, Duration{0}));
  double Total = 0;
  for (const auto &[Name, Use] : Entries) {
    const auto Weight = Weights.find(Name);
    const bool IsKnown = Weight != Weights.end();
    Result.push_back({Name,
                      Use.Share * Remaining + Use.HeldShare * (1 - Remaining),
                      IsKnown ? Weight->second : 0, Duration{0}});
    Total += IsKnown ? Result.back().Share : 0;
  }
  // Accounts of equal share remain in the order of their names.
  std::stable_sort(Result.begin(), Result.end(),
                   [](const AccountUse &Left, const AccountUse &Right) {
                     return Left.Share > Right.Share;
                   });
  if (Result.size() > Max)
    Result.resize(Max);
  for (AccountUse &Use : Result)
    Use.Delay = delayOf(Use.Account, Use.Share, Total);
  return Result;
}

bool UsageHistory::takeChanged(TimePoint Now) {
  advance(Now);
  return std::exchange(Changed, false);
}

std::map<std::string, double> UsageHistory::stored(TimePoint Now) const {
  std::map<std::string, double> Result;
  std::size_t NameBytes = 0;
  for (const AccountUse &Use : largest(Now, MaxStoredAccounts)) {
    NameBytes += Use.Account.size();
    if (Use.Share < NegligibleShare || NameBytes > MaxStoredNameBytes)
      break;
    Result[Use.Account] = Use.Share;
  }
  return Result;
}

void UsageHistory::restore(const std::map<std::string, double> &Shares,
                           std::optional<Duration> Elapsed, TimePoint Now) {
  if (!isEnabled())
    return;
  advance(Now);
  Changed = Changed || !Elapsed;
  const double Remaining =
      remainingPart(std::max(Elapsed.value_or(Duration{0}), Duration{0}));
  for (const auto &[Account, Share] : Shares)
    Entries[Account].Share = std::clamp(Share, 0.0, 1.0) * Remaining;
}

} // namespace apricotwing::jobs
