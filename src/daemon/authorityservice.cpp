#include "daemon/authorityservice.h"

#include "core/shardmap.h"

#include <algorithm>
#include <set>

namespace apricotwing {

namespace {

/// Reading all pools costs one scan; their stale holders are rare.
constexpr Duration ReclaimPeriod{5000};
constexpr Duration PrunePeriod{600000};
constexpr std::string_view PoolPrefix = "pool/";
constexpr std::uint32_t MaxPools = 10000;
constexpr int RemoveAttempts = 5;

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
      Context.Values.Authority.Renew, [this] { round(); },
      [this](const std::exception &Failure) {
        Context.Events.failure(Component::Authority, "renewal round failed",
                               Failure);
      });
  Running = Thread.get();
}

void AuthorityService::wake() {
  if (PeriodicThread *Started = Running)
    Started->wake();
}

void AuthorityService::leave() {
  Leaving = true;
  wake();
}

void AuthorityService::round() {
  if (Leaving && !LeaveNoted) {
    Context.Session.leave();
    LeaveNoted = true;
  }
  const RoundReport Report = Context.Session.renew();
  if (Report.LostSession) {
    Context.Events.error(Component::Authority, "session lost",
                         toString(*Report.LostSession));
    Callbacks.OnLost(*Report.LostSession);
  }
  const TimePoint Now = Context.Time.now();
  const bool Valid = Context.Session.isValid(Now);
  if (Valid != WasValid)
    Context.Events.info(Component::Authority,
                        Valid ? "authority gained" : "authority ended",
                        toString(Context.Session.sessionId()));
  WasValid = Valid;
  Context.Counts.setAuthorityLeft(Context.Session.validUntil() - Now);
  const std::shared_ptr<const Config> Newest = Context.Session.config();
  if (Newest && Newest->Version > SeenConfig) {
    SeenConfig = Newest->Version;
    Context.Counts.setConfig(SeenConfig, Now);
    Context.Events.info(Component::Config, "configuration in force",
                        "version " + std::to_string(SeenConfig));
    Callbacks.OnConfig(Newest);
  }
  Callbacks.OnRound(Report);
  if (Report.Outcome == RoundOutcome::NoConfig) {
    Ledger.bootstrap(Config{});
    return wake();
  }
  if (Report.Outcome == RoundOutcome::Extended) {
    Context.Counts.authorityExtended();
    Context.Events.warning(Component::Authority,
                           "store unreachable, authority extended by peers",
                           Report.Detail);
  }
  if (Report.Outcome == RoundOutcome::Failed)
    Context.Events.warning(Component::Authority, "renewal failed",
                           Report.Detail);
  if (Report.Outcome != RoundOutcome::Renewed || Leaving)
    return;
  Members.observe(*Context.Session.view());
  fenceEnded();
  reclaimGrants();
  pruneProposals();
}

void AuthorityService::pruneProposals() {
  const TimePoint Now = Context.Time.now();
  if (LastPrune != TimePoint::min() && Now - LastPrune < PrunePeriod)
    return;
  LastPrune = Now;
  if (rendezvousOwner(keys::ProposalPrefix, Context.Session.liveInstances()) ==
      Context.Values.Instance.Id)
    Ledger.pruneProposals();
}

void AuthorityService::fenceEnded() {
  for (const SessionId &Ended : Members.fenceable(Context.Time.now())) {
    if (Members.fence(Ended) != FenceResult::Fenced)
      continue;
    Context.Counts.sessionFenced();
    Context.Events.warning(Component::Membership, "session fenced",
                           toString(Ended));
  }
  Members.removeFenced(Context.Time.now());
}

void AuthorityService::reclaimGrants() {
  const TimePoint Now = Context.Time.now();
  if (LastReclaim != TimePoint::min() && Now - LastReclaim < ReclaimPeriod)
    return;
  LastReclaim = Now;
  std::set<std::string> Live;
  for (const MemberRow &Member : Context.Session.members())
    if (Member.Record.State != SessionState::Fenced)
      Live.insert(toString(Member.Record.Id));
  const auto MayReclaim = [this, Now](const SessionId &Id) {
    return Members.mayReclaim(Id, Now);
  };
  for (const Row &Pool :
       Context.Table.scan(std::string(PoolPrefix), {}, MaxPools)) {
    const PoolRecord Record = Context.Codec.decodePool(Pool.Value);
    const bool HasStaleHolder = std::any_of(
        Record.Grants.begin(), Record.Grants.end(), [&](const auto &Grant) {
          const auto Holder = parseHolder(Grant.first);
          return Holder && !Live.contains(Grant.first) && MayReclaim(*Holder);
        });
    if (!HasStaleHolder)
      continue;
    const std::string Name = Pool.Key;
    const std::size_t Removed = Grants.reclaim(Name, MayReclaim);
    Context.Events.info(Component::Grants, "grants reclaimed",
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
      Context.Events.failure(Component::Authority,
                             "cannot remove the session row", Failure);
      if (Attempt == RemoveAttempts)
        return;
    }
  }
}

} // namespace apricotwing
