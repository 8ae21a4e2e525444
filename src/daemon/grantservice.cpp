#include "daemon/grantservice.h"

#include "core/shardmap.h"

#include <algorithm>
#include <set>
#include <utility>

namespace apricotwing {

namespace {

constexpr Duration RoundPeriod{200};

/// A pool is looked at this often even without a change of demand, so that a
/// lower capacity and freed units are noticed.
constexpr Duration RefreshPeriod{2000};

/// A pool that gave less than was wanted is asked again after this time, so
/// that a saturated cell does not use up the reads of the table service.
constexpr Duration RetryPeriod{500};

/// The unit of the pools of concurrent requests.
const std::string RequestUnit = "requests";

/// The smaller amount of each unit; a unit without a limit is left out.
UnitAmounts smaller(const UnitAmounts &Amounts, const UnitAmounts &Limits) {
  UnitAmounts Result;
  for (const auto &[Unit, Limit] : Limits) {
    const auto Found = Amounts.find(Unit);
    Result[Unit] = std::min(Found == Amounts.end() ? 0 : Found->second, Limit);
  }
  return Result;
}

} // namespace

GrantService::GrantService(DaemonContext &Context, RequestService &Requests,
                           const InstanceListService &List)
    : Context(Context), Requests(Requests), List(List),
      Ledger(Context.Table, Context.Codec, Context.Ids),
      Thread(
          RoundPeriod, [this] { round(); },
          [&Context](const std::exception &Failure) {
            Context.Events.failure(Component::Grants, "round failed", Failure);
          }) {}

std::map<std::string, UnitAmounts> GrantService::held() const {
  const std::lock_guard Lock(Mutex);
  return Held;
}

void GrantService::logFailure(const std::string &Pool, const Error &Failure) {
  Context.Events.failure(Component::Grants, "cannot adjust pool " + Pool,
                         Failure);
}

void GrantService::round() {
  const SessionId Own = Context.Session.sessionId();
  const std::string Holder = toString(Own);
  if (Holder != HolderInUse) {
    Requests.resetGrants(Own);
    HolderInUse = Holder;
    LastRound.clear();
    Overdraft.clear();
    FairParts.clear();
    LastWanted.clear();
    TeamUsable.clear();
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
  // Teams that were removed are included, so that their grants are released.
  std::set<TeamName> Teams;
  for (const auto &[Team, Unused] : Document->Teams)
    Teams.insert(Team);
  for (const auto &[Team, Unused] : TeamUsable)
    Teams.insert(Team);
  for (const TeamName &Team : Teams) {
    const auto Found = Wanted.find(Team);
    adjustTeam(Team, Found == Wanted.end() ? 0 : Found->second, Holder);
    if (!Document->Teams.contains(Team) &&
        heldOf(keys::requestPool(Team))[RequestUnit] == 0)
      TeamUsable.erase(Team);
  }
  Requests.dispatch();
}

UnitAmounts GrantService::heldOf(const std::string &Pool) const {
  const std::lock_guard Lock(Mutex);
  const auto Found = Held.find(Pool);
  return Found == Held.end() ? UnitAmounts() : Found->second;
}

void GrantService::setCapacities(const Config &Document) {
  const InstanceListService::Snapshot Listed = List.latest();
  if (!Listed)
    return;
  const std::vector<InstanceId> Live = Context.Session.liveInstances();
  const auto Ensure = [&](const std::string &Pool,
                          const UnitAmounts &Capacity) {
    CapacityState &Known = Capacities[Pool];
    // One instance sets up a pool. A change is written by every instance that
    // sees it, because the preferred one may be dead and not yet fenced, and a
    // lower limit must take hold within seconds.
    if (Known.Seen && *Known.Seen != Capacity)
      Known.IsDue = true;
    if (!Known.WasWritten &&
        rendezvousOwner(Pool, Live) == Context.Values.Instance.Id)
      Known.IsDue = true;
    Known.Seen = Capacity;
    if (!Known.IsDue)
      return;
    try {
      Ledger.ensureCapacity(Pool, Capacity);
      Known.IsDue = false;
      Known.WasWritten = true;
    } catch (const Error &Failure) {
      logFailure(Pool, Failure);
    }
  };
  for (const auto &[Upstream, Value] : Document.Upstreams) {
    UnitAmounts Slots;
    for (const ListedExecutor &Executor : Listed->Executors)
      if (Executor.Upstream == Upstream)
        Slots[Executor.Id] = std::min(Value.Slots, Value.Connections);
    Ensure(keys::executorPool(Upstream), Slots);
  }
  for (const auto &[Team, Value] : Document.Teams)
    Ensure(keys::requestPool(Team), {{RequestUnit, Value.Limit.Requests}});
}

bool GrantService::needsRound(const std::string &Pool,
                              const UnitAmounts &Wanted) const {
  const auto Last = LastRound.find(Pool);
  if (Last == LastRound.end())
    return true;
  const Duration Since = Context.Time.now() - Last->second;
  const UnitAmounts Present = heldOf(Pool);
  const auto IsMore = [&](const auto &Entry, const UnitAmounts &Than) {
    const auto Other = Than.find(Entry.first);
    return Entry.second > (Other == Than.end() ? 0 : Other->second);
  };
  const auto Before = LastWanted.find(Pool);
  bool IsUnmet = false;
  bool IsNewDemand = false;
  for (const auto &Entry : Wanted) {
    if (!IsMore(Entry, Present))
      continue;
    IsUnmet = true;
    IsNewDemand |= Before == LastWanted.end() || IsMore(Entry, Before->second);
  }
  if (IsNewDemand || (IsUnmet && Since >= RetryPeriod))
    return true;
  const bool IsUsed =
      std::any_of(Present.begin(), Present.end(),
                  [](const auto &Entry) { return Entry.second > 0; });
  return IsUsed && Since >= RefreshPeriod;
}

void GrantService::limitToFairPart(const std::string &Pool,
                                   UnitAmounts &Wanted) const {
  const auto Parts = FairParts.find(Pool);
  if (Parts == FairParts.end())
    return;
  for (auto &[Unit, Amount] : Wanted)
    if (const auto Part = Parts->second.find(Unit); Part != Parts->second.end())
      Amount = std::min(Amount, Part->second);
}

UnitAmounts GrantService::adjusted(const std::string &Pool,
                                   const std::string &Holder,
                                   const UnitAmounts &Targets) {
  LastRound[Pool] = Context.Time.now();
  LastWanted[Pool] = Targets;
  const PoolShare Share = Ledger.adjust(Pool, Holder, Targets);
  std::int64_t Excess = 0;
  for (const auto &[Unit, Free] : Share.Free)
    Excess = std::max(Excess, -Free);
  Overdraft[Pool] = Excess;
  FairParts[Pool] = Share.FairShare;
  return Share.Granted;
}

void GrantService::adjustPool(const std::string &Pool,
                              const std::string &Holder, UnitAmounts Limits,
                              const Publisher &Publish) {
  UnitAmounts Granted = heldOf(Pool);
  for (const auto &[Unit, Unused] : Granted)
    Limits.try_emplace(Unit, 0);
  limitToFairPart(Pool, Limits);
  // After a reduction of the capacity every holder gives back what exceeds it.
  if (const std::int64_t Excess = Overdraft[Pool]; Excess > 0)
    for (auto &[Unit, Limit] : Limits)
      Limit = std::clamp<std::int64_t>(Granted[Unit] - Excess, 0, Limit);
  else if (!needsRound(Pool, Limits))
    return;
  // Nothing may use what is given back, so the use is limited first.
  UnitAmounts Targets = Limits;
  for (const auto &[Unit, Used] : Publish(smaller(Granted, Limits)))
    Targets[Unit] = std::max(Targets[Unit], Used);
  try {
    Granted = adjusted(Pool, Holder, Targets);
  } catch (const Error &Failure) {
    logFailure(Pool, Failure);
    Granted = smaller(Granted, Targets);
  }
  // Where more is granted than the limit, the use has to fall to the limit
  // before the rest can be given back.
  Publish(smaller(Granted, Limits));
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
               TeamUsable[Team] = Usable.at(RequestUnit);
               return Requests.withRouter([&](RequestRouter &Router) {
                 Router.setTeamGrants(TeamUsable);
                 const auto Used = Router.usedRequests();
                 const auto Found = Used.find(Team);
                 return UnitAmounts{
                     {RequestUnit, Found == Used.end() ? 0 : Found->second}};
               });
             });
}

void GrantService::finish() {
  Thread.stop();
  std::set<std::string> Pools;
  for (const auto &[Pool, Unused] : held())
    Pools.insert(Pool);
  for (const std::string &Pool : Pools) {
    try {
      Ledger.releaseAll(Pool, HolderInUse);
    } catch (const Error &Failure) {
      // The grants are reclaimed after the session row has been deleted.
      logFailure(Pool, Failure);
    }
  }
}

} // namespace apricotwing
