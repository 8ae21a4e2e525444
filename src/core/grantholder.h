/// \file
/// Local accounting of this process's grants of one pool.
#ifndef APRICOTWING_CORE_GRANTHOLDER_H
#define APRICOTWING_CORE_GRANTHOLDER_H

#include "core/grantledger.h"
#include "core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace apricotwing {

/// An amount acquired with GrantHolder::tryAcquire(), to be passed to
/// GrantHolder::release().
struct AcquiredAmount {
  std::string Unit;
  std::int64_t Amount = 0;
  std::uint64_t Generation =
      0; ///< Session generation in which it was acquired.
};

/// Tracks how much of the grants of one pool is in use, records the demand, and
/// decides how much to hold. Owned by the daemon, which calls it while holding
/// the lock of the pool. Performs no I/O. Not thread-safe.
class GrantHolder {
public:
  /// Grants change in multiples of \p Step per unit. An amount that has not
  /// been used for \p IdleAfter is released.
  explicit GrantHolder(std::int64_t Step = 1,
                       Duration IdleAfter = Duration(5000));

  /// Acquires \p Amount of \p Unit if the grant permits it; otherwise records
  /// the demand for the next round. Precondition: the caller has checked that
  /// its session is valid.
  std::optional<AcquiredAmount> tryAcquire(const std::string &Unit,
                                           std::int64_t Amount = 1);

  /// Requests \p Amount more of \p Unit in the next round, for example for
  /// queued requests. The amounts of repeated calls are not summed; the largest
  /// counts.
  void noteDemand(const std::string &Unit, std::int64_t Amount);

  /// Releases what tryAcquire() returned. An amount acquired in an earlier
  /// session is ignored.
  void release(const AcquiredAmount &Acquired);

  /// Amount of \p Unit that tryAcquire() could still acquire.
  std::int64_t available(const std::string &Unit) const;

  /// Amount of \p Unit in use.
  std::int64_t inUse(const std::string &Unit) const;

  /// Largest amount of \p Unit that may be in use.
  std::int64_t usable(const std::string &Unit) const;

  /// Returns true if a round has to be started.
  bool needsRound(TimePoint Now) const;

  /// Starts a round. Immediately lowers the usable amount of each unit to its
  /// limit, and returns the targets that differ from the grants, to be passed
  /// to GrantLedger::adjust(). A target is never below the amount in use. The
  /// limit depends on the demand, the use within the idle time, the capacity
  /// and the fair share. If there are no targets, the caller should still call
  /// adjust() with an empty map every few seconds, to learn of changes.
  UnitAmounts beginRound(TimePoint Now);

  /// Applies the result \p Share of a round. Must not be called if the round
  /// failed: the usable amounts then stay at the smaller of the old grant and
  /// the target, and the next round includes the same units.
  void endRound(const PoolShare &Share);

  /// Drops all grants, because the session was lost.
  void reset();

private:
  struct UnitState {
    std::int64_t Granted = 0; ///< As last read from the row.
    std::int64_t Usable = 0;  ///< At most Granted; may be below InUse.
    std::int64_t InUse = 0;
    std::int64_t UnmetDemand = 0; ///< Demand beyond the grant.
    std::int64_t Peak = 0;        ///< Highest use since PeakSince.
    std::optional<TimePoint> PeakSince;
    std::optional<std::int64_t> Ceiling; ///< Largest amount that may be held.
    bool Waiting = false;                ///< The row holds a grant of 0.
    bool Uncertain = false; ///< Its round has not returned a result.
  };

  bool isPeakWindowOver(const UnitState &State, TimePoint Now) const;
  std::int64_t targetLimit(const UnitState &State, TimePoint Now) const;
  std::int64_t roundUp(std::int64_t Amount) const;
  static std::int64_t amountIn(const UnitAmounts &Amounts,
                               const std::string &Unit);

  std::int64_t Step;
  Duration IdleAfter;
  std::uint64_t Generation = 1;
  std::map<std::string, UnitState> Units;
};

} // namespace apricotwing

#endif
