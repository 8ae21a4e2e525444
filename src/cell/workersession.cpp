#include "cell/workersession.h"

#include <algorithm>
#include <cstdlib>
#include <iterator>
#include <utility>

namespace apricotwing::cell {

namespace {

/// Delay before an unreachable worker is called again.
constexpr Duration UnreachableRetryDelay{250};

/// Time without an answer after which the lease is frozen.
constexpr Duration FreezeDelay{500};

/// Interval between two heartbeats while ended runs are not stored yet.
constexpr Duration UnstoredRunsDelay{400};

/// Age of the last lists, counted from their request, up to which the process
/// of the worker is taken to be the same. The worker may delay them by
/// Timing::HeartbeatWait.
constexpr Duration MaxListAge{1500};

/// Delay before a stop order without a response is sent again.
constexpr Duration StopRetryDelay{300};

/// Maximum number of sends of one start order. A third one would reach an
/// unresponsive worker only after the deadline of the order.
constexpr int MaxStartSends = 2;

/// Safety margin for rounding and for the delay until the worker acts on the
/// expiry of its lease.
constexpr Duration ExpiryMargin{100};

/// Maximum error of the estimate of a worker's clock between two heartbeats, in
/// ms: its rate, and the transit of the last answer.
constexpr std::int64_t MaxClockError = 200;

/// Delay before the lists of a restarted worker are read again.
constexpr Duration RestartPollDelay{50};

} // namespace

WorkerSession::WorkerSession(WorkerClient &Client, const Clock &Time,
                             const Timing &Times, EventLog &Log,
                             const Assignment &Assigned, Callbacks Owner)
    : Client(Client), Time(Time), Times(Times),
      Log(Log), Worker{Assigned.Incarnation, Assigned.Address, Assigned.Token},
      Owner(std::move(Owner)),
      AssumedLeaseEnd(Time.now() +
                      Times.onWorkerClock(Duration(Assigned.AssumedLeaseMs)) +
                      ExpiryMargin),
      FirstContact(Assigned.FirstContact),
      LeaderReleases(Assigned.LeaseFrozen.has_value()),
      LeaseFrozen(Assigned.LeaseFrozen.value_or(false)),
      FreezeAt(Time.now() + FreezeDelay) {
  for (const UnconfirmedStart &Start : Assigned.UnconfirmedStarts)
    UnlistedStarts[{Start.Task, Start.Run}] =
        Time.now() - Duration(Start.SentMs);
}

std::int64_t WorkerSession::estimatedClockMs() const {
  return LastClockMs + (Time.now() - LastClockAt).count();
}

// Answers to orders don't name the process, but each has a clock of its own.
bool WorkerSession::isOwnClock(const WorkerAnswer &Answer) const {
  return Answer.ClockMs &&
         std::abs(*Answer.ClockMs - estimatedClockMs()) <= MaxClockError;
}

// Only the answer to a heartbeat names the process whose clock it has.
void WorkerSession::updateClock(std::int64_t ClockMs) {
  LastAnswerAt = Time.now();
  if (!FirstAnswerAt)
    FirstAnswerAt = LastAnswerAt;
  if (HasClock && ClockMs < LastClockMs)
    return; // A response that was overtaken by a later one.
  HasClock = true;
  LastClockMs = ClockMs;
  LastClockAt = Time.now();
  LastClockTransit = LastClockAt - HeartbeatSentAt;
}

TimePoint WorkerSession::longestLeaseFrom(TimePoint Start) const {
  return Start + Times.onWorkerClock(Times.MaxWorkerLease) + ExpiryMargin;
}

// Until it answers a call with the token of this session, the worker carries
// out calls to a former process, whose deadlines it shortens to the longest
// lease.
void WorkerSession::assumeFormerCalls() {
  AssumedLeaseEnd = std::max(AssumedLeaseEnd, longestLeaseFrom(Time.now()));
}

TimePoint WorkerSession::leaseEnd() const {
  if (!HasClock)
    return AssumedLeaseEnd;
  const std::int64_t RemainingMs = MaxDeadlineMs - LastClockMs;
  const TimePoint GrantedLeaseEnd =
      LastClockAt +
      Times.onWorkerClock(Duration(std::max<Duration::rep>(RemainingMs, 0))) +
      ExpiryMargin;
  return std::max(GrantedLeaseEnd, AssumedLeaseEnd);
}

jobs::LeaseBasis WorkerSession::leaseBasis() const {
  return leaseEnd() == AssumedLeaseEnd ? jobs::LeaseBasis::Assumed
                                       : jobs::LeaseBasis::Granted;
}

std::int64_t WorkerSession::ageMsOf(const std::optional<TimePoint> &At) const {
  return At ? (Time.now() - *At).count() : -1;
}

// Tells how the end of the lease was determined.
void WorkerSession::logLeaseEnd(std::string_view LogEvent) const {
  const auto AgeOf = [this](const std::optional<TimePoint> &At) {
    return std::to_string(ageMsOf(At));
  };
  Log.event(
      LogEvent, Worker.Incarnation.Id,
      {{"token", std::to_string(Worker.Token)},
       {"refused", ProcessAbsent ? "1" : "0"},
       {"basis", std::string(enumName(jobs::LeaseBasisNames, leaseBasis()))},
       {"grant_age_ms", AgeOf(LastGrantAt)},
       {"first_answer_age_ms", AgeOf(FirstAnswerAt)},
       {"answer_age_ms", AgeOf(LastAnswerAt)},
       {"unanswered", std::to_string(UnansweredCalls)},
       {"unlisted_starts", std::to_string(UnlistedStarts.size())}});
}

// The lease ends all runs of this process. A start that it has not confirmed
// may have reached its next one, whose lease begins anew.
void WorkerSession::reportExpiryIfDue(TimePoint Now) {
  const bool IsDue = !ExpiryReported || ExpiryIsPartial;
  if (RestartResolvedBy || Reachable || !IsDue || Now < leaseEnd())
    return;
  std::erase_if(UnlistedStarts, [&](const auto &Start) {
    return Now >= longestLeaseFrom(Start.second + Times.StartTransit);
  });
  if (ExpiryIsPartial && !UnlistedStarts.empty())
    return;
  ExpiryReported = true;
  ExpiryIsPartial = !UnlistedStarts.empty();
  Synced = false;
  PendingStarts.clear();
  PendingStops.clear();
  logLeaseEnd("worker lease lapsed");
  report(WorkerEvent::LeaseExpired);
}

void WorkerSession::pump() {
  if (Ended)
    return;
  const TimePoint Now = Time.now();
  if (RestartResolvedBy && Now >= *RestartResolvedBy) {
    end(WorkerEvent::ProcessEnded, "worker process ended");
    return;
  }
  reportFormerRunsIfDue(Now);
  freezeLeaseIfDue(Now);
  reportExpiryIfDue(Now);
  if (!HeartbeatInFlight && Now >= NextHeartbeat)
    sendHeartbeat();
  if (!PendingStops.empty() && Now >= NextStop) {
    NextStop = Now + StopRetryDelay;
    std::vector<RunKey> Due;
    for (const auto &[Key, Order] : PendingStops)
      if (!StopsInFlight.contains(Key))
        Due.push_back(Key);
    for (const RunKey &Key : Due)
      sendStop(Key);
  }
}

void WorkerSession::sendHeartbeat(bool IsPlain) {
  HeartbeatRequest Request;
  // The lease of an unreachable worker must not be extended, because it may be
  // dead and its lease must expire.
  const bool Extend = !IsPlain && HasClock && Reachable && mayExtend();
  if (Extend) {
    Request.DeadlineMs = estimatedClockMs() + Times.WorkerLease.count();
    MaxDeadlineMs = std::max(MaxDeadlineMs, *Request.DeadlineMs);
    LastGrantAt = Time.now();
  }
  // The numbers of ended runs start anew with each process, and the worker may
  // have restarted while this process was paused.
  const bool IsSameProcess =
      Reachable && ListedAt && Time.now() - *ListedAt < MaxListAge;
  Request.AckCursor = IsSameProcess && !IsPlain ? AckedEnd : 0;
  SentCursor = Request.AckCursor;
  if (IsSameProcess && Synced && LastReportedEnd <= AckedEnd && Extend)
    Request.Wait = Times.HeartbeatWait;
  HeartbeatInFlight = true;
  ++SentHeartbeats;
  HeartbeatSentAt = Time.now();
  Client.heartbeat(
      Worker, Request,
      Guard.wrap([this, Extend, StopsAnswered = PendingStops.empty(),
                  Number = SentHeartbeats](const HeartbeatResult &Result) {
        if (Number != SentHeartbeats)
          return; // checkClock() has sent a later one.
        HeartbeatInFlight = false;
        onHeartbeat(Result, Extend, StopsAnswered);
      }));
}

void WorkerSession::onHeartbeat(const HeartbeatResult &Result, bool Extended,
                                bool StopsAnswered) {
  if (Ended)
    return;
  const TimePoint Now = Time.now();
  UnansweredCalls += Result.Outcome == WorkerOutcome::NoAnswer ? 1 : 0;
  ProcessAbsent = Result.Outcome == WorkerOutcome::ConnectionRefused ||
                  Result.Outcome == WorkerOutcome::OtherWorker;
  if (Result.Outcome == WorkerOutcome::Restarted) {
    onRestart(Result, StopsAnswered);
    return;
  }
  if (endIfFenced(Result.Outcome))
    return;
  // Idle connections also close. If the process has ended, the next one must
  // not get the deadline and the acknowledgement.
  if (Result.ConnectionClosed && (Extended || SentCursor > 0)) {
    sendHeartbeat(true);
    return;
  }
  if (Result.Outcome != WorkerOutcome::Done || RestartResolvedBy) {
    markUnreachable(Result.Outcome);
    NextHeartbeat = Now + UnreachableRetryDelay;
    return;
  }
  if (FirstContact && !HasClock)
    assumeFormerCalls();
  updateClock(Result.ClockMs);
  ProcessDoubted = false;
  // Runs that ended before an expiry of the lease do not count, so the owner
  // must be told of the expiry before it gets the list.
  if (!Extended && MaxDeadlineMs > 0 && Result.ClockMs > MaxDeadlineMs) {
    MaxDeadlineMs = 0; // Later answers must not report the same end again.
    if (std::exchange(Synced, false))
      report(WorkerEvent::LeaseExpired);
  }
  if (ExpiryReported && !Result.Running.empty())
    Log.event("runs outlived the lease", Worker.Incarnation.Id,
              {{"token", std::to_string(Worker.Token)},
               {"running", std::to_string(Result.Running.size())}});
  ExpiryReported = false;
  ExpiryIsPartial = false;
  UnansweredCalls = 0;
  if (!Reachable) {
    Reachable = true;
    Log.event("worker answers again", Worker.Incarnation.Id, {});
    if (Synced)
      report(WorkerEvent::Reachable);
  }
  ListedAt = HeartbeatSentAt;
  processRunLists(Result);
  NextHeartbeat = Now;
  if (LastReportedEnd > AckedEnd && SentCursor >= AckedEnd)
    NextHeartbeat = Now + UnstoredRunsDelay;
  else if (!Extended && HasClock && !mayExtend())
    NextHeartbeat = Now + UnreachableRetryDelay;
}

void WorkerSession::processRunLists(const HeartbeatResult &Result) {
  if (!Synced)
    expectListed(Result);
  if (const jobs::ActiveRun *Unexpected = unexpectedRun(Result)) {
    Log.event("unexpected run", Unexpected->Task,
              {{"run", std::to_string(Unexpected->Run)},
               {"worker", Worker.Incarnation.Id},
               {"token", std::to_string(Worker.Token)}});
    end(WorkerEvent::Fenced, "worker must be synced anew");
    return;
  }
  WorkerReport Report;
  Report.Incarnation = Worker.Incarnation;
  Report.Token = Worker.Token;
  const bool ReportsAll = !Synced && !Result.MayHaveMoreEnded;
  for (const jobs::EndedRun &End : Result.Ended)
    if (ReportsAll || End.Number > LastReportedEnd)
      Report.Ended.push_back(End);
  for (const jobs::EndedRun &End : Result.Ended) {
    LastReportedEnd = std::max(LastReportedEnd, End.Number);
    PendingStarts.erase({End.Task, End.Run});
    PendingStops.erase({End.Task, End.Run});
    ExpectedRuns.erase({End.Task, End.Run});
    confirm({End.Task, End.Run});
    ConfirmedRuns.erase({End.Task, End.Run});
  }
  for (const jobs::ActiveRun &Run : Result.Running) {
    confirm({Run.Task, Run.Run});
    ConfirmedRuns[{Run.Task, Run.Run}] = SentHeartbeats;
  }
  // A run in neither list may be an ended one that is not listed yet.
  if (!Result.MayHaveMoreEnded) {
    resolvePendingStarts(Result);
    if (!Synced) {
      Synced = true;
      Report.Event = WorkerEvent::Synced;
      Report.Running = Result.Running;
      Owner.Report(std::move(Report));
      return;
    }
    std::ranges::move(takeUnlistedEnds(), std::back_inserter(Report.Ended));
  }
  if (Report.Ended.empty())
    return;
  Report.Event = WorkerEvent::Ended;
  // Report the checkpoints of active runs in case the worker is lost.
  for (const jobs::ActiveRun &Run : Result.Running)
    if (!Run.Checkpoint.empty())
      Report.Running.push_back(Run);
  Owner.Report(std::move(Report));
}

// The leader decides about the runs of the first lists. Later ones can only
// have been started by this session.
void WorkerSession::expectListed(const HeartbeatResult &Result) {
  ExpectedRuns.clear();
  ConfirmedRuns.clear();
  for (const auto &[Key, Pending] : PendingStarts)
    ExpectedRuns.insert(Key);
  for (const jobs::ActiveRun &Run : Result.Running)
    ExpectedRuns.insert({Run.Task, Run.Run});
}

const jobs::ActiveRun *
WorkerSession::unexpectedRun(const HeartbeatResult &Result) const {
  const auto Found =
      std::find_if(Result.Running.begin(), Result.Running.end(),
                   [this](const jobs::ActiveRun &Run) {
                     return !ExpectedRuns.contains({Run.Task, Run.Run});
                   });
  return Found == Result.Running.end() ? nullptr : &*Found;
}

void WorkerSession::resolvePendingStarts(const HeartbeatResult &Result) {
  if (PendingStarts.empty())
    return;
  for (const jobs::ActiveRun &Run : Result.Running)
    PendingStarts.erase({Run.Task, Run.Run});
  std::vector<RunKey> Expired;
  for (const auto &[Key, Pending] : PendingStarts)
    if (!Pending.InFlight && Result.ClockMs > Pending.DeadlineMs)
      Expired.push_back(Key);
  for (const RunKey &Key : Expired)
    reportRefused(Key, jobs::StartRefusal::Expired);
}

// An acknowledgement that was meant for the former process makes the next one
// drop its ends up to that number, also later ones. Must be called only after
// complete lists: a run that the process had confirmed before they were asked
// for, and that is in neither of them, has ended.
std::vector<jobs::EndedRun> WorkerSession::takeUnlistedEnds() {
  std::vector<jobs::EndedRun> Result;
  for (const auto &[Key, Heartbeat] : ConfirmedRuns)
    if (Heartbeat < SentHeartbeats)
      Result.push_back({0, Key.first, Key.second, jobs::EndKind::Stopped, ""});
  for (const jobs::EndedRun &End : Result) {
    const RunKey Key{End.Task, End.Run};
    ConfirmedRuns.erase(Key);
    ExpectedRuns.erase(Key);
    PendingStops.erase(Key);
    Log.event("end of run not listed", End.Task,
              {{"run", std::to_string(End.Run)},
               {"worker", Worker.Incarnation.Id},
               {"token", std::to_string(Worker.Token)}});
  }
  return Result;
}

void WorkerSession::markUnreachable(WorkerOutcome Outcome) {
  if (!Reachable)
    return;
  Reachable = false;
  FreezeAt = Time.now() + FreezeDelay;
  Log.event("worker does not answer", Worker.Incarnation.Id,
            {{"outcome", std::string(enumName(WorkerOutcomeNames, Outcome))}});
  if (Synced)
    report(WorkerEvent::Unreachable);
}

// Once a next leader knows the end of the lease it need not wait for a whole
// one.
void WorkerSession::freezeLeaseIfDue(TimePoint Now) {
  const bool IsSilent = !Reachable || !HasClock;
  if (!LeaderReleases || LeaseFrozen || !IsSilent || RestartResolvedBy ||
      Now < FreezeAt)
    return;
  LeaseFrozen = true;
  report(WorkerEvent::LeaseFrozen);
}

void WorkerSession::releaseLease() {
  LeaseFrozen = false;
  NextHeartbeat = Time.now();
}

void WorkerSession::start(const jobs::StartCommand &Order) {
  const RunKey Key{Order.Task, Order.Run};
  PendingStarts[Key] = PendingStart{Order, 0, 0, false};
  // The order may come late, or this process may have been paused.
  const bool IsPermitted =
      Synced && !RestartResolvedBy && !ProcessDoubted && mayExtend();
  if (Ended || !IsPermitted || PendingStops.contains(Key)) {
    reportRefused(Key, jobs::StartRefusal::Expired);
    return;
  }
  ExpectedRuns.insert(Key);
  PendingStarts[Key].DeadlineMs =
      estimatedClockMs() + Times.StartValidity.count();
  send(Key);
}

void WorkerSession::send(const RunKey &Key) {
  PendingStart &Pending = PendingStarts.at(Key);
  ++Pending.Sends;
  UnlistedStarts[Key] = Time.now();
  Pending.InFlight = true;
  MaxDeadlineMs = std::max(MaxDeadlineMs, Pending.DeadlineMs);
  LastGrantAt = Time.now();
  Client.start(Worker, Pending.Order, Pending.DeadlineMs,
               Guard.wrap([this, Key](const WorkerAnswer &Answer) {
                 onStartAnswer(Key, Answer);
               }));
}

// A heartbeat that the former process had accepted gets its answer from the
// next one late or never, so another one finds out at once.
void WorkerSession::checkClock(const RunKey &Key, const WorkerAnswer &Answer,
                               TimePoint SentAt) {
  if (!Answer.ClockMs || Answer.Outcome == WorkerOutcome::OtherWorker ||
      !HasClock || RestartResolvedBy || ProcessDoubted)
    return;
  // The answer may have taken all the time since the order was sent.
  const std::int64_t MaxLag = (Time.now() - SentAt).count() + MaxClockError;
  const std::int64_t Lag = estimatedClockMs() - *Answer.ClockMs;
  // So may that of the heartbeat which the estimate rests on.
  if (Lag >= -MaxClockError - LastClockTransit.count() && Lag <= MaxLag)
    return;
  Log.event("order answered by another process", Key.first,
            {{"run", std::to_string(Key.second)},
             {"worker", Worker.Incarnation.Id},
             {"clock_ms", std::to_string(*Answer.ClockMs)},
             {"expected_clock_ms", std::to_string(estimatedClockMs())}});
  ProcessDoubted = true;
  sendHeartbeat(true);
}

void WorkerSession::onStartAnswer(const RunKey &Key,
                                  const WorkerAnswer &Answer) {
  if (const auto Sent = UnlistedStarts.find(Key);
      !Ended && Sent != UnlistedStarts.end())
    checkClock(Key, Answer, Sent->second);
  const auto Found = PendingStarts.find(Key);
  if (Found == PendingStarts.end() || Ended)
    return; // The outcome is already known from a list.
  PendingStart &Pending = Found->second;
  Pending.InFlight = false;
  if (Answer.Outcome == WorkerOutcome::NoAnswer) {
    ++UnansweredCalls;
    forgetOldStarts();
    UnansweredStarts[Key] = Time.now();
  }
  // If the first send got no response, a rejection of the second one can mean
  // that the run was started and has already ended. The lists will show the
  // outcome.
  const bool Conclusive = Pending.Sends == 1;
  switch (Answer.Outcome) {
  case WorkerOutcome::Done:
    PendingStarts.erase(Found);
    if (isOwnClock(Answer))
      confirm(Key);
    ConfirmedRuns[Key] = SentHeartbeats;
    return;
  case WorkerOutcome::Fenced:
    endIfFenced(Answer.Outcome);
    return;
  case WorkerOutcome::Restarted: // The heartbeats find out what it runs.
    return;
  case WorkerOutcome::NoAnswer:
  case WorkerOutcome::ConnectionRefused:
  case WorkerOutcome::OtherWorker:
  case WorkerOutcome::NotSent:
    if (Answer.Outcome != WorkerOutcome::NoAnswer && Conclusive) {
      reportRefused(Key, jobs::StartRefusal::Unhealthy);
      return;
    }
    if (Pending.Sends < MaxStartSends && mayExtend() &&
        estimatedClockMs() < Pending.DeadlineMs)
      send(Key);
    return;
  case WorkerOutcome::NoRoom:
    if (Conclusive)
      reportRefused(Key, jobs::StartRefusal::NoRoom);
    return;
  case WorkerOutcome::NoTicket:
    if (Conclusive)
      reportRefused(Key, jobs::StartRefusal::NoTicket);
    return;
  case WorkerOutcome::Unhealthy:
    if (Conclusive)
      reportRefused(Key, jobs::StartRefusal::Unhealthy);
    return;
  case WorkerOutcome::Malformed:
    if (Conclusive)
      reportRefused(Key, jobs::StartRefusal::Malformed);
    return;
  case WorkerOutcome::Expired:
    if (Conclusive)
      reportRefused(Key, jobs::StartRefusal::Expired);
    return;
  }
}

void WorkerSession::confirm(const RunKey &Key) {
  if (UnlistedStarts.erase(Key) > 0)
    NewlyConfirmed.push_back({Worker.Incarnation, Key.first, Key.second});
}

std::vector<ConfirmedStart> WorkerSession::takeConfirmedStarts() {
  return std::exchange(NewlyConfirmed, {});
}

void WorkerSession::reportRefused(const RunKey &Key,
                                  jobs::StartRefusal Reason) {
  PendingStarts.erase(Key);
  ExpectedRuns.erase(Key);
  UnlistedStarts.erase(Key);
  Owner.Refuse({Worker.Incarnation, Key.first, Key.second, Reason});
}

void WorkerSession::stop(const jobs::StopCommand &Order) {
  const RunKey Key{Order.Task, Order.Run};
  PendingStops[Key] = Order;
  if (!StopsInFlight.contains(Key))
    sendStop(Key);
}

void WorkerSession::sendStop(const RunKey &Key) {
  if (Ended)
    return;
  const TimePoint SentAt = Time.now();
  StopsInFlight.insert(Key);
  NextStop = Time.now() + StopRetryDelay;
  Client.stop(Worker, PendingStops.at(Key),
              Guard.wrap([this, Key, SentAt, SentTo = NextStartUnixMs](
                             const WorkerAnswer &Answer) {
                onStopAnswer(Key, Answer, SentAt, SentTo);
              }));
}

void WorkerSession::onStopAnswer(const RunKey &Key, const WorkerAnswer &Answer,
                                 TimePoint SentAt, std::int64_t SentTo) {
  Log.event(
      "stop answered", Key.first,
      {{"run", std::to_string(Key.second)},
       {"worker", Worker.Incarnation.Id},
       {"outcome", std::string(enumName(WorkerOutcomeNames, Answer.Outcome))},
       {"clock_ms", std::to_string(Answer.ClockMs.value_or(-1))},
       {"expected_clock_ms", std::to_string(estimatedClockMs())}});
  // An answer of the former process says nothing about the next one.
  if (Ended || SentTo != NextStartUnixMs)
    return;
  StopsInFlight.erase(Key);
  UnansweredCalls += Answer.Outcome == WorkerOutcome::NoAnswer ? 1 : 0;
  checkClock(Key, Answer, SentAt);
  switch (Answer.Outcome) {
  case WorkerOutcome::Fenced:
    endIfFenced(Answer.Outcome);
    return;
  case WorkerOutcome::Restarted:
  case WorkerOutcome::NoAnswer:
  case WorkerOutcome::ConnectionRefused:
  case WorkerOutcome::OtherWorker:
  case WorkerOutcome::NotSent:
  case WorkerOutcome::Unhealthy:
    return; // pump() sends the order again.
  case WorkerOutcome::Done:
  case WorkerOutcome::Expired:
  case WorkerOutcome::NoRoom:
  case WorkerOutcome::NoTicket:
  case WorkerOutcome::Malformed:
    // If the run goes on, the leader orders the stop again.
    PendingStops.erase(Key);
    return;
  }
}

void WorkerSession::acknowledge(std::int64_t UpTo) {
  AckedEnd = std::max(AckedEnd, UpTo);
  if (LastReportedEnd <= AckedEnd)
    NextHeartbeat = Time.now();
}

bool WorkerSession::endIfFenced(WorkerOutcome Outcome) {
  if (Outcome != WorkerOutcome::Fenced)
    return false;
  end(WorkerEvent::Fenced, "worker fenced by another session");
  return true;
}

void WorkerSession::forgetOldStarts() {
  std::erase_if(UnansweredStarts, [this](const auto &Start) {
    return Time.now() - Start.second >= Times.MaxCallDelay;
  });
}

void WorkerSession::stopFormerStarts() {
  forgetOldStarts();
  std::set<RunKey> Keys;
  for (const auto *Starts : {&UnlistedStarts, &UnansweredStarts})
    for (const auto &[Key, SentAt] : *Starts)
      Keys.insert(Key);
  for (const RunKey &Key : Keys)
    stopOnNextProcess(Key);
}

void WorkerSession::stopOnNextProcess(const RunKey &Key) {
  NextProcessRuns.insert(Key);
  stop({Worker.Incarnation, Key.first, Key.second});
}

// The next process can't have the other runs, whatever it still carries out.
void WorkerSession::reportFormerRunsIfDue(TimePoint Now) {
  if (!FormerRunsDue || Now < *FormerRunsDue)
    return;
  FormerRunsDue.reset();
  report(WorkerEvent::LeaseExpired);
}

// Orders name a worker by its id, so the next process may have carried out some
// that were sent to the former one, or may still do so. Each of these is
// stopped there, which also makes the worker refuse a start that comes later.
void WorkerSession::onRestart(const HeartbeatResult &Result,
                              bool StopsAnswered) {
  const TimePoint Now = Time.now();
  const bool IsFirst = NextStartUnixMs != Result.StartedUnixMs;
  NextStartUnixMs = Result.StartedUnixMs;
  if (IsFirst) {
    // A late call of this session may begin a run, and extend the lease.
    const TimePoint LastCallBy =
        LastGrantAt ? std::max(Now, *LastGrantAt + Times.MaxCallDelay) : Now;
    RestartResolvedBy = longestLeaseFrom(LastCallBy);
    FormerRunsDue = longestLeaseFrom(Now);
    markUnreachable(WorkerOutcome::Restarted);
    PendingStarts.clear();
    PendingStops.clear();
    StopsInFlight.clear();
    stopFormerStarts();
  }
  const bool IsStopDue = IsFirst || Now >= NextStop;
  for (const jobs::ActiveRun &Run : Result.Running)
    if (IsStopDue && !PendingStops.contains({Run.Task, Run.Run}))
      stopOnNextProcess({Run.Task, Run.Run});
  // The lists tell the outcome if they were read after the stops.
  if (Result.Running.empty() && PendingStops.empty() &&
      (IsFirst || StopsAnswered)) {
    end(WorkerEvent::ProcessEnded, "worker process ended", Result.Ended);
    return;
  }
  NextHeartbeat = Now + RestartPollDelay;
}

void WorkerSession::end(WorkerEvent Event, std::string_view LogEvent,
                        std::vector<jobs::EndedRun> EndedRuns) {
  if (Ended)
    return;
  Ended = true;
  PendingStarts.clear();
  PendingStops.clear();
  logLeaseEnd(LogEvent);
  report(Event, std::move(EndedRuns));
}

void WorkerSession::report(WorkerEvent Event,
                           std::vector<jobs::EndedRun> EndedRuns) {
  WorkerReport Report;
  Report.Event = Event;
  Report.Incarnation = Worker.Incarnation;
  Report.Token = Worker.Token;
  if (Event == WorkerEvent::LeaseFrozen) {
    Report.RemainingLeaseMs =
        std::max(leaseEnd() - Time.now(), Duration{0}).count();
    Report.UnconfirmedStarts.emplace();
    for (const auto &[Key, SentAt] : UnlistedStarts)
      Report.UnconfirmedStarts->push_back(
          {Key.first, Key.second, (Time.now() - SentAt).count()});
  }
  if (Event == WorkerEvent::LeaseExpired && RestartResolvedBy)
    for (const RunKey &Key : NextProcessRuns)
      Report.Running.push_back({Key.first, Key.second, "", 0});
  else if (Event == WorkerEvent::LeaseExpired && ExpiryIsPartial)
    for (const auto &[Key, SentAt] : UnlistedStarts)
      Report.Running.push_back({Key.first, Key.second, "", 0});
  if (Event == WorkerEvent::LeaseExpired) {
    Report.ProcessAbsent = ProcessAbsent;
    Report.Basis = leaseBasis();
    Report.GrantAgeMs = ageMsOf(LastGrantAt);
  }
  Report.AnswerAgeMs = ageMsOf(LastAnswerAt);
  Report.Ended = std::move(EndedRuns);
  if (Event == WorkerEvent::ProcessEnded)
    Report.AnsweredStartUnixMs = NextStartUnixMs;
  Owner.Report(std::move(Report));
}

} // namespace apricotwing::cell
