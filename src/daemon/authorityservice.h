/// \file
/// The renewal thread: session, membership, fencing and reclaiming of grants.
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

/// Keeps this instance's authority alive and ends that of instances that no
/// longer renew. Owned by the Daemon.
class AuthorityService {
public:
  struct Listeners {
    /// After each round, on the renewal thread.
    std::function<void(const RoundReport &)> OnRound;
    /// After a round that read a newer configuration.
    std::function<void(const std::shared_ptr<const Config> &)> OnConfig;
    /// The session was lost; everything tied to it must be given up.
    std::function<void(const SessionId &)> OnLost;
  };

  AuthorityService(DaemonContext &Context, Listeners Callbacks);

  /// Starts the renewal thread. Call once, after the addresses are bound.
  void start();

  /// Runs a round soon. Thread-safe.
  void wake();

  /// Marks the session as leaving from the next round on. Thread-safe.
  void leave();

  /// Ends the renewal thread and deletes the session row. Call after shards
  /// and grants are released.
  void finish();

private:
  void round();
  void fenceEnded();
  void reclaimGrants();
  void pruneProposals();

  DaemonContext &Context;
  const Listeners Callbacks;
  Membership Members;
  GrantLedger Grants;
  ConfigLedger Ledger;
  std::uint64_t SeenConfig = 0;
  TimePoint LastReclaim = TimePoint::min();
  std::atomic<bool> Leaving{false};
  bool LeaveNoted = false;
  bool WasValid = false;
  TimePoint LastPrune = TimePoint::min();
  std::unique_ptr<PeriodicThread> Thread;
  /// Set once the thread runs, because others may call wake() before.
  std::atomic<PeriodicThread *> Running{nullptr};
};

} // namespace apricotwing

#endif
