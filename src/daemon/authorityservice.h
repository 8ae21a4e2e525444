/// \file
/// The thread that renews the session, fences expired sessions and reclaims
/// their grants.
#ifndef APRICOTWING_DAEMON_AUTHORITYSERVICE_H
#define APRICOTWING_DAEMON_AUTHORITYSERVICE_H

#include "core/configledger.h"
#include "core/grantledger.h"
#include "core/membership.h"
#include "daemon/context.h"
#include "daemon/periodicthread.h"

#include <atomic>
#include <functional>
#include <memory>

namespace apricotwing {

/// Renews the authority of this instance and fences instances that have
/// stopped renewing theirs. Owned by the Daemon.
class AuthorityService {
public:
  struct Listeners {
    /// Called after each round. All callbacks run on the renewal thread.
    std::function<void(const RoundReport &)> OnRound;
    /// Called after a round that read a newer configuration.
    std::function<void(const std::shared_ptr<const Config> &)> OnConfig;
    /// Called when the session was lost. The callee must release everything
    /// that is held under that session.
    std::function<void(const SessionId &)> OnLost;
  };

  AuthorityService(DaemonContext &Context, Listeners Callbacks);

  /// Starts the renewal thread. Call once, after the addresses are bound.
  void start();

  /// Starts a round without waiting for the period to elapse. Thread-safe.
  void wake();

  /// Marks the session as leaving; takes effect in the next round. Thread-safe.
  void leave();

  /// Stops the renewal thread and deletes the session row. Precondition: all
  /// shards and grants have been released.
  void finish();

private:
  void round();
  void fenceExpiredSessions();
  void reclaimGrants();
  void pruneProposals();

  DaemonContext &Context;
  const Listeners Callbacks;
  Membership Members;
  GrantLedger Grants;
  ConfigLedger Ledger;
  std::uint64_t LastConfigVersion = 0;
  TimePoint LastReclaim = TimePoint::min();
  std::atomic<bool> Leaving{false};
  bool LeaveRequested = false;
  bool WasValid = false;
  TimePoint LastPrune = TimePoint::min();
  std::unique_ptr<PeriodicThread> Thread;
  /// Null until the thread has started, because wake() may be called earlier.
  std::atomic<PeriodicThread *> ActiveThread{nullptr};
};

} // namespace apricotwing

#endif
