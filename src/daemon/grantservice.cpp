#include "daemon/grantservice.h"

#include "core/shardmap.h"

#include <algorithm>
#include <set>
#include <utility>

namespace apricotwing {

namespace {

constexpr Duration RoundPeriod{200};

/// Interval at which a pool is read without a change of demand, to detect a
/// lower capacity or freed units.
constexpr Duration RefreshPeriod{2000};

/// Interval at which the preferred instance checks that the capacity of a pool
/// is stored. A slow instance may have overwritten it with an older one.
constexpr Duration CapacityPeriod{5000};

/// Minimum time before units that a pool could not grant are requested again,
/// so that a saturated cell does not use up the table service's read capacity.
constexpr Duration RetryPeriod{500};

/// Name of the only unit in the pools of concurrent requests.
const std::string RequestUnit = "requests";

/// Returns the minimum of amount and limit for each unit that has a limit.
UnitAmounts limitAmounts(const UnitAmounts &Amounts,
                         const UnitAmounts &Limits) {
  UnitAmounts Result;
  for (const auto &[Unit, Limit] : Limits) {
    const auto Found = Amounts.find(Unit);
    Result[Unit] = std::min(Found == Amounts.end() ? 0 : Found->second, Limit);
  }
  return Result;
}

} // namespace

GrantService::GrantService(DaemonContext &Context, RequestService &Requests,
                           const InstanceListService &Instances)
    : Context(Context), Requests(Requests), Instances(Instances),
      Ledger(Context.Table, Context.Codec, Context.Ids),
      Thread(
          RoundPeriod, [this] { round(); },
          [&Context](const std::exception &Failure) {
            Context.Logger.failure(Component::Grants, "round failed", Failure);
          }) {}

std::map<std::string, UnitAmounts> GrantService::held() const {
  const std::lock_guard Lock(Mutex);
  return Held;
}

void GrantService::logFailure(const std::string &Pool, const Error &Failure) {
  Context.Logger.failure(Component::Grants, "cannot adjust pool " + Pool,
                         Failure);
}

void GrantService::round() {
  const SessionId CurrentSession = Context.Session.sessionId();
  const std::string Holder = toString(CurrentSession);
  if (Holder != CurrentHolder) {
    Requests.resetGrants(CurrentSession);
    CurrentHolder = Holder;
    LastAdjustment.clear();
    ExcessGrants.clear();
    FairShares.clear();
    LastWanted.clear();
    TeamLimits.clear();
    const std::lock_guard Lock(Mutex);
    Held.clear();
  }
  const std::shared_ptr<const Config> Document = Context.Session.config();
  if (!Document || !Context.hasAuthority())
    return;
  setCapacities(*Document);
  for (const auto &[Upstream, Unused] : Document->Upstreams)
    adjustSlots(Upstream, Holder);
  const auto Wanted = Requests.withRouter([&](RequestRouter &Router) {
    return Router.desiredRequests(Context.Time.now());
  });
  // Includes teams that were removed from the configuration, so that their
  // grants are released.
  std::set<TeamName> Teams;
  for (const auto &[Team, Unused] : Document->Teams)
    Teams.insert(Team);
  for (const auto &[Team, Unused] : TeamLimits)
    Teams.insert(Team);
  for (const TeamName &Team : Teams) {
    const auto Found = Wanted.find(Team);
    adjustTeam(Team, Found == Wanted.end() ? 0 : Found->second, Holder);
    if (!Document->Teams.contains(Team) &&
        heldAmounts(keys::requestPool(Team))[RequestUnit] == 0)
      TeamLimits.erase(Team);
  }
  Requests.dispatch();
}

UnitAmounts GrantService::heldAmounts(const std::string &Pool) const {
  const std::lock_guard Lock(Mutex);
  const auto Found = Held.find(Pool);
  return Found == Held.end() ? UnitAmounts() : Found->second;
}

void GrantService::setCapacities(const Config &Document) {
  const InstanceListService::Snapshot Snapshot = Instances.latest();
  if (!Snapshot)
    return;
  const TimePoint Now = Context.Time.now();
  const std::vector<InstanceId> LiveInstances = Context.Session.liveInstances();
  const auto EnsureCapacity = [&](const std::string &Pool,
                                  const UnitAmounts &Capacity) {
    CapacityState &State = Capacities[Pool];
    // Only the preferred instance creates a pool. A changed capacity is written
    // by every instance that detects it, because the preferred instance may be
    // dead and not yet fenced, and a lower limit must apply within seconds.
    if (State.LastComputed && *State.LastComputed != Capacity)
      State.MustWrite = true;
    const bool IsCheckDue = State.LastWrite == TimePoint::min() ||
                            Now - State.LastWrite >= CapacityPeriod;
    if (IsCheckDue &&
        rendezvousOwner(Pool, LiveInstances) == Context.Options.Instance.Id)
      State.MustWrite = true;
    State.LastComputed = Capacity;
    if (!State.MustWrite)
      return;
    try {
      Ledger.ensureCapacity(Pool, Capacity);
      State.MustWrite = false;
      State.LastWrite = Now;
    } catch (const Error &Failure) {
      logFailure(Pool, Failure);
    }
  };
  for (const auto &[Upstream, Value] : Document.Upstreams) {
    UnitAmounts Slots;
    for (const ListedExecutor &Executor : Snapshot->Executors)
      if (Executor.Upstream == Upstream)
        Slots[Executor.Id] = std::min(Value.Slots, Value.Connections);
    EnsureCapacity(keys::executorPool(Upstream), Slots);
  }
  for (const auto &[Team, Value] : Document.Teams)
    EnsureCapacity(keys::requestPool(Team),
                   {{RequestUnit, Value.Limit.Requests}});
}

bool GrantService::isAdjustmentDue(const std::string &Pool,
                                   const UnitAmounts &Wanted) const {
  const auto Last = LastAdjustment.find(Pool);
  if (Last == LastAdjustment.end())
    return true;
  const Duration Elapsed = Context.Time.now() - Last->second;
  const UnitAmounts HeldAmounts = heldAmounts(Pool);
  const auto Exceeds = [&](const auto &Entry, const UnitAmounts &Reference) {
    const auto Found = Reference.find(Entry.first);
    return Entry.second > (Found == Reference.end() ? 0 : Found->second);
  };
  const auto Previous = LastWanted.find(Pool);
  bool IsUnmet = false;
  bool IsNewDemand = false;
  for (const auto &Entry : Wanted) {
    if (!Exceeds(Entry, HeldAmounts))
      continue;
    IsUnmet = true;
    IsNewDemand |=
        Previous == LastWanted.end() || Exceeds(Entry, Previous->second);
  }
  if (IsNewDemand || (IsUnmet && Elapsed >= RetryPeriod))
    return true;
  const bool IsUsed =
      std::any_of(HeldAmounts.begin(), HeldAmounts.end(),
                  [](const auto &Entry) { return Entry.second > 0; });
  return IsUsed && Elapsed >= RefreshPeriod;
}

void GrantService::capToFairShare(const std::string &Pool,
                                  UnitAmounts &Wanted) const {
  const auto Shares = FairShares.find(Pool);
  if (Shares == FairShares.end())
    return;
  for (auto &[Unit, Amount] : Wanted)
    if (const auto FairShare = Shares->second.find(Unit);
        FairShare != Shares->second.end())
      Amount = std::min(Amount, FairShare->second);
}

UnitAmounts GrantService::adjustLedger(const std::string &Pool,
                                       const std::string &Holder,
                                       const UnitAmounts &Targets) {
  LastAdjustment[Pool] = Context.Time.now();
  LastWanted[Pool] = Targets;
  const PoolShare Share = Ledger.adjust(Pool, Holder, Targets);
  std::int64_t Excess = 0;
  for (const auto &[Unit, Free] : Share.Free)
    Excess = std::max(Excess, -Free);
  ExcessGrants[Pool] = Excess;
  FairShares[Pool] = Share.FairShare;
  return Share.Granted;
}

void GrantService::adjustPool(const std::string &Pool,
                              const std::string &Holder, UnitAmounts Limits,
                              const UsageLimiter &LimitUsage) {
  UnitAmounts Granted = heldAmounts(Pool);
  for (const auto &[Unit, Unused] : Granted)
    Limits.try_emplace(Unit, 0);
  capToFairShare(Pool, Limits);
  // After the capacity was reduced, every holder returns the excess.
  if (const std::int64_t Excess = ExcessGrants[Pool]; Excess > 0)
    for (auto &[Unit, Limit] : Limits)
      Limit = std::clamp<std::int64_t>(Granted[Unit] - Excess, 0, Limit);
  else if (!isAdjustmentDue(Pool, Limits))
    return;
  // Units that are returned must not be in use, so the router is limited first.
  UnitAmounts Targets = Limits;
  for (const auto &[Unit, Used] : LimitUsage(limitAmounts(Granted, Limits)))
    Targets[Unit] = std::max(Targets[Unit], Used);
  try {
    Granted = adjustLedger(Pool, Holder, Targets);
  } catch (const Error &Failure) {
    logFailure(Pool, Failure);
    Granted = limitAmounts(Granted, Targets);
  }
  // If more is granted than the limit, the router's usage has to fall to the
  // limit before the remaining units can be returned.
  LimitUsage(limitAmounts(Granted, Limits));
  const std::lock_guard Lock(Mutex);
  Held[Pool] = std::move(Granted);
}

void GrantService::adjustSlots(const std::string &Upstream,
                               const std::string &Holder) {
  const auto Wanted = Requests.withRouter([&](RequestRouter &Router) {
    return Router.desiredSlots(Upstream, Context.Time.now());
  });
  adjustPool(keys::executorPool(Upstream), Holder, Wanted,
             [&](const UnitAmounts &Usable) {
               return Requests.withRouter([&](RequestRouter &Router) {
                 Router.setSlotGrants(Upstream, Usable);
                 return Router.usedSlots(Upstream);
               });
             });
}

void GrantService::adjustTeam(const TeamName &Team, std::int64_t Wanted,
                              const std::string &Holder) {
  adjustPool(keys::requestPool(Team), Holder, {{RequestUnit, Wanted}},
             [&](const UnitAmounts &Usable) {
               TeamLimits[Team] = Usable.at(RequestUnit);
               return Requests.withRouter([&](RequestRouter &Router) {
                 Router.setTeamGrants(TeamLimits);
                 const auto Used = Router.usedRequests();
                 const auto Found = Used.find(Team);
                 return UnitAmounts{
                     {RequestUnit, Found == Used.end() ? 0 : Found->second}};
               });
             });
}

/// Amounts in use in all pools that were adjusted, by pool.
std::map<std::string, UnitAmounts> GrantService::usedAmounts() {
  std::map<std::string, UnitAmounts> Result;
  const std::shared_ptr<const Config> Document = Context.Session.config();
  Requests.withRouter([&](RequestRouter &Router) {
    if (Document)
      for (const auto &[Upstream, Unused] : Document->Upstreams)
        Result[keys::executorPool(Upstream)] = Router.usedSlots(Upstream);
    for (const auto &[Team, Used] : Router.usedRequests())
      Result[keys::requestPool(Team)] = {{RequestUnit, Used}};
  });
  return Result;
}

void GrantService::releaseUnused(const std::string &Pool,
                                 const UnitAmounts &Used) {
  if (Used.empty())
    return Ledger.releaseAll(Pool, CurrentHolder);
  UnitAmounts Targets = heldAmounts(Pool);
  for (auto &[Unit, Amount] : Targets) {
    const auto Found = Used.find(Unit);
    Amount = Found == Used.end() ? 0 : std::min(Amount, Found->second);
  }
  Ledger.adjust(Pool, CurrentHolder, Targets);
}

void GrantService::finish() {
  Thread.stop();
  std::map<std::string, UnitAmounts> Used = usedAmounts();
  for (const auto &[Pool, Unused] : held()) {
    try {
      releaseUnused(Pool, Used[Pool]);
    } catch (const Error &Failure) {
      // Other instances reclaim the grants once the session row is deleted.
      logFailure(Pool, Failure);
    }
  }
}

} // namespace apricotwing
