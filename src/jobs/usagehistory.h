/// \file
/// Past use of the cell by client accounts, which affects the order of waiting
/// work.
#ifndef APRICOTWING_JOBS_USAGEHISTORY_H
#define APRICOTWING_JOBS_USAGEHISTORY_H

#include "core/resources.h"
#include "core/time.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace apricotwing::jobs {

/// Past use of one account, and its effect.
struct AccountUse {
  std::string Account;
  double Share = 0; ///< Decayed average of its dominant share, 0 to 1.
  int Weight = 0;   ///< 0: the settings in use do not contain it.
  Duration Delay{0};
};

/// Keeps a decayed average of each account's dominant share: the largest of the
/// shares of the cell's processors, memory and accelerators that its runs hold.
/// Owned by a JobScheduler and used on its thread only; reads no clock. Times
/// that are passed must not decrease.
class UsageHistory {
public:
  /// Longest delay. Bounds how far a step can fall behind others of its tier
  /// and priority.
  static constexpr Duration MaxDelay{5000};

  /// Share of the cell below which past use has little effect. Without it, an
  /// account that used an idle cell for a moment would get the longest delay.
  static constexpr double SmallShare = 0.01;

  /// Accounts whose share has decayed to less are dropped.
  static constexpr double NegligibleShare = 0.0001;

  /// Bounds of stored(). Together they keep the row below the size limit of the
  /// store.
  static constexpr std::size_t MaxStoredAccounts = 256;
  static constexpr std::size_t MaxStoredNameBytes = 16'000;

  /// \p HalfLife is the time after which past use counts half; zero disables
  /// the history.
  explicit UsageHistory(Duration HalfLife) : HalfLife(HalfLife) {}

  bool isEnabled() const { return HalfLife > Duration::zero(); }

  /// Sets the weights of the accounts in the settings in use.
  void setWeights(std::map<std::string, int> NewWeights);

  /// Sets the resources of all workers. Ignored if there are none, as after a
  /// restart of all.
  void setCapacity(const Resources &NewCapacity, TimePoint Now);

  /// Sets the resources that the runs of \p Account hold from \p Now on.
  void setRunning(const std::string &Account, const Resources &Held,
                  TimePoint Now);

  /// Time by which a step of \p Account that is queued now is moved back
  /// relative to its due time: zero if the account has used at most its part by
  /// weight of what all have used, growing to MaxDelay with what it has used
  /// beyond.
  Duration delay(const std::string &Account, TimePoint Now);

  /// The accounts with the largest shares, at most \p Max, largest first.
  std::vector<AccountUse> largest(TimePoint Now, std::size_t Max) const;

  /// Returns whether an account has used resources since the last call, so that
  /// stored() differs by more than decay.
  bool takeChanged(TimePoint Now);

  /// Shares by account, to be stored: the largest ones within the bounds above.
  std::map<std::string, double> stored(TimePoint Now) const;

  /// Adds shares that were stored() \p Elapsed before \p Now. If that time is
  /// unknown, they count as valid now and are to be stored again.
  /// Precondition: nothing was recorded before \p Now.
  void restore(const std::map<std::string, double> &Shares,
               std::optional<Duration> Elapsed, TimePoint Now);

private:
  struct Entry {
    double Share = 0; ///< At UpdatedAt.
    Resources Held;
    double HeldShare = 0; ///< Dominant share of Held.
  };

  double remainingPart(Duration Elapsed) const;
  double dominantShare(const Resources &Held) const;
  void advance(TimePoint Now);
  Duration delayOf(const std::string &Account, double Share,
                   double Total) const;

  const Duration HalfLife;
  Resources Capacity;
  std::map<std::string, Entry> Entries;
  std::map<std::string, int> Weights; ///< Each at least 1.
  double TotalWeight = 0;
  TimePoint UpdatedAt;
  bool Changed = false;
};

} // namespace apricotwing::jobs

#endif
