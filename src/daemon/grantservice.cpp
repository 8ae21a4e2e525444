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

std::vector<InstanceId> liveInstances(const SessionManager &Session) {
  std::vector<InstanceId> Result;
  for (const MemberRow &Member : Session.members())
    if (Member.Record.State == SessionState::Live)
      Result.push_back(Member.Record.Id.Instance);
  return Result;
}

} // namespace

GrantService::GrantService(DaemonContext &Context, RequestService &Requests,
                           const ListService &List)
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
    return Router.wantedRequests(Context.Time.now());
  });
  for (const auto &[Team, Unused] : Document->Teams) {
    const auto Found = Wanted.find(Team);
    adjustTeam(Team, Found == Wanted.end() ? 0 : Found->second, Holder);
  }
  publishTeams();
  Requests.dispatch();
}

void GrantService::setCapacities(const Config &Document) {
  const ListService::Snapshot Listed = List.latest();
  if (!Listed)
    return;
  const std::vector<InstanceId> Live = liveInstances(Context.Session);
  const auto Ensure = [&](const std::string &Pool,
                          const UnitAmounts &Capacity) {
    if (rendezvousOwner(Pool, Live) != Context.Values.Instance.Id)
      return;
    const auto Known = Capacities.find(Pool);
    if (Known != Capacities.end() && Known->second == Capacity)
      return;
    try {
      Ledger.ensureCapacity(Pool, Capacity);
      Capacities[Pool] = Capacity;
    } catch (const Error &Failure) {
      logFailure(Pool, Failure);
    }
  };
  for (const auto &[Upstream, Value] : Document.Upstreams) {
    UnitAmounts Slots;
    for (const ListedExecutor &Executor : Listed->Executors)
      if (Executor.Upstream == Upstream)
        Slots[Executor.Id] = Value.Slots;
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
  const std::lock_guard Lock(Mutex);
  const auto Found = Held.find(Pool);
  const UnitAmounts Present =
      Found == Held.end() ? UnitAmounts() : Found->second;
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
  FairParts[Pool] = Share.Fair;
  return Share.Granted;
}

void GrantService::adjustSlots(const std::string &Upstream,
                               const std::string &Holder) {
  const std::string Pool = keys::executorPool(Upstream);
  UnitAmounts Wanted;
  UnitAmounts Lowered;
  Requests.withRouter([&](RequestRouter &Router) {
    Wanted = Router.wantedSlots(Upstream, Context.Time.now());
  });
  limitToFairPart(Pool, Wanted);
  if (!needsRound(Pool, Wanted))
    return;
  {
    const std::lock_guard Lock(Mutex);
    Lowered = Held[Pool];
  }
  for (auto &[Executor, Amount] : Lowered) {
    const auto Found = Wanted.find(Executor);
    const std::int64_t Target = Found == Wanted.end() ? 0 : Found->second;
    Wanted[Executor] = Target;
    Amount = std::min(Amount, Target);
  }
  // Between the two calls on the router nothing may use what is given back.
  Requests.withRouter([&](RequestRouter &Router) {
    Router.setSlotGrants(Upstream, Lowered);
    for (const auto &[Executor, Used] : Router.usedSlots(Upstream))
      Wanted[Executor] = std::max(Wanted[Executor], Used);
  });
  try {
    const UnitAmounts Granted = adjusted(Pool, Holder, Wanted);
    const std::lock_guard Lock(Mutex);
    Held[Pool] = Granted;
    Lowered = Granted;
    // All of it may be in use in every round, so the use has to fall first.
    limitToFairPart(Pool, Lowered);
  } catch (const Error &Failure) {
    logFailure(Pool, Failure);
    const std::lock_guard Lock(Mutex);
    Held[Pool] = Lowered;
  }
  Requests.withRouter(
      [&](RequestRouter &Router) { Router.setSlotGrants(Upstream, Lowered); });
}

void GrantService::adjustTeam(const TeamName &Team, std::int64_t Wanted,
                              const std::string &Holder) {
  const std::string Pool = keys::requestPool(Team);
  std::int64_t Present = 0;
  {
    const std::lock_guard Lock(Mutex);
    Present = Held[Pool][RequestUnit];
  }
  UnitAmounts Limited = {{RequestUnit, Wanted}};
  limitToFairPart(Pool, Limited);
  std::int64_t Target = Limited[RequestUnit];
  // After a reduction of the limit every holder gives back what exceeds it.
  if (Overdraft[Pool] > 0)
    Target =
        std::max<std::int64_t>(0, std::min(Target, Present - Overdraft[Pool]));
  if (!needsRound(Pool, {{RequestUnit, Target}}) && Overdraft[Pool] == 0)
    return;
  {
    const std::lock_guard Lock(Mutex);
    Held[Pool][RequestUnit] = std::min(Present, Target);
  }
  publishTeams();
  const auto Used = Requests.withRouter(
      [](RequestRouter &Router) { return Router.usedRequests(); });
  const auto InUse = Used.find(Team);
  if (InUse != Used.end())
    Target = std::max(Target, InUse->second);
  try {
    const UnitAmounts Granted = adjusted(Pool, Holder, {{RequestUnit, Target}});
    const std::lock_guard Lock(Mutex);
    const auto Found = Granted.find(RequestUnit);
    Held[Pool][RequestUnit] = Found == Granted.end() ? 0 : Found->second;
  } catch (const Error &Failure) {
    logFailure(Pool, Failure);
  }
}

std::int64_t GrantService::usableRequests(const std::string &Pool) {
  UnitAmounts Usable = {{RequestUnit, Held[Pool][RequestUnit]}};
  limitToFairPart(Pool, Usable);
  return std::max<std::int64_t>(Usable[RequestUnit] - Overdraft[Pool], 0);
}

void GrantService::publishTeams() {
  const std::shared_ptr<const Config> Document = Context.Session.config();
  RequestRouter::Amounts ByTeam;
  {
    const std::lock_guard Lock(Mutex);
    for (const auto &[Team, Unused] : Document->Teams)
      ByTeam[Team] = usableRequests(keys::requestPool(Team));
  }
  Requests.withRouter(
      [&](RequestRouter &Router) { Router.setTeamGrants(ByTeam); });
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
