/// \file
/// Adjusts this instance's grants of executor slots and team limits to demand.
#ifndef APRICOTWING_DAEMON_GRANTSERVICE_H
#define APRICOTWING_DAEMON_GRANTSERVICE_H

#include "core/grantledger.h"
#include "daemon/context.h"
#include "daemon/instancelistservice.h"
#include "daemon/periodicthread.h"
#include "daemon/requestservice.h"

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace apricotwing {

/// Holds this instance's grants from the pools that interactive requests share.
/// A grant is lowered in the router before the pool's row is written, and
/// raised only after it was written, so that instances together never use more
/// than the pool has. Owned by the Daemon; runs on a thread of its own.
class GrantService {
public:
  GrantService(DaemonContext &Context, RequestService &Requests,
               const InstanceListService &Instances);

  /// Starts a round without waiting for the period to elapse. Thread-safe.
  void wake() { Thread.wake(); }

  /// Stops the thread and releases the grants that are not in use. An executor
  /// may still work on a request without answer; other instances reclaim its
  /// slot once the session has ended. Precondition: no request is open.
  void finish();

  /// Grants that this instance holds, by pool. Thread-safe.
  std::map<std::string, UnitAmounts> held() const;

private:
  /// State of writing the capacity of a pool.
  struct CapacityState {
    std::optional<UnitAmounts> LastComputed; ///< As computed in the last round.
    bool MustWrite = false;                 ///< The capacity has to be written.
    TimePoint LastWrite = TimePoint::min(); ///< Or check that it is stored.
  };

  void round();
  void setCapacities(const Config &Document);
  /// Sets the amounts that the router may use and returns the amounts that it
  /// is using.
  using UsageLimiter = std::function<UnitAmounts(const UnitAmounts &Usable)>;

  void adjustPool(const std::string &Pool, const std::string &Holder,
                  UnitAmounts Limits, const UsageLimiter &LimitUsage);
  void adjustSlots(const std::string &Upstream, const std::string &Holder);
  void adjustTeam(const TeamName &Team, std::int64_t Wanted,
                  const std::string &Holder);
  UnitAmounts heldAmounts(const std::string &Pool) const;
  std::map<std::string, UnitAmounts> usedAmounts();
  void releaseUnused(const std::string &Pool, const UnitAmounts &Used);
  UnitAmounts adjustLedger(const std::string &Pool, const std::string &Holder,
                           const UnitAmounts &Targets);
  bool isAdjustmentDue(const std::string &Pool,
                       const UnitAmounts &Wanted) const;
  void capToFairShare(const std::string &Pool, UnitAmounts &Wanted) const;
  void logFailure(const std::string &Pool, const Error &Failure);

  DaemonContext &Context;
  RequestService &Requests;
  const InstanceListService &Instances;
  GrantLedger Ledger;
  std::string CurrentHolder;
  std::map<std::string, CapacityState> Capacities; ///< By pool.
  /// Largest amount by which the grants of a unit exceed its capacity, by pool.
  std::map<std::string, std::int64_t> ExcessGrants;
  /// Equal shares of the units that another holder waits for, by pool.
  std::map<std::string, UnitAmounts> FairShares;
  std::map<std::string, UnitAmounts> LastWanted; ///< As of the last adjustment.
  RequestRouter::Amounts TeamLimits; ///< Amounts that the router may use.
  std::map<std::string, TimePoint> LastAdjustment;
  mutable std::mutex Mutex; ///< Guards Held.
  std::map<std::string, UnitAmounts> Held;
  PeriodicThread Thread;
};

} // namespace apricotwing

#endif
