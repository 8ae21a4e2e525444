/// \file
/// Use of one pool's grants by this process.
#ifndef APRICOTWING_CORE_GRANTHOLDER_H
#define APRICOTWING_CORE_GRANTHOLDER_H

#include "core/grantledger.h"
#include "core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace apricotwing {

/// An amount in use; handed back to GrantHolder::unuse().
struct AcquiredAmount {
  std::string Unit;
  std::int64_t Amount = 0;
  std::uint64_t Generation = 0; ///< Session generation that it belongs to.
};

/// Counts what is in use of the grants of one pool, tracks demand, and decides
/// how much to hold. Owned by the daemon, which calls it under the lock of the
/// pool. No I/O. Not thread-safe.
class GrantHolder {
public:
  /// Grants change in multiples of \p Step per unit; \p IdleAfter is how long
  /// an amount stays unused before it is given back.
  explicit GrantHolder(std::int64_t Step = 1,
                       Duration IdleAfter = Duration(5000));

  /// Takes \p Amount of \p Unit if the grant allows it; otherwise notes the
  /// demand for the next round. The caller has checked its session.
  std::optional<AcquiredAmount> tryAcquire(const std::string &Unit,
                                           std::int64_t Amount = 1);

  /// Asks for \p Amount more of \p Unit in the next round, for example for
  /// requests that wait in a queue. Repeated calls do not add up.
  void noteDemand(const std::string &Unit, std::int64_t Amount);

  /// Gives back what tryUse() returned. A use of an earlier session is
  /// ignored.
  void release(const AcquiredAmount &Acquired);

  /// Amount of \p Unit that tryUse() could still take.
  std::int64_t available(const std::string &Unit) const;

  /// Amount of \p Unit in use.
  std::int64_t inUse(const std::string &Unit) const;

  /// Amount of \p Unit that may be used at most.
  std::int64_t usable(const std::string &Unit) const;

  /// True if beginRound() is due.
  bool needsRound(TimePoint Now) const;

  /// Starts a round: lowers what may be used to the limit of each unit at
  /// once, and returns the targets that differ from the grants, for
  /// GrantLedger::adjust(). A target is never below what is in use. The limit
  /// follows demand, use within the idle time, capacity and the fair part. If
  /// there are no targets, call adjust() without any every few seconds.
  UnitAmounts beginRound(TimePoint Now);

  /// The round returned \p Share. If it failed instead, nothing is called:
  /// the usable amounts stay at the smaller of the old grant and the target,
  /// and the same units are part of the next round.
  void endRound(const PoolShare &Share);

  /// The session was lost: nothing is granted any more.
  void reset();

private:
  struct UnitState {
    std::int64_t Granted = 0; ///< As last read from the row.
    std::int64_t Usable = 0;  ///< At most Granted; may be below InUse.
    std::int64_t InUse = 0;
    std::int64_t UnmetDemand = 0; ///< Wanted beyond the grant.
    std::int64_t Peak = 0;        ///< Highest use since PeakSince.
    std::optional<TimePoint> PeakSince;
    std::optional<std::int64_t> Ceiling; ///< Most that may be held.
    bool Waiting = false;                ///< The row holds a grant of 0.
    bool Uncertain = false; ///< Part of a round that has not returned.
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
