/// \file
/// Mutual exclusion of promises to peers and transactions that would break
/// them.
#ifndef APRICOTWING_CORE_PROMISETRACKER_H
#define APRICOTWING_CORE_PROMISETRACKER_H

#include "core/authoritysettings.h"
#include "core/time.h"

#include <atomic>
#include <cstdint>

namespace apricotwing {

/// Tracks the promises that this process has given to its peers, and its
/// fencing and configuration transactions that are in flight or whose outcome
/// is unknown. While there is one of either kind, the other kind is refused.
/// Owned by SessionManager; shared with Membership and ConfigLedger. All
/// methods are thread-safe and never block.
class PromiseTracker {
public:
  /// Promises to commit no fencing or configuration transaction until \p Now +
  /// \p Span. Returns false if such a transaction is in flight or in doubt.
  /// Thread-safe.
  bool promise(TimePoint Now, Duration Span);

  /// Registers a fencing or configuration transaction before it is sent.
  /// Returns false if a promise is outstanding at \p Now; the transaction must
  /// then not be sent. Thread-safe.
  bool beginTransaction(TimePoint Now);

  /// Ends a registered transaction whose outcome is known. Thread-safe.
  void endTransaction();

  /// Marks a registered transaction as in doubt: it may still commit. It stays
  /// in doubt until a renewal round that started afterwards succeeds.
  /// Thread-safe.
  void markInDoubt();

  /// Returns how many transactions have ever been marked in doubt. Read before
  /// a round writes the session row. Thread-safe.
  std::uint64_t inDoubtCount() const { return InDoubt.load(); }

  /// Resolves the first \p Count transactions that were marked in doubt. They
  /// can no longer commit, because they are conditional on the session row,
  /// which the round has changed since. Called after the whole round succeeded.
  /// Thread-safe.
  void resolveInDoubt(std::uint64_t Count);

  /// Returns true if no registered transaction is in flight or in doubt.
  /// Thread-safe.
  bool hasNoOpenTransaction() const;

  /// Returns true while a promise is outstanding. Thread-safe.
  bool isPromised(TimePoint Now) const;

  /// Raises the configuration version that is reported with promises.
  /// Thread-safe.
  void noteConfigVersion(std::uint64_t Version);

  /// Returns the newest configuration version that this process has read or
  /// committed. Thread-safe.
  std::uint64_t configVersion() const { return NewestConfig.load(); }

private:
  std::atomic<TimePoint::rep> PromisedUntilMs{
      TimePoint::min().time_since_epoch().count()};
  std::atomic<std::uint64_t> InFlight{0};
  std::atomic<std::uint64_t> InDoubt{0};
  std::atomic<std::uint64_t> ResolvedInDoubt{0};
  std::atomic<std::uint64_t> NewestConfig{0};
};

} // namespace apricotwing

#endif
