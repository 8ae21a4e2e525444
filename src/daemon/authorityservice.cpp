#include "daemon/authorityservice.h"

#include "core/shardmap.h"

#include <algorithm>
#include <set>

namespace apricotwing {

namespace {

/// Reading all pools costs one table scan, and stale holders are rare, so the
/// pools are not read in every round.
constexpr Duration ReclaimPeriod{5000};
constexpr Duration PrunePeriod{600000};
constexpr std::string_view PoolPrefix = "pool/";
constexpr std::uint32_t MaxPools = 10000;
constexpr int MaxRemoveAttempts = 5;

} // namespace

AuthorityService::AuthorityService(DaemonContext &Context, Listeners Callbacks)
    : Context(Context), Callbacks(std::move(Callbacks)),
      Members(Context.Table, Context.Codec, Context.Time, Context.Ids,
              Context.Session),
      Grants(Context.Table, Context.Codec, Context.Ids),
      Ledger(Context.Table, Context.Codec, Context.Time, Context.Ids,
             Context.Session) {}

void AuthorityService::start() {
  Thread = std::make_unique<PeriodicThread>(
      Context.Options.Authority.Renew, [this] { round(); },
      [this](const std::exception &Failure) {
        Context.Logger.failure(Component::Authority, "renewal round failed",
                               Failure);
      });
  ActiveThread = Thread.get();
}

void AuthorityService::wake() {
  if (PeriodicThread *Active = ActiveThread)
    Active->wake();
}

void AuthorityService::leave() {
  Leaving = true;
  wake();
}

void AuthorityService::round() {
  if (Leaving && !LeaveRequested) {
    Context.Session.leave();
    LeaveRequested = true;
  }
  const RoundReport Report = Context.Session.renew();
  if (Report.LostSession) {
    Context.Logger.error(Component::Authority, "session lost",
                         toString(*Report.LostSession));
    Callbacks.OnLost(*Report.LostSession);
  }
  const TimePoint Now = Context.Time.now();
  const bool Valid = Context.Session.isValid(Now);
  if (Valid != WasValid)
    Context.Logger.info(Component::Authority,
                        Valid ? "authority gained" : "authority ended",
                        toString(Context.Session.sessionId()));
  WasValid = Valid;
  Context.Metrics.setAuthorityLeft(Context.Session.validUntil() - Now);
  const std::shared_ptr<const Config> Newest = Context.Session.config();
  if (Newest && Newest->Version > LastConfigVersion) {
    LastConfigVersion = Newest->Version;
    Context.Metrics.setConfig(LastConfigVersion, Now);
    Context.Logger.info(Component::Config, "configuration in force",
                        "version " + std::to_string(LastConfigVersion));
    Callbacks.OnConfig(Newest);
  }
  Callbacks.OnRound(Report);
  if (Report.Outcome == RoundOutcome::NoConfig) {
    Ledger.bootstrap(Config{});
    return wake();
  }
  if (Report.Outcome == RoundOutcome::Extended) {
    Context.Metrics.authorityExtended();
    Context.Logger.warning(Component::Authority,
                           "store unreachable, authority extended by peers",
                           Report.Detail);
  }
  if (Report.Outcome == RoundOutcome::Failed)
    Context.Logger.warning(Component::Authority, "renewal failed",
                           Report.Detail);
  if (Report.Outcome != RoundOutcome::Renewed || Leaving)
    return;
  Members.observe(*Context.Session.view());
  fenceExpiredSessions();
  reclaimGrants();
  pruneProposals();
}

void AuthorityService::pruneProposals() {
  const TimePoint Now = Context.Time.now();
  if (LastPrune != TimePoint::min() && Now - LastPrune < PrunePeriod)
    return;
  LastPrune = Now;
  if (rendezvousOwner(keys::ProposalPrefix, Context.Session.liveInstances()) ==
      Context.Options.Instance.Id)
    Ledger.pruneProposals();
}

void AuthorityService::fenceExpiredSessions() {
  for (const SessionId &Expired : Members.fenceable(Context.Time.now())) {
    if (Members.fence(Expired) != FenceResult::Fenced)
      continue;
    Context.Metrics.sessionFenced();
    Context.Logger.warning(Component::Membership, "session fenced",
                           toString(Expired));
  }
  Members.removeFenced(Context.Time.now());
}

void AuthorityService::reclaimGrants() {
  const TimePoint Now = Context.Time.now();
  if (LastReclaim != TimePoint::min() && Now - LastReclaim < ReclaimPeriod)
    return;
  LastReclaim = Now;
  std::set<std::string> LiveSessions;
  for (const MemberRow &Member : Context.Session.members())
    if (Member.Record.State != SessionState::Fenced)
      LiveSessions.insert(toString(Member.Record.Id));
  const auto MayReclaim = [this, Now](const SessionId &Id) {
    return Members.mayReclaim(Id, Now);
  };
  for (const Row &Pool :
       Context.Table.scan(std::string(PoolPrefix), {}, MaxPools)) {
    const PoolRecord Record = Context.Codec.decodePool(Pool.Value);
    const bool HasStaleHolder = std::any_of(
        Record.Grants.begin(), Record.Grants.end(), [&](const auto &Grant) {
          const auto Holder = parseHolder(Grant.first);
          return Holder && !LiveSessions.contains(Grant.first) &&
                 MayReclaim(*Holder);
        });
    if (!HasStaleHolder)
      continue;
    const std::string Name = Pool.Key;
    const std::size_t Removed = Grants.reclaim(Name, MayReclaim);
    Context.Logger.info(Component::Grants, "grants reclaimed",
                        Name + ", " + std::to_string(Removed) + " holders");
  }
}

void AuthorityService::finish() {
  if (Thread)
    Thread->stop();
  for (int Attempt = 1;; ++Attempt) {
    try {
      return Context.Session.remove();
    } catch (const Error &Failure) {
      Context.Logger.failure(Component::Authority,
                             "cannot remove the session row", Failure);
      if (Attempt == MaxRemoveAttempts)
        return;
    }
  }
}

} // namespace apricotwing
