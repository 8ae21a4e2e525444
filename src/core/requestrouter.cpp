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

/// Sends of one request, including the first.
constexpr std::uint32_t MaxSends = 4;

/// A request that has less time left is not sent: its answer would hardly
/// arrive, and the caller is better off with a certain "not run".
constexpr Duration LeastSendTime = 5ms;

/// A send of an idempotent request gets only half of the remaining time if an
/// answer usually takes less than a quarter of that half, so that time is left
/// to try another executor.
constexpr int RetryTimeFactor = 4;

/// A timeout shorter than this says nothing about the executor's health.
constexpr Duration TellingTimeout = 1s;

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

Error withdrawnKey() {
  return {ErrorKind::UnknownKey, "the key was withdrawn",
          "use a key that is in force"};
}

Error unknownUpstream(const std::string &Upstream) {
  return {ErrorKind::NotFound, "upstream '" + Upstream + "' is not configured",
          "check the name, or ask an operator to add the upstream"};
}

Error noTeamLimit(const TeamName &Team) {
  return {ErrorKind::LimitReached,
          "team '" + Team + "' may run no interactive requests",
          "ask an operator to raise the team's limit of requests"};
}

Error limitReached(const TeamName &Team) {
  return {ErrorKind::LimitReached,
          "team '" + Team +
              "' runs as many requests as its limit permits and "
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
    Phase Where = Phase::Queued;
    std::uint32_t Sends = 0;
    /// A send is in doubt, so "not run" can no longer be said.
    bool MayHaveRun = false;
    std::vector<Serial> Tried;
    Serial Executor = 0; ///< Of the present send.
    TimePoint Accepted;  ///< When it was submitted.
    TimePoint Due;       ///< Its key in Dues.

    Outcome outcome() const {
      return MayHaveRun ? Outcome::Unknown : Outcome::NotRun;
    }
    QueueEntry entry() const {
      return {Metadata.Deadline, Sequence, Sends > 0};
    }
  };

  /// A slot and a unit whose send is in doubt.
  struct Hold {
    Upstream *Target = nullptr;
    Team *Owner = nullptr;
    Serial Executor = 0;
  };

  explicit State(RouterOptions Options) : Options(std::move(Options)) {}

  Team &team(const TeamName &Name);
  Upstream &upstream(const std::string &Name);
  std::optional<Error> refusalByConfig(const RequestMetadata &Metadata);
  std::optional<Error> refusal(const RequestMetadata &Metadata, TimePoint Now);
  std::optional<Error> refusalByQueue(const RequestMetadata &Metadata,
                                      TimePoint Now);
  std::optional<Error> refusalByFullQueue(const Team &Owner);
  bool displaceFor(const Team &Owner);
  Duration expectedWait(const RequestMetadata &Metadata);
  void accept(const RequestMetadata &Metadata, TimePoint Now);
  void dispatchQueue(Upstream &Target, TimePoint Now,
                     std::vector<RequestSend> &Sends);
  bool trySend(Upstream &Target, const QueueEntry &Entry, TimePoint Now,
               std::vector<RequestSend> &Sends);
  Duration timeoutOf(const Request &Of, TimePoint Now) const;
  void expire(TimePoint Now);
  void expireOne(Request &Of, TimePoint Now);
  void hold(const Request &Of, TimePoint Now);
  void endHolds(TimePoint Now);
  void enqueue(Request &Of);
  void dequeue(Request &Of);
  void reschedule(Request &Of, TimePoint Due);
  void giveBack(const Hold &Of, TimePoint Now);
  void noteHealth(const Request &Of, const SendReport &Report, TimePoint Now);
  CompletionResult afterReport(Request &Of, const SendReport &Report,
                               TimePoint Now);
  CompletionResult afterDoubt(Request &Of, const SendReport &Report,
                              TimePoint Now);
  CompletionResult afterNotRun(Request &Of, const SendReport &Report,
                               TimePoint Now);
  CompletionResult retry(Request &Of, TimePoint Now);
  CompletionResult fail(Request &Of, const Error &Reason);
  Error withOutcome(const Request &Of, const Error &Reason) const;
  void failLater(Request &Of, const Error &Reason);
  void countFailure(Outcome Result);
  void erase(Request &Of);
  Request *find(const std::string &Id);

  const RouterOptions Options;
  std::map<TeamName, Team> Teams;
  std::map<std::string, Upstream> Upstreams;
  std::unordered_map<std::string, TeamName> KeyTeams;
  std::unordered_map<std::uint64_t, Request> Requests;
  std::unordered_map<std::string, std::uint64_t> ById;
  std::set<std::pair<TimePoint, std::uint64_t>> Dues;
  std::multimap<TimePoint, Hold> Holds;
  std::vector<RequestFailure> Pending; ///< Failures for the next dispatch().
  RetryBudget Budget;
  TimePoint AuthorityUntil = TimePoint::min();
  bool Draining = false;
  std::uint64_t LastSequence = 0;
  std::size_t Queued = 0;
  RouterStats Counters;
};

RequestRouter::State::Team &RequestRouter::State::team(const TeamName &Name) {
  Team &Result = Teams[Name];
  Result.Name = Name;
  return Result;
}

RequestRouter::State::Upstream &
RequestRouter::State::upstream(const std::string &Name) {
  return Upstreams.try_emplace(Name, Options.Instance, Options.Zone)
      .first->second;
}

RequestRouter::State::Request *
RequestRouter::State::find(const std::string &Id) {
  const auto Where = ById.find(Id);
  return Where == ById.end() ? nullptr : &Requests.at(Where->second);
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
      return withdrawnKey();
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
                 "choose an id of its own for each request");
  if (Metadata.Deadline - Now > Options.MaxDeadline)
    return Error(ErrorKind::BadRequest, "the deadline is too far away",
                 "allow at most " +
                     std::to_string(Options.MaxDeadline.count()) + " ms");
  if (Metadata.Deadline - Now < LeastSendTime)
    return Error(ErrorKind::DeadlineExceeded,
                 "the deadline leaves no time to send the request",
                 "allow a later deadline");
  if (!upstream(Metadata.Upstream).Pool.hasUntried({}))
    return Error(ErrorKind::UpstreamFailed,
                 "no executor of upstream '" + Metadata.Upstream + "' is live",
                 "check the upstream's executors in the instance list");
  return refusalByQueue(Metadata, Now);
}

std::optional<Error>
RequestRouter::State::refusalByQueue(const RequestMetadata &Metadata,
                                     TimePoint Now) {
  const Upstream &Target = upstream(Metadata.Upstream);
  // Without a queue the request is tried in any case: only answers keep the
  // estimate up to date.
  if (Target.Queue.size() > 0 && !Target.Pool.hasFreeSlot() &&
      Now + expectedWait(Metadata) > Metadata.Deadline)
    return overloaded("the deadline cannot be met given the requests that "
                      "wait already");
  return refusalByFullQueue(team(Metadata.Team));
}

std::optional<Error>
RequestRouter::State::refusalByFullQueue(const Team &Owner) {
  if (Owner.Queued >= std::min(Options.QueuePerTeam, Options.QueueTotal / 2))
    return Owner.Taken >= Owner.Limit
               ? limitReached(Owner.Name)
               : overloaded("the queue of team '" + Owner.Name + "' is full");
  if (Queued >= Options.QueueTotal && !displaceFor(Owner))
    return overloaded("all queues of this instance are full");
  return std::nullopt;
}

/// Makes room in a full queue at the cost of the team that fills it most.
bool RequestRouter::State::displaceFor(const Team &Owner) {
  const auto Longest = std::max_element(
      Teams.begin(), Teams.end(), [](const auto &Left, const auto &Right) {
        return Left.second.Queued < Right.second.Queued;
      });
  if (Longest->second.Queued <= Owner.Queued + 1)
    return false;
  std::optional<QueueEntry> Victim;
  for (const auto &[Name, Target] : Upstreams) {
    const std::optional<QueueEntry> Last = Target.Queue.last(Longest->first);
    if (Last && (!Victim || *Victim < *Last))
      Victim = Last;
  }
  failLater(Requests.at(Victim->Sequence),
            overloaded("the request gave way to one of a team with fewer "
                       "waiting requests"));
  return true;
}

/// Time until an answer, if the request is queued now. Zero while no answer
/// has been seen or no slot is held.
Duration RequestRouter::State::expectedWait(const RequestMetadata &Metadata) {
  const Upstream &Target = upstream(Metadata.Upstream);
  const Team &Owner = team(Metadata.Team);
  const Duration Service = Target.Pool.meanLatency();
  const std::int64_t Slots = Target.Pool.usableSlots();
  if (Service == Duration(0) || Slots == 0)
    return Duration(0);
  const double Ahead =
      double(Target.Queue.ahead(Metadata.Team, Metadata.Deadline)) + 1;
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
  Request &Added = Requests[Sequence];
  Added.Metadata = Metadata;
  Added.Sequence = Sequence;
  Added.Owner = &team(Metadata.Team);
  Added.Target = &upstream(Metadata.Upstream);
  Added.Accepted = Now;
  ById.emplace(Metadata.Id, Sequence);
  enqueue(Added);
  Budget.noteRequest(Now);
  ++Counters.Submitted;
}

void RequestRouter::State::reschedule(Request &Of, TimePoint Due) {
  Dues.erase({Of.Due, Of.Sequence});
  Of.Due = Due;
  Dues.emplace(Due, Of.Sequence);
}

void RequestRouter::State::enqueue(Request &Of) {
  Of.Where = Phase::Queued;
  Of.Target->Queue.push(Of.Metadata.Team, Of.Owner->Share, Of.entry());
  ++Of.Owner->Queued;
  ++Queued;
  // A send that is not expected to be answered in time would only take a slot
  // from others. A request that has not waited long is tried in any case, or
  // the estimate of the latency would never be corrected.
  const Duration Useful = std::min(Of.Target->Pool.meanLatency(),
                                   (Of.Metadata.Deadline - Of.Accepted) / 2);
  reschedule(Of, Of.Metadata.Deadline - std::max(LeastSendTime, Useful));
}

/// Books a request out that the queue no longer holds.
void RequestRouter::State::dequeue(Request &Of) {
  --Of.Owner->Queued;
  --Queued;
}

void RequestRouter::State::erase(Request &Of) {
  if (Of.Where == Phase::Queued &&
      Of.Target->Queue.remove(Of.Metadata.Team, Of.entry()))
    dequeue(Of);
  Dues.erase({Of.Due, Of.Sequence});
  ById.erase(Of.Metadata.Id);
  Requests.erase(Of.Sequence);
}

void RequestRouter::State::giveBack(const Hold &Of, TimePoint Now) {
  Of.Owner->Peak.note(Of.Owner->Taken, Now);
  --Of.Owner->Taken;
  Of.Target->Pool.release(Of.Executor, Now);
}

/// Keeps slot and unit of a send in doubt: the executor may work on it for
/// longer than its caller waited, but not for longer than MaxDeadline.
void RequestRouter::State::hold(const Request &Of, TimePoint Now) {
  Holds.emplace(Now + Options.MaxDeadline,
                Hold{Of.Target, Of.Owner, Of.Executor});
}

void RequestRouter::State::endHolds(TimePoint Now) {
  while (!Holds.empty() && Holds.begin()->first <= Now) {
    giveBack(Holds.begin()->second, Now);
    Holds.erase(Holds.begin());
  }
}

void RequestRouter::State::expire(TimePoint Now) {
  while (!Dues.empty() && Dues.begin()->first <= Now)
    expireOne(Requests.at(Dues.begin()->second), Now);
}

void RequestRouter::State::expireOne(Request &Of, TimePoint Now) {
  if (Of.Where == Phase::Queued) {
    failLater(Of, Now >= AuthorityUntil
                      ? noAuthority()
                      : Error(ErrorKind::DeadlineExceeded,
                              "no slot became free before the deadline",
                              "allow a later deadline, or try again later"));
    return;
  }
  hold(Of, Now);
  Of.MayHaveRun = true;
  failLater(Of, Error(ErrorKind::DeadlineExceeded,
                      "the executor did not answer before the deadline",
                      "find out from the upstream whether the request ran"));
}

Duration RequestRouter::State::timeoutOf(const Request &Of,
                                         TimePoint Now) const {
  const Duration Remaining = Of.Metadata.Deadline - Now;
  const Duration Usual = Of.Target->Pool.meanLatency();
  if (!Of.Metadata.Idempotent || Of.Sends >= MaxSends || Usual == Duration(0) ||
      RetryTimeFactor * Usual >= Remaining / 2)
    return Remaining;
  return Remaining / 2;
}

bool RequestRouter::State::trySend(Upstream &Target, const QueueEntry &Entry,
                                   TimePoint Now,
                                   std::vector<RequestSend> &Sends) {
  Request &Of = Requests.at(Entry.Sequence);
  const std::optional<ExecutorPool::Choice> Chosen =
      Target.Pool.take(Of.Tried, Now);
  if (!Chosen)
    return false;
  dequeue(Of);
  ++Of.Owner->Taken;
  Of.Owner->Peak.note(Of.Owner->Taken, Now);
  ++Of.Sends;
  Of.Where = Phase::Sending;
  Of.Executor = Chosen->Executor;
  reschedule(Of, Of.Metadata.Deadline);
  Sends.push_back({Of.Metadata.Id, Of.Sends, Chosen->Id, Chosen->Address,
                   Of.Metadata.Idempotent, timeoutOf(Of, Now),
                   Of.Metadata.Deadline});
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

Error RequestRouter::State::withOutcome(const Request &Of,
                                        const Error &Reason) const {
  return {Reason.kind(), Reason.what(), Reason.remedy(), Of.outcome()};
}

void RequestRouter::State::countFailure(Outcome Result) {
  ++(Result == Outcome::NotRun ? Counters.FailedNotRun
                               : Counters.FailedUnknown);
}

CompletionResult RequestRouter::State::fail(Request &Of, const Error &Reason) {
  CompletionResult Result{CompletionAction::Fail, withOutcome(Of, Reason)};
  countFailure(Of.outcome());
  erase(Of);
  return Result;
}

void RequestRouter::State::failLater(Request &Of, const Error &Reason) {
  const std::string Id = Of.Metadata.Id;
  Pending.push_back({Id, *fail(Of, Reason).Failure});
}

CompletionResult RequestRouter::State::retry(Request &Of, TimePoint Now) {
  if (std::optional<Error> Reason = refusalByConfig(Of.Metadata))
    return fail(Of, *Reason);
  if (Of.Metadata.Deadline - Now < LeastSendTime)
    return fail(Of, Error(ErrorKind::DeadlineExceeded,
                          "the deadline leaves no time for another send",
                          "allow a later deadline"));
  enqueue(Of);
  ++Counters.Retries;
  return {CompletionAction::Retry, std::nullopt};
}

CompletionResult RequestRouter::State::afterNotRun(Request &Of,
                                                   const SendReport &Report,
                                                   TimePoint Now) {
  if (Report.Withheld)
    return retry(Of, Now);
  Of.Tried.push_back(Of.Executor);
  if (Of.Sends < MaxSends && Of.Target->Pool.hasUntried(Of.Tried))
    return retry(Of, Now);
  return fail(Of, Error(ErrorKind::UpstreamFailed,
                        "no executor took the request: " + Report.Detail,
                        "try again later"));
}

CompletionResult RequestRouter::State::afterDoubt(Request &Of,
                                                  const SendReport &Report,
                                                  TimePoint Now) {
  Of.MayHaveRun = true;
  Of.Tried.push_back(Of.Executor);
  if (Of.Metadata.Idempotent && Of.Sends < MaxSends &&
      Of.Metadata.Deadline - Now >= LeastSendTime &&
      Of.Target->Pool.hasUntried(Of.Tried)) {
    if (Budget.tryTake(Now))
      return retry(Of, Now);
    ++Counters.RetriesDenied;
  }
  const bool Late = Of.Metadata.Deadline - Now < LeastSendTime;
  return fail(
      Of, Error(Late ? ErrorKind::DeadlineExceeded : ErrorKind::UpstreamFailed,
                "the executor gave no usable answer: " + Report.Detail,
                "find out from the upstream whether the request ran"));
}

void RequestRouter::State::noteHealth(const Request &Of,
                                      const SendReport &Report, TimePoint Now) {
  ExecutorPool &Pool = Of.Target->Pool;
  if (Report.Leaving) {
    Pool.noteLeaving(Of.Executor, Now);
    return;
  }
  switch (Report.Result) {
  case SendResult::Answered:
    if (Report.Status < FirstServerErrorStatus)
      Pool.noteSuccess(Of.Executor, Report.Latency, Now);
    else
      Pool.noteFailure(Of.Executor, Now);
    return;
  case SendResult::NotSent:
    if (!Report.Withheld)
      Pool.noteFailure(Of.Executor, Now);
    return;
  case SendResult::Refused:
    Pool.noteFailure(Of.Executor, Now);
    return;
  case SendResult::InDoubt:
    // Otherwise a caller with a short deadline could have healthy executors
    // ejected.
    if (Report.Latency >= TellingTimeout || Now < Of.Metadata.Deadline)
      Pool.noteFailure(Of.Executor, Now);
    return;
  }
}

CompletionResult RequestRouter::State::afterReport(Request &Of,
                                                   const SendReport &Report,
                                                   TimePoint Now) {
  noteHealth(Of, Report, Now);
  if (Report.Result == SendResult::InDoubt)
    hold(Of, Now);
  else
    giveBack({Of.Target, Of.Owner, Of.Executor}, Now);
  switch (Report.Result) {
  case SendResult::Answered:
    ++Counters.Delivered;
    erase(Of);
    return {CompletionAction::Deliver, std::nullopt};
  case SendResult::NotSent:
  case SendResult::Refused:
    return afterNotRun(Of, Report, Now);
  case SendResult::InDoubt:
    break;
  }
  return afterDoubt(Of, Report, Now);
}

RequestRouter::RequestRouter(RouterOptions Options)
    : Self(std::make_unique<State>(std::move(Options))) {}

RequestRouter::~RequestRouter() = default;

void RequestRouter::setConfig(const Config &Value) {
  for (auto &[Name, Owner] : Self->Teams) {
    Owner.Configured = false;
    Owner.Limit = 0;
  }
  for (const auto &[Name, Team] : Value.Teams) {
    State::Team &Owner = Self->team(Name);
    Owner.Configured = true;
    Owner.Share = Team.Share;
    Owner.Limit = Team.Limit.Requests;
  }
  Self->KeyTeams.clear();
  for (const auto &[Id, Key] : Value.Keys)
    Self->KeyTeams[Key.Sha256] = Key.Team;
  for (auto &[Name, Target] : Self->Upstreams)
    Target.Configured = Value.Upstreams.contains(Name);
  for (const auto &[Name, Upstream] : Value.Upstreams) {
    State::Upstream &Target = Self->upstream(Name);
    Target.Configured = true;
    Target.Pool.setCapacity(std::min(Upstream.Slots, Upstream.Connections));
  }
  std::vector<std::pair<State::Request *, Error>> Refused;
  for (auto &[Sequence, Of] : Self->Requests)
    if (Of.Where == State::Phase::Queued)
      if (std::optional<Error> Reason = Self->refusalByConfig(Of.Metadata))
        Refused.emplace_back(&Of, *Reason);
  for (const auto &[Of, Reason] : Refused)
    Self->failLater(*Of, Reason);
}

void RequestRouter::setExecutors(const std::vector<ListedExecutor> &List,
                                 TimePoint Now) {
  std::map<std::string, std::vector<const ListedExecutor *>> ByUpstream;
  for (const ListedExecutor &Entry : List)
    ByUpstream[Entry.Upstream].push_back(&Entry);
  for (const auto &[Name, Entries] : ByUpstream)
    Self->upstream(Name);
  for (auto &[Name, Target] : Self->Upstreams)
    Target.Pool.setList(ByUpstream[Name], Now);
}

void RequestRouter::setSlotGrants(const std::string &Upstream,
                                  const Amounts &ByExecutor) {
  Self->upstream(Upstream).Pool.setGrants(ByExecutor);
}

void RequestRouter::setTeamGrants(const Amounts &ByTeam) {
  for (auto &[Name, Owner] : Self->Teams)
    Owner.Granted = 0;
  for (const auto &[Name, Amount] : ByTeam)
    Self->team(Name).Granted = Amount;
}

void RequestRouter::setAuthority(TimePoint ValidUntil) {
  Self->AuthorityUntil = ValidUntil;
}

void RequestRouter::submit(const RequestMetadata &Metadata, TimePoint Now) {
  if (std::optional<Error> Reason = Self->refusal(Metadata, Now)) {
    ++Self->Counters.Refused[Reason->kind()];
    throw *Reason;
  }
  Self->accept(Metadata, Now);
}

DispatchResult RequestRouter::dispatch(TimePoint Now) {
  DispatchResult Result;
  Self->endHolds(Now);
  Self->expire(Now);
  for (auto &[Name, Target] : Self->Upstreams) {
    Target.Pool.advance(Now);
    if (Now < Self->AuthorityUntil)
      Self->dispatchQueue(Target, Now, Result.Sends);
  }
  Result.Failures = std::exchange(Self->Pending, {});
  return Result;
}

bool RequestRouter::maySend(const RequestSend &Send, TimePoint Now) const {
  const State::Request *Of = Self->find(Send.Id);
  return Of && Of->Where == State::Phase::Sending &&
         Of->Sends == Send.Attempt && Now < Self->AuthorityUntil &&
         Now < Send.Deadline && Of->Target->Pool.isLive(Of->Executor) &&
         !Self->refusalByConfig(Of->Metadata);
}

CompletionResult RequestRouter::complete(const SendReport &Report,
                                         TimePoint Now) {
  State::Request *Of = Self->find(Report.Id);
  if (!Of || Of->Where != State::Phase::Sending || Of->Sends != Report.Attempt)
    return {};
  return Self->afterReport(*Of, Report, Now);
}

std::optional<TimePoint> RequestRouter::nextWake() const {
  std::optional<TimePoint> Result;
  const auto Consider = [&Result](TimePoint Candidate) {
    if (!Result || Candidate < *Result)
      Result = Candidate;
  };
  if (!Self->Dues.empty())
    Consider(Self->Dues.begin()->first);
  if (!Self->Holds.empty())
    Consider(Self->Holds.begin()->first);
  for (const auto &[Name, Target] : Self->Upstreams)
    if (const std::optional<TimePoint> Wake = Target.Pool.nextWake())
      Consider(*Wake);
  return Result;
}

RequestRouter::Amounts RequestRouter::desiredSlots(const std::string &Upstream,
                                                   TimePoint Now) const {
  const auto Where = Self->Upstreams.find(Upstream);
  if (Where == Self->Upstreams.end())
    return {};
  const State::Upstream &Target = Where->second;
  const std::size_t Waiting = Target.Queue.size();
  if (!Target.Configured || (Self->Draining && Waiting == 0))
    return Target.Pool.taken();
  return Target.Pool.wanted(Waiting, Now);
}

RequestRouter::Amounts RequestRouter::desiredRequests(TimePoint Now) const {
  Amounts Result;
  for (const auto &[Name, Owner] : Self->Teams) {
    const std::int64_t Recent = std::max(Owner.Taken, Owner.Peak.peak(Now));
    const bool Active = Recent > 0 || Owner.Queued > 0;
    // A reserve of one unit and a quarter spares an active team a wait for
    // the next grant.
    const std::int64_t Reserve = Active && !Self->Draining ? 1 + Recent / 4 : 0;
    const std::int64_t Wish =
        std::min(Recent + std::int64_t(Owner.Queued) + Reserve, Owner.Limit);
    if (const std::int64_t Amount = std::max(Wish, Owner.Taken); Amount > 0)
      Result[Name] = Amount;
  }
  return Result;
}

RequestRouter::Amounts
RequestRouter::usedSlots(const std::string &Upstream) const {
  const auto Where = Self->Upstreams.find(Upstream);
  return Where == Self->Upstreams.end() ? Amounts()
                                        : Where->second.Pool.taken();
}

RequestRouter::Amounts RequestRouter::usedRequests() const {
  Amounts Result;
  for (const auto &[Name, Owner] : Self->Teams)
    if (Owner.Taken > 0)
      Result[Name] = Owner.Taken;
  return Result;
}

namespace {

RequestRouter::Amounts surplus(const RequestRouter::Amounts &Held,
                               const RequestRouter::Amounts &Wanted) {
  RequestRouter::Amounts Result;
  for (const auto &[Unit, Amount] : Held) {
    const auto Where = Wanted.find(Unit);
    const std::int64_t Rest =
        Amount - (Where == Wanted.end() ? 0 : Where->second);
    if (Rest > 0)
      Result[Unit] = Rest;
  }
  return Result;
}

} // namespace

RequestRouter::Amounts
RequestRouter::releasableSlots(const std::string &Upstream,
                               TimePoint Now) const {
  const auto Where = Self->Upstreams.find(Upstream);
  if (Where == Self->Upstreams.end())
    return {};
  return surplus(Where->second.Pool.granted(), desiredSlots(Upstream, Now));
}

RequestRouter::Amounts RequestRouter::releasableRequests(TimePoint Now) const {
  Amounts Held;
  for (const auto &[Name, Owner] : Self->Teams)
    if (Owner.Granted > 0)
      Held[Name] = Owner.Granted;
  return surplus(Held, desiredRequests(Now));
}

void RequestRouter::drain() { Self->Draining = true; }

std::vector<RequestFailure> RequestRouter::refuseQueued(TimePoint) {
  std::vector<State::Request *> Waiting;
  for (auto &[Sequence, Of] : Self->Requests)
    if (Of.Where == State::Phase::Queued)
      Waiting.push_back(&Of);
  for (State::Request *Of : Waiting)
    Self->failLater(*Of, draining());
  return std::exchange(Self->Pending, {});
}

std::size_t RequestRouter::open() const { return Self->Requests.size(); }

std::size_t RequestRouter::queued() const { return Self->Queued; }

std::size_t RequestRouter::inFlight() const {
  return Self->Requests.size() - Self->Queued;
}

RouterStats RequestRouter::stats() const {
  RouterStats Result = Self->Counters;
  Result.Queued = Self->Queued;
  Result.InFlight = inFlight();
  for (const auto &[Name, Target] : Self->Upstreams) {
    Result.Ejections += Target.Pool.ejections();
    Result.SlotsTaken += std::size_t(Target.Pool.takenSlots());
    Result.SlotsGranted += std::size_t(Target.Pool.usableSlots());
  }
  for (const auto &[Name, Owner] : Self->Teams) {
    if (Owner.Queued > 0)
      Result.QueuedByTeam[Name] = Owner.Queued;
    if (Owner.Taken > 0)
      Result.TakenByTeam[Name] = std::size_t(Owner.Taken);
  }
  return Result;
}

} // namespace apricotwing
