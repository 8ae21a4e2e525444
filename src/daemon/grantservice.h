/// \file
/// Rounds that move grants of executor slots and team limits by demand.
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

/// Holds this instance's part of the pools of interactive requests. A grant is
/// lowered in the router before the row is written, and raised only after the
/// row was written. Owned by the Daemon; runs on a thread of its own.
class GrantService {
public:
  GrantService(DaemonContext &Context, RequestService &Requests,
               const InstanceListService &List);

  /// Runs a round soon. Thread-safe.
  void wake() { Thread.wake(); }

  /// Ends the thread and releases all grants. Call when no request is open.
  void finish();

  /// Grants in use by pool, for the state dump. Thread-safe.
  std::map<std::string, UnitAmounts> held() const;

private:
  /// What this instance knows of the capacity of a pool.
  struct CapacityState {
    std::optional<UnitAmounts> Seen; ///< Computed in the last round.
    bool IsDue = false;              ///< It has to be written.
    bool WasWritten = false;         ///< By this instance, at least once.
  };

  void round();
  void setCapacities(const Config &Document);
  /// Gives the router what it may use and returns what it has in use.
  using Publisher = std::function<UnitAmounts(const UnitAmounts &Usable)>;

  void adjustPool(const std::string &Pool, const std::string &Holder,
                  UnitAmounts Limits, const Publisher &Publish);
  void adjustSlots(const std::string &Upstream, const std::string &Holder);
  void adjustTeam(const TeamName &Team, std::int64_t Wanted,
                  const std::string &Holder);
  UnitAmounts heldOf(const std::string &Pool) const;
  UnitAmounts adjusted(const std::string &Pool, const std::string &Holder,
                       const UnitAmounts &Targets);
  bool needsRound(const std::string &Pool, const UnitAmounts &Wanted) const;
  void limitToFairPart(const std::string &Pool, UnitAmounts &Wanted) const;
  void logFailure(const std::string &Pool, const Error &Failure);

  DaemonContext &Context;
  RequestService &Requests;
  const InstanceListService &List;
  GrantLedger Ledger;
  std::string HolderInUse;
  std::map<std::string, CapacityState> Capacities; ///< By pool.
  std::map<std::string, std::int64_t> Overdraft;   ///< By pool, to give back.
  /// Equal parts of units that another holder waits for, by pool.
  std::map<std::string, UnitAmounts> FairParts;
  std::map<std::string, UnitAmounts> LastWanted; ///< In the last round.
  RequestRouter::Amounts TeamUsable; ///< What the router may use, by team.
  std::map<std::string, TimePoint> LastRound;
  mutable std::mutex Mutex; ///< Guards Held.
  std::map<std::string, UnitAmounts> Held;
  PeriodicThread Thread;
};

} // namespace apricotwing

#endif
