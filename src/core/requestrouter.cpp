#include "core/requestrouter.h"

#include "core/executorpool.h"
#include "core/fairqueue.h"
#include "core/recentpeak.h"

#include <algorithm>
#include <array>
#include <set>
#include <unordered_map>
#include <utility>

namespace apricotwing {

namespace {

using namespace std::chrono_literals;

/// Maximum number of sends of one request, including the first.
constexpr std::uint32_t MaxSends = 4;

/// A request with less time left is not sent. Its response would hardly arrive
/// in time, and a definite "not run" is more useful to the caller than an
/// unknown outcome.
constexpr Duration MinSendTime = 5ms;

/// The timeout of an idempotent request is only half of the remaining time if
/// the mean latency is less than a quarter of that half, so that there is time
/// left to retry at another executor.
constexpr int RetryTimeFactor = 4;

/// If the deadline ended a send sooner than this, the send is not counted as a
/// failure of the executor.
constexpr Duration MinTimeoutForHealth = 1s;

constexpr int FirstServerErrorStatus = 500;

constexpr std::array<std::pair<CompletionAction, std::string_view>, 4>
    CompletionActionNames = {{
        {CompletionAction::Deliver, "deliver"},
        {CompletionAction::Retry, "retry"},
        {CompletionAction::Fail, "fail"},
        {CompletionAction::Ignore, "ignore"},
    }};

Error noAuthority() {
  return {ErrorKind::NoAuthority,
          "this instance has no valid session in the table service",
          "send the request again; the load balancer picks another instance"};
}

Error draining() {
  return {ErrorKind::Draining, "this instance is shutting down",
          "send the request again; the load balancer picks another instance"};
}

Error overloaded(const std::string &Message) {
  return {ErrorKind::Overloaded, Message,
          "send fewer requests at a time, or allow a later deadline"};
}

Error unknownTeam(const TeamName &Team) {
  return {ErrorKind::Forbidden, "team '" + Team + "' does not exist",
          "ask an operator to add the team"};
}

Error revokedKey() {
  return {ErrorKind::UnknownKey, "the key was revoked", "use an active key"};
}

Error unknownUpstream(const std::string &Upstream) {
  return {ErrorKind::NotFound, "upstream '" + Upstream + "' is not configured",
          "check the name, or ask an operator to add the upstream"};
}

Error noTeamLimit(const TeamName &Team) {
  return {ErrorKind::LimitReached,
          "the limit of team '" + Team + "' permits no interactive requests",
          "ask an operator to raise the team's limit of requests"};
}

Error limitReached(const TeamName &Team) {
  return {ErrorKind::LimitReached,
          "team '" + Team +
              "' has reached its limit of concurrent requests and "
              "its queue is full",
          "send fewer requests at a time, or ask an operator for a higher "
          "limit"};
}

} // namespace

std::string_view completionActionName(CompletionAction Value) {
  for (const auto &[Known, Name] : CompletionActionNames)
    if (Known == Value)
      return Name;
  return "ignore";
}

struct RequestRouter::State {
  using Serial = ExecutorPool::Serial;

  struct Team {
    TeamName Name;
    bool Configured = false;
    std::uint32_t Share = 1;
    std::int64_t Limit = 0;
    std::int64_t Granted = 0;
    std::int64_t Taken = 0;
    std::size_t Queued = 0;
    RecentPeak Peak;

    bool hasUnit() const { return Taken < std::min(Granted, Limit); }
  };

  struct Upstream {
    Upstream(const InstanceId &Instance, const std::string &Zone)
        : Pool(Instance, Zone) {}

    bool Configured = false;
    ExecutorPool Pool;
    FairQueue Queue;
  };

  enum class Phase { Queued, Sending };

  struct Request {
    RequestMetadata Metadata;
    std::uint64_t Sequence = 0;
    Team *Owner = nullptr;
    Upstream *Target = nullptr;
    Phase CurrentPhase = Phase::Queued;
    std::uint32_t Sends = 0;
    /// A send is in doubt, so the outcome can no longer be NotRun.
    bool MayHaveRun = false;
    std::vector<Serial> Tried;
    Serial Executor = 0; ///< Executor of the current send.
    TimePoint Accepted;  ///< Time of submission.
    TimePoint Due;       ///< Its key in DueTimes.

    Outcome outcome() const {
      return MayHaveRun ? Outcome::Unknown : Outcome::NotRun;
    }
    QueueEntry entry() const {
      return {Metadata.Deadline, Sequence, Sends > 0};
    }
  };

  /// A slot and a unit that are held because their send is in doubt.
  struct InDoubtSlot {
    Upstream *Target = nullptr;
    Team *Owner = nullptr;
    Serial Executor = 0;
  };

  explicit State(RouterOptions Options) : Options(std::move(Options)) {}

  Team &ensureTeam(const TeamName &Name);
  Upstream &ensureUpstream(const std::string &Name);
  std::optional<Error> refusalByConfig(const RequestMetadata &Metadata);
  std::optional<Error> refusal(const RequestMetadata &Metadata, TimePoint Now);
  std::optional<Error> refusalByQueue(const RequestMetadata &Metadata,
                                      TimePoint Now);
  std::optional<Error> refusalByFullQueue(const Team &Owner);
  bool evictFor(const Team &Owner);
  Duration expectedWait(const RequestMetadata &Metadata);
  void accept(const RequestMetadata &Metadata, TimePoint Now);
  void dispatchQueue(Upstream &Target, TimePoint Now,
                     std::vector<RequestSend> &Sends);
  bool trySend(Upstream &Target, const QueueEntry &Entry, TimePoint Now,
               std::vector<RequestSend> &Sends);
  Duration timeoutOf(const Request &Req, TimePoint Now) const;
  void expire(TimePoint Now);
  void expireOne(Request &Req, TimePoint Now);
  void holdInDoubt(const Request &Req, TimePoint Now);
  void releaseExpiredHolds(TimePoint Now);
  void enqueue(Request &Req);
  void dequeue(Request &Req);
  void reschedule(Request &Req, TimePoint Due);
  void releaseSlot(const InDoubtSlot &Slot, TimePoint Now);
  void noteHealth(const Request &Req, const SendReport &Report, TimePoint Now);
  CompletionResult handleReport(Request &Req, const SendReport &Report,
                                TimePoint Now);
  CompletionResult handleInDoubt(Request &Req, const SendReport &Report,
                                 TimePoint Now);
  CompletionResult handleNotRun(Request &Req, const SendReport &Report,
                                TimePoint Now);
  CompletionResult retry(Request &Req, TimePoint Now);
  CompletionResult fail(Request &Req, const Error &Reason);
  Error withOutcome(const Request &Req, const Error &Reason) const;
  void queueFailure(Request &Req, const Error &Reason);
  void countFailure(Outcome Result);
  void erase(Request &Req);
  Request *find(const std::string &Id);

  const RouterOptions Options;
  std::map<TeamName, Team> Teams;
  std::map<std::string, Upstream> Upstreams;
  std::unordered_map<std::string, TeamName> KeyTeams;
  std::unordered_map<std::uint64_t, Request> Requests;
  std::unordered_map<std::string, std::uint64_t> ById;
  std::set<std::pair<TimePoint, std::uint64_t>> DueTimes;
  std::multimap<TimePoint, InDoubtSlot> InDoubtSlots;
  /// Failures that the next dispatch() returns.
  std::vector<RequestFailure> PendingFailures;
  RetryBudget Budget;
  TimePoint AuthorityUntil = TimePoint::min();
  bool Draining = false;
  std::uint64_t LastSequence = 0;
  std::size_t Queued = 0;
  RouterStats Counters;
};

RequestRouter::State::Team &
RequestRouter::State::ensureTeam(const TeamName &Name) {
  Team &Result = Teams[Name];
  Result.Name = Name;
  return Result;
}

RequestRouter::State::Upstream &
RequestRouter::State::ensureUpstream(const std::string &Name) {
  return Upstreams.try_emplace(Name, Options.Instance, Options.Zone)
      .first->second;
}

RequestRouter::State::Request *
RequestRouter::State::find(const std::string &Id) {
  const auto It = ById.find(Id);
  return It == ById.end() ? nullptr : &Requests.at(It->second);
}

std::optional<Error>
RequestRouter::State::refusalByConfig(const RequestMetadata &Metadata) {
  const auto Upstream = Upstreams.find(Metadata.Upstream);
  if (Upstream == Upstreams.end() || !Upstream->second.Configured)
    return unknownUpstream(Metadata.Upstream);
  const auto Owner = Teams.find(Metadata.Team);
  if (Owner == Teams.end() || !Owner->second.Configured)
    return unknownTeam(Metadata.Team);
  if (!Metadata.KeySha256.empty()) {
    const auto Key = KeyTeams.find(Metadata.KeySha256);
    if (Key == KeyTeams.end() || Key->second != Metadata.Team)
      return revokedKey();
  }
  if (Owner->second.Limit == 0)
    return noTeamLimit(Metadata.Team);
  return std::nullopt;
}

std::optional<Error>
RequestRouter::State::refusal(const RequestMetadata &Metadata, TimePoint Now) {
  if (Draining)
    return draining();
  if (Now >= AuthorityUntil)
    return noAuthority();
  if (std::optional<Error> Reason = refusalByConfig(Metadata))
    return Reason;
  if (ById.contains(Metadata.Id))
    return Error(ErrorKind::BadRequest,
                 "request id '" + Metadata.Id + "' is in use",
                 "choose a unique id for each request");
  if (Metadata.Deadline - Now > Options.MaxDeadline)
    return Error(ErrorKind::BadRequest, "the deadline is too far in the future",
                 "allow at most " +
                     std::to_string(Options.MaxDeadline.count()) + " ms");
  if (Metadata.Deadline - Now < MinSendTime)
    return Error(ErrorKind::DeadlineExceeded,
                 "the deadline leaves no time to send the request",
                 "allow a later deadline");
  if (!ensureUpstream(Metadata.Upstream).Pool.hasUntried({}))
    return Error(ErrorKind::UpstreamFailed,
                 "no executor of upstream '" + Metadata.Upstream + "' is live",
                 "check the upstream's executors in the instance list");
  return refusalByQueue(Metadata, Now);
}

std::optional<Error>
RequestRouter::State::refusalByQueue(const RequestMetadata &Metadata,
                                     TimePoint Now) {
  const Upstream &Target = ensureUpstream(Metadata.Upstream);
  // If nothing is queued, the request is always tried, because only responses
  // keep the latency estimate up to date.
  if (Target.Queue.size() > 0 && !Target.Pool.hasFreeSlot() &&
      Now + expectedWait(Metadata) > Metadata.Deadline)
    return overloaded("the deadline cannot be met, because too many requests "
                      "are queued");
  return refusalByFullQueue(ensureTeam(Metadata.Team));
}

std::optional<Error>
RequestRouter::State::refusalByFullQueue(const Team &Owner) {
  if (Owner.Queued >= std::min(Options.QueuePerTeam, Options.QueueTotal / 2))
    return Owner.Taken >= Owner.Limit
               ? limitReached(Owner.Name)
               : overloaded("the queue of team '" + Owner.Name + "' is full");
  if (Queued >= Options.QueueTotal && !evictFor(Owner))
    return overloaded("all queues of this instance are full");
  return std::nullopt;
}

/// Evicts a request of the team with the most queued requests from a full
/// queue. Returns false if no team has at least two more queued requests than
/// \p Owner.
bool RequestRouter::State::evictFor(const Team &Owner) {
  const auto Longest = std::max_element(
      Teams.begin(), Teams.end(), [](const auto &Left, const auto &Right) {
        return Left.second.Queued < Right.second.Queued;
      });
  if (Longest->second.Queued <= Owner.Queued + 1)
    return false;
  std::optional<QueueEntry> Victim;
  for (const auto &[Name, Target] : Upstreams) {
    const std::optional<QueueEntry> Last = Target.Queue.latest(Longest->first);
    if (Last && (!Victim || *Victim < *Last))
      Victim = Last;
  }
  queueFailure(
      Requests.at(Victim->Sequence),
      overloaded("the request was evicted from the full queue in favor of a "
                 "team with fewer queued requests"));
  return true;
}

/// Estimates the time until the response if the request is queued now. Zero as
/// long as there has been no response or no slot is granted.
Duration RequestRouter::State::expectedWait(const RequestMetadata &Metadata) {
  const Upstream &Target = ensureUpstream(Metadata.Upstream);
  const Team &Owner = ensureTeam(Metadata.Team);
  const Duration Service = Target.Pool.meanLatency();
  const std::int64_t Slots = Target.Pool.usableSlots();
  if (Service == Duration(0) || Slots == 0)
    return Duration(0);
  const double Ahead =
      double(Target.Queue.countAhead(Metadata.Team, Metadata.Deadline)) + 1;
  const double Fraction = Target.Queue.fraction(Metadata.Team, Owner.Share);
  double Rounds = std::min(Ahead / Fraction, double(Target.Queue.size()) + 1) /
                  double(Slots);
  if (const std::int64_t Units = std::min(Owner.Granted, Owner.Limit);
      Units > 0)
    Rounds = std::max(Rounds, Ahead / double(Units));
  return Service + Duration(std::int64_t(Rounds * double(Service.count())));
}

void RequestRouter::State::accept(const RequestMetadata &Metadata,
                                  TimePoint Now) {
  const std::uint64_t Sequence = ++LastSequence;
  Request &NewRequest = Requests[Sequence];
  NewRequest.Metadata = Metadata;
  NewRequest.Sequence = Sequence;
  NewRequest.Owner = &ensureTeam(Metadata.Team);
  NewRequest.Target = &ensureUpstream(Metadata.Upstream);
  NewRequest.Accepted = Now;
  ById.emplace(Metadata.Id, Sequence);
  enqueue(NewRequest);
  Budget.noteRequest(Now);
  ++Counters.Submitted;
}

void RequestRouter::State::reschedule(Request &Req, TimePoint Due) {
  DueTimes.erase({Req.Due, Req.Sequence});
  Req.Due = Due;
  DueTimes.emplace(Due, Req.Sequence);
}

void RequestRouter::State::enqueue(Request &Req) {
  Req.CurrentPhase = Phase::Queued;
  Req.Target->Queue.push(Req.Metadata.Team, Req.Owner->Share, Req.entry());
  ++Req.Owner->Queued;
  ++Queued;
  // A send whose response is not expected in time would only take a slot from
  // other requests. A request that has not waited for long is tried anyway,
  // because otherwise the latency estimate would never be corrected.
  const Duration ExpectedLatency =
      std::min(Req.Target->Pool.meanLatency(),
               (Req.Metadata.Deadline - Req.Accepted) / 2);
  reschedule(Req,
             Req.Metadata.Deadline - std::max(MinSendTime, ExpectedLatency));
}

/// Updates the counters after a request was removed from its queue.
void RequestRouter::State::dequeue(Request &Req) {
  --Req.Owner->Queued;
  --Queued;
}

void RequestRouter::State::erase(Request &Req) {
  if (Req.CurrentPhase == Phase::Queued &&
      Req.Target->Queue.remove(Req.Metadata.Team, Req.entry()))
    dequeue(Req);
  DueTimes.erase({Req.Due, Req.Sequence});
  ById.erase(Req.Metadata.Id);
  Requests.erase(Req.Sequence);
}

void RequestRouter::State::releaseSlot(const InDoubtSlot &Slot, TimePoint Now) {
  Slot.Owner->Peak.note(Slot.Owner->Taken, Now);
  --Slot.Owner->Taken;
  Slot.Target->Pool.release(Slot.Executor, Now);
}

/// Keeps the slot and the unit of a send in doubt. The executor may work on the
/// request for longer than the caller waited, but not longer than MaxDeadline.
void RequestRouter::State::holdInDoubt(const Request &Req, TimePoint Now) {
  InDoubtSlots.emplace(Now + Options.MaxDeadline,
                       InDoubtSlot{Req.Target, Req.Owner, Req.Executor});
}

void RequestRouter::State::releaseExpiredHolds(TimePoint Now) {
  while (!InDoubtSlots.empty() && InDoubtSlots.begin()->first <= Now) {
    releaseSlot(InDoubtSlots.begin()->second, Now);
    InDoubtSlots.erase(InDoubtSlots.begin());
  }
}

void RequestRouter::State::expire(TimePoint Now) {
  while (!DueTimes.empty() && DueTimes.begin()->first <= Now)
    expireOne(Requests.at(DueTimes.begin()->second), Now);
}

void RequestRouter::State::expireOne(Request &Req, TimePoint Now) {
  if (Req.CurrentPhase == Phase::Queued) {
    queueFailure(Req,
                 Now >= AuthorityUntil
                     ? noAuthority()
                     : Error(ErrorKind::DeadlineExceeded,
                             "no slot became free before the deadline",
                             "allow a later deadline, or try again later"));
    return;
  }
  holdInDoubt(Req, Now);
  Req.MayHaveRun = true;
  queueFailure(Req,
               Error(ErrorKind::DeadlineExceeded,
                     "the executor did not respond before the deadline",
                     "find out from the upstream whether the request ran"));
}

Duration RequestRouter::State::timeoutOf(const Request &Req,
                                         TimePoint Now) const {
  const Duration Remaining = Req.Metadata.Deadline - Now;
  const Duration MeanLatency = Req.Target->Pool.meanLatency();
  if (!Req.Metadata.Idempotent || Req.Sends >= MaxSends ||
      MeanLatency == Duration(0) ||
      RetryTimeFactor * MeanLatency >= Remaining / 2)
    return Remaining;
  return Remaining / 2;
}

bool RequestRouter::State::trySend(Upstream &Target, const QueueEntry &Entry,
                                   TimePoint Now,
                                   std::vector<RequestSend> &Sends) {
  Request &Req = Requests.at(Entry.Sequence);
  const std::optional<ExecutorPool::Choice> Chosen =
      Target.Pool.take(Req.Tried, Now);
  if (!Chosen)
    return false;
  dequeue(Req);
  ++Req.Owner->Taken;
  Req.Owner->Peak.note(Req.Owner->Taken, Now);
  ++Req.Sends;
  Req.CurrentPhase = Phase::Sending;
  Req.Executor = Chosen->Executor;
  reschedule(Req, Req.Metadata.Deadline);
  Sends.push_back({Req.Metadata.Id, Req.Sends, Chosen->Id, Chosen->Address,
                   Req.Metadata.Idempotent, timeoutOf(Req, Now),
                   Req.Metadata.Deadline});
  return true;
}

void RequestRouter::State::dispatchQueue(Upstream &Target, TimePoint Now,
                                         std::vector<RequestSend> &Sends) {
  const auto MayRun = [this](const TeamName &Name) {
    return Teams.at(Name).hasUnit();
  };
  const auto Send = [&](const QueueEntry &Entry) {
    return trySend(Target, Entry, Now, Sends);
  };
  while (Target.Pool.hasFreeSlot() && Target.Queue.serveOne(MayRun, Send))
    continue;
}

Error RequestRouter::State::withOutcome(const Request &Req,
                                        const Error &Reason) const {
  return {Reason.kind(), Reason.what(), Reason.remedy(), Req.outcome()};
}

void RequestRouter::State::countFailure(Outcome Result) {
  ++(Result == Outcome::NotRun ? Counters.FailedNotRun
                               : Counters.FailedUnknown);
}

CompletionResult RequestRouter::State::fail(Request &Req, const Error &Reason) {
  CompletionResult Result{CompletionAction::Fail, withOutcome(Req, Reason)};
  countFailure(Req.outcome());
  erase(Req);
  return Result;
}

void RequestRouter::State::queueFailure(Request &Req, const Error &Reason) {
  const std::string Id = Req.Metadata.Id;
  PendingFailures.push_back({Id, *fail(Req, Reason).Failure});
}

CompletionResult RequestRouter::State::retry(Request &Req, TimePoint Now) {
  if (std::optional<Error> Reason = refusalByConfig(Req.Metadata))
    return fail(Req, *Reason);
  if (Req.Metadata.Deadline - Now < MinSendTime)
    return fail(Req, Error(ErrorKind::DeadlineExceeded,
                           "the deadline leaves no time for another send",
                           "allow a later deadline"));
  enqueue(Req);
  ++Counters.Retries;
  return {CompletionAction::Retry, std::nullopt};
}

CompletionResult RequestRouter::State::handleNotRun(Request &Req,
                                                    const SendReport &Report,
                                                    TimePoint Now) {
  if (Report.Withheld)
    return retry(Req, Now);
  Req.Tried.push_back(Req.Executor);
  if (Req.Sends < MaxSends && Req.Target->Pool.hasUntried(Req.Tried))
    return retry(Req, Now);
  return fail(Req, Error(ErrorKind::UpstreamFailed,
                         "no executor accepted the request: " + Report.Detail,
                         "try again later"));
}

CompletionResult RequestRouter::State::handleInDoubt(Request &Req,
                                                     const SendReport &Report,
                                                     TimePoint Now) {
  Req.MayHaveRun = true;
  Req.Tried.push_back(Req.Executor);
  if (Req.Metadata.Idempotent && Req.Sends < MaxSends &&
      Req.Metadata.Deadline - Now >= MinSendTime &&
      Req.Target->Pool.hasUntried(Req.Tried)) {
    if (Budget.tryTake(Now))
      return retry(Req, Now);
    ++Counters.RetriesDenied;
  }
  const bool Late = Req.Metadata.Deadline - Now < MinSendTime;
  return fail(
      Req, Error(Late ? ErrorKind::DeadlineExceeded : ErrorKind::UpstreamFailed,
                 "the executor sent no usable response: " + Report.Detail,
                 "find out from the upstream whether the request ran"));
}

void RequestRouter::State::noteHealth(const Request &Req,
                                      const SendReport &Report, TimePoint Now) {
  ExecutorPool &Pool = Req.Target->Pool;
  if (Report.Leaving) {
    Pool.noteLeaving(Req.Executor, Now);
    return;
  }
  switch (Report.Result) {
  case SendResult::Answered:
    if (Report.Status < FirstServerErrorStatus)
      Pool.noteSuccess(Req.Executor, Report.Latency, Now);
    else
      Pool.noteFailure(Req.Executor, Now);
    return;
  case SendResult::NotSent:
    if (!Report.Withheld)
      Pool.noteFailure(Req.Executor, Now);
    return;
  case SendResult::Refused:
    Pool.noteFailure(Req.Executor, Now);
    return;
  case SendResult::InDoubt:
    // Without this condition, callers with short deadlines could cause the
    // ejection of healthy executors.
    if (Report.Latency >= MinTimeoutForHealth || Now < Req.Metadata.Deadline)
      Pool.noteFailure(Req.Executor, Now);
    return;
  }
}

CompletionResult RequestRouter::State::handleReport(Request &Req,
                                                    const SendReport &Report,
                                                    TimePoint Now) {
  noteHealth(Req, Report, Now);
  if (Report.Result == SendResult::InDoubt)
    holdInDoubt(Req, Now);
  else
    releaseSlot({Req.Target, Req.Owner, Req.Executor}, Now);
  switch (Report.Result) {
  case SendResult::Answered:
    ++Counters.Delivered;
    erase(Req);
    return {CompletionAction::Deliver, std::nullopt};
  case SendResult::NotSent:
  case SendResult::Refused:
    return handleNotRun(Req, Report, Now);
  case SendResult::InDoubt:
    break;
  }
  return handleInDoubt(Req, Report, Now);
}

RequestRouter::RequestRouter(RouterOptions Options)
    : Impl(std::make_unique<State>(std::move(Options))) {}

RequestRouter::~RequestRouter() = default;

void RequestRouter::setConfig(const Config &Value) {
  for (auto &[Name, Owner] : Impl->Teams) {
    Owner.Configured = false;
    Owner.Limit = 0;
  }
  for (const auto &[Name, Team] : Value.Teams) {
    State::Team &Owner = Impl->ensureTeam(Name);
    Owner.Configured = true;
    Owner.Share = Team.Share;
    Owner.Limit = Team.Limit.Requests;
  }
  Impl->KeyTeams.clear();
  for (const auto &[Id, Key] : Value.Keys)
    Impl->KeyTeams[Key.Sha256] = Key.Team;
  for (auto &[Name, Target] : Impl->Upstreams)
    Target.Configured = Value.Upstreams.contains(Name);
  for (const auto &[Name, Upstream] : Value.Upstreams) {
    State::Upstream &Target = Impl->ensureUpstream(Name);
    Target.Configured = true;
    Target.Pool.setCapacity(std::min(Upstream.Slots, Upstream.Connections));
  }
  std::vector<std::pair<State::Request *, Error>> Refused;
  for (auto &[Sequence, Req] : Impl->Requests)
    if (Req.CurrentPhase == State::Phase::Queued)
      if (std::optional<Error> Reason = Impl->refusalByConfig(Req.Metadata))
        Refused.emplace_back(&Req, *Reason);
  for (const auto &[Req, Reason] : Refused)
    Impl->queueFailure(*Req, Reason);
}

void RequestRouter::setExecutors(const std::vector<ListedExecutor> &List,
                                 TimePoint Now) {
  std::map<std::string, std::vector<const ListedExecutor *>> ByUpstream;
  for (const ListedExecutor &Entry : List)
    ByUpstream[Entry.Upstream].push_back(&Entry);
  for (const auto &[Name, Entries] : ByUpstream)
    Impl->ensureUpstream(Name);
  for (auto &[Name, Target] : Impl->Upstreams)
    Target.Pool.setList(ByUpstream[Name], Now);
}

void RequestRouter::setSlotGrants(const std::string &Upstream,
                                  const Amounts &ByExecutor) {
  Impl->ensureUpstream(Upstream).Pool.setGrants(ByExecutor);
}

void RequestRouter::setTeamGrants(const Amounts &ByTeam) {
  for (auto &[Name, Owner] : Impl->Teams)
    Owner.Granted = 0;
  for (const auto &[Name, Amount] : ByTeam)
    Impl->ensureTeam(Name).Granted = Amount;
}

void RequestRouter::setAuthority(TimePoint ValidUntil) {
  Impl->AuthorityUntil = ValidUntil;
}

void RequestRouter::submit(const RequestMetadata &Metadata, TimePoint Now) {
  if (std::optional<Error> Reason = Impl->refusal(Metadata, Now)) {
    ++Impl->Counters.Refused[Reason->kind()];
    throw *Reason;
  }
  Impl->accept(Metadata, Now);
}

DispatchResult RequestRouter::dispatch(TimePoint Now) {
  DispatchResult Result;
  Impl->releaseExpiredHolds(Now);
  Impl->expire(Now);
  for (auto &[Name, Target] : Impl->Upstreams) {
    Target.Pool.advance(Now);
    if (Now < Impl->AuthorityUntil)
      Impl->dispatchQueue(Target, Now, Result.Sends);
  }
  Result.Failures = std::exchange(Impl->PendingFailures, {});
  return Result;
}

bool RequestRouter::maySend(const RequestSend &Send, TimePoint Now) const {
  const State::Request *Req = Impl->find(Send.Id);
  return Req && Req->CurrentPhase == State::Phase::Sending &&
         Req->Sends == Send.Attempt && Now < Impl->AuthorityUntil &&
         Now < Send.Deadline && Req->Target->Pool.isLive(Req->Executor) &&
         !Impl->refusalByConfig(Req->Metadata);
}

CompletionResult RequestRouter::complete(const SendReport &Report,
                                         TimePoint Now) {
  State::Request *Req = Impl->find(Report.Id);
  if (!Req || Req->CurrentPhase != State::Phase::Sending ||
      Req->Sends != Report.Attempt)
    return {};
  return Impl->handleReport(*Req, Report, Now);
}

std::optional<TimePoint> RequestRouter::nextWakeup() const {
  std::optional<TimePoint> Result;
  const auto Consider = [&Result](TimePoint Candidate) {
    if (!Result || Candidate < *Result)
      Result = Candidate;
  };
  if (!Impl->DueTimes.empty())
    Consider(Impl->DueTimes.begin()->first);
  if (!Impl->InDoubtSlots.empty())
    Consider(Impl->InDoubtSlots.begin()->first);
  for (const auto &[Name, Target] : Impl->Upstreams)
    if (const std::optional<TimePoint> Wake = Target.Pool.nextWakeup())
      Consider(*Wake);
  return Result;
}

RequestRouter::Amounts RequestRouter::desiredSlots(const std::string &Upstream,
                                                   TimePoint Now) const {
  const auto It = Impl->Upstreams.find(Upstream);
  if (It == Impl->Upstreams.end())
    return {};
  const State::Upstream &Target = It->second;
  const std::size_t Waiting = Target.Queue.size();
  if (!Target.Configured || (Impl->Draining && Waiting == 0))
    return Target.Pool.taken();
  return Target.Pool.desiredGrants(Waiting, Now);
}

RequestRouter::Amounts RequestRouter::desiredRequests(TimePoint Now) const {
  Amounts Result;
  for (const auto &[Name, Owner] : Impl->Teams) {
    const std::int64_t Recent = std::max(Owner.Taken, Owner.Peak.peak(Now));
    const bool Active = Recent > 0 || Owner.Queued > 0;
    // A reserve of one unit plus a quarter of the recent use saves an active
    // team from waiting for the next grant.
    const std::int64_t Reserve = Active && !Impl->Draining ? 1 + Recent / 4 : 0;
    const std::int64_t Desired =
        std::min(Recent + std::int64_t(Owner.Queued) + Reserve, Owner.Limit);
    if (const std::int64_t Amount = std::max(Desired, Owner.Taken); Amount > 0)
      Result[Name] = Amount;
  }
  return Result;
}

RequestRouter::Amounts
RequestRouter::usedSlots(const std::string &Upstream) const {
  const auto It = Impl->Upstreams.find(Upstream);
  return It == Impl->Upstreams.end() ? Amounts() : It->second.Pool.taken();
}

RequestRouter::Amounts RequestRouter::usedRequests() const {
  Amounts Result;
  for (const auto &[Name, Owner] : Impl->Teams)
    if (Owner.Taken > 0)
      Result[Name] = Owner.Taken;
  return Result;
}

namespace {

RequestRouter::Amounts surplus(const RequestRouter::Amounts &Held,
                               const RequestRouter::Amounts &Wanted) {
  RequestRouter::Amounts Result;
  for (const auto &[Unit, Amount] : Held) {
    const auto It = Wanted.find(Unit);
    const std::int64_t Excess = Amount - (It == Wanted.end() ? 0 : It->second);
    if (Excess > 0)
      Result[Unit] = Excess;
  }
  return Result;
}

} // namespace

RequestRouter::Amounts
RequestRouter::releasableSlots(const std::string &Upstream,
                               TimePoint Now) const {
  const auto It = Impl->Upstreams.find(Upstream);
  if (It == Impl->Upstreams.end())
    return {};
  return surplus(It->second.Pool.granted(), desiredSlots(Upstream, Now));
}

RequestRouter::Amounts RequestRouter::releasableRequests(TimePoint Now) const {
  Amounts Held;
  for (const auto &[Name, Owner] : Impl->Teams)
    if (Owner.Granted > 0)
      Held[Name] = Owner.Granted;
  return surplus(Held, desiredRequests(Now));
}

void RequestRouter::drain() { Impl->Draining = true; }

std::vector<RequestFailure> RequestRouter::failQueued(TimePoint) {
  std::vector<State::Request *> Waiting;
  for (auto &[Sequence, Req] : Impl->Requests)
    if (Req.CurrentPhase == State::Phase::Queued)
      Waiting.push_back(&Req);
  for (State::Request *Req : Waiting)
    Impl->queueFailure(*Req, draining());
  return std::exchange(Impl->PendingFailures, {});
}

std::size_t RequestRouter::open() const { return Impl->Requests.size(); }

std::size_t RequestRouter::queued() const { return Impl->Queued; }

std::size_t RequestRouter::inFlight() const {
  return Impl->Requests.size() - Impl->Queued;
}

RouterStats RequestRouter::stats() const {
  RouterStats Result = Impl->Counters;
  Result.Queued = Impl->Queued;
  Result.InFlight = inFlight();
  for (const auto &[Name, Target] : Impl->Upstreams) {
    Result.Ejections += Target.Pool.ejections();
    Result.SlotsTaken += std::size_t(Target.Pool.takenSlots());
    Result.SlotsGranted += std::size_t(Target.Pool.usableSlots());
  }
  for (const auto &[Name, Owner] : Impl->Teams) {
    if (Owner.Queued > 0)
      Result.QueuedByTeam[Name] = Owner.Queued;
    if (Owner.Taken > 0)
      Result.TakenByTeam[Name] = std::size_t(Owner.Taken);
  }
  return Result;
}

} // namespace apricotwing
