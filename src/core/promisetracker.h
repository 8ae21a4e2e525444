/// \file
/// Excludes promises to peers and transactions that would break them.
#ifndef APRICOTWING_CORE_PROMISETRACKER_H
#define APRICOTWING_CORE_PROMISETRACKER_H

#include "core/authoritysettings.h"
#include "core/time.h"

#include <atomic>
#include <cstdint>

namespace apricotwing {

/// Keeps the promises that this process has given and the fencing and
/// configuration transactions that it has not settled. While one kind exists
/// the other is refused. Owned by SessionManager; shared with Membership and
/// ConfigLedger. All methods are thread-safe and never block.
class PromiseTracker {
public:
  /// Promises until \p Now + \p Span to commit nothing that a promise
  /// excludes. Returns false if a transaction is in flight or in doubt.
  /// Thread-safe.
  bool promise(TimePoint Now, Duration Span);

  /// Announces a fencing or configuration transaction, before it is sent.
  /// Returns false if a promise is outstanding at \p Now; then it must not be
  /// sent. Thread-safe.
  bool beginTransaction(TimePoint Now);

  /// The announced transaction has a definite outcome. Thread-safe.
  void endTransaction();

  /// The announced transaction may still commit. It counts until a round that
  /// began afterwards succeeds. Thread-safe.
  void markInDoubt();

  /// Number of transactions ever left in doubt; taken before a round writes
  /// the session row. Thread-safe.
  std::uint64_t inDoubtCount() const { return InDoubt.load(); }

  /// Settles the transactions left in doubt before \p Mark was taken: they
  /// are conditional on the session row that the round has since changed.
  /// Called after the whole round succeeded. Thread-safe.
  void resolveInDoubt(std::uint64_t Count);

  /// True if no announced transaction is in flight or in doubt. Thread-safe.
  bool hasNoOpenTransaction() const;

  /// True while a promise is outstanding. Thread-safe.
  bool isPromised(TimePoint Now) const;

  /// Raises the configuration version that promises report. Thread-safe.
  void noteConfigVersion(std::uint64_t Version);

  /// The newest configuration version that this process has read or
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
