#include "cell/workersession.h"

#include <algorithm>
#include <utility>

namespace apricotwing::cell {

namespace {

/// Pause before an unreachable worker is called again.
constexpr Duration UnreachablePause{250};

/// Pause between two readings of the lists while ends wait to be stored.
constexpr Duration UnstoredPause{400};

/// Pause before a stop without an answer is sent again.
constexpr Duration StopPause{300};

/// Sends of one start. More than two would reach a worker that answers
/// nothing only after the start's deadline.
constexpr int MaxStartTries = 2;

/// Calls that find no listener on a machine that answers before its process
/// counts as ended. A process holds its port until its end; the second call is
/// for a machine whose network is still being set up.
constexpr int RefusalsToEndLife = 2;

/// Covers rounding and the delay until a lapse is carried out.
constexpr Duration LapseMargin{100};

} // namespace

WorkerSession::WorkerSession(WorkerClient &Client, const Clock &Time,
                             const Timing &Times, EventLog &Log,
                             const Assignment &Given, Owner Holder)
    : Client(Client), Time(Time), Times(Times),
      Log(Log), To{Given.Life, Given.Address, Given.Token},
      Holder(std::move(Holder)),
      AssumedLeaseEnd(Time.now() +
                      Duration(Duration::rep(double(Given.AssumedLeaseMs) /
                                             Times.SlowestWorkerClock)) +
                      LapseMargin) {}

std::int64_t WorkerSession::clockEstimate() const {
  return LastClockMs + (Time.now() - LastClockAt).count();
}

void WorkerSession::noteClock(std::int64_t ClockMs) {
  if (HasClock && ClockMs < LastClockMs)
    return; // An answer that was overtaken by a later one.
  HasClock = true;
  LastClockMs = ClockMs;
  LastClockAt = Time.now();
}

TimePoint WorkerSession::leaseEnd() const {
  if (!HasClock)
    return AssumedLeaseEnd;
  const auto Left = double(MaxDeadlineMs - LastClockMs);
  const TimePoint Own =
      LastClockAt +
      Duration(Duration::rep(std::max(Left, 0.0) / Times.SlowestWorkerClock)) +
      LapseMargin;
  return std::max(Own, AssumedLeaseEnd);
}

void WorkerSession::pump() {
  if (Ended)
    return;
  const TimePoint Now = Time.now();
  if (!Reachable && !LapseReported && Now >= leaseEnd()) {
    LapseReported = true;
    Synced = false;
    Attempts.clear();
    Stops.clear();
    Log.event("worker lease lapsed", To.Life.Id,
              {{"token", std::to_string(To.Token)}});
    report(WorkerEvent::Lapsed);
  }
  if (!HoldInFlight && Now >= NextHold)
    heartbeat();
  if (!Stops.empty() && Now >= NextStop) {
    NextStop = Now + StopPause;
    std::vector<RunKey> Due;
    for (const auto &[Key, Order] : Stops)
      if (!StopsInFlight[Key])
        Due.push_back(Key);
    for (const RunKey &Key : Due)
      sendStop(Key);
  }
}

void WorkerSession::heartbeat() {
  HeartbeatRequest Request;
  // A worker that does not answer may be dead; its lease has to end.
  const bool Extend = HasClock && Reachable && Holder.MayExtend();
  if (Extend) {
    Request.DeadlineMs = clockEstimate() + Times.WorkerLease.count();
    MaxDeadlineMs = std::max(MaxDeadlineMs, *Request.DeadlineMs);
  }
  Request.AckCursor = Cursor;
  if (Synced && Listed <= Cursor && Extend)
    Request.Wait = Times.HoldWait;
  HoldInFlight = true;
  Client.heartbeat(To, Request,
                   Life.guard([this, Extend](const HeartbeatResult &Result) {
                     HoldInFlight = false;
                     held(Result, Extend);
                   }));
}

void WorkerSession::held(const HeartbeatResult &Result, bool Extended) {
  if (Ended)
    return;
  const TimePoint Now = Time.now();
  if (endsWith(Result.Outcome))
    return;
  if (Result.Outcome != WorkerOutcome::Done) {
    lost(Result.Outcome);
    NextHold = Now + UnreachablePause;
    return;
  }
  RefusedInRow = 0;
  noteClock(Result.ClockMs);
  // Ends that were listed before a lapse of the lease do not count, so the
  // owner has to know of the lapse before it sees them.
  if (!Extended && Synced && MaxDeadlineMs > 0 &&
      Result.ClockMs > MaxDeadlineMs) {
    Synced = false;
    report(WorkerEvent::Lapsed);
  }
  LapseReported = false;
  if (!Reachable) {
    Reachable = true;
    Log.event("worker answers again", To.Life.Id, {});
    if (Synced)
      report(WorkerEvent::Reachable);
  }
  listsRead(Result);
  NextHold = Now;
  if (Listed > Cursor)
    NextHold = Now + UnstoredPause;
  else if (!Extended && HasClock && !Holder.MayExtend())
    NextHold = Now + UnreachablePause;
}

void WorkerSession::listsRead(const HeartbeatResult &Result) {
  WorkerReport Fresh;
  Fresh.Life = To.Life;
  Fresh.Token = To.Token;
  for (const jobs::EndedRun &End : Result.Ended)
    if (!Synced || End.Number > Listed)
      Fresh.Ended.push_back(End);
  for (const jobs::EndedRun &End : Result.Ended) {
    Listed = std::max(Listed, End.Number);
    Attempts.erase({End.Task, End.Run});
    Stops.erase({End.Task, End.Run});
  }
  settleAttempts(Result);
  if (!Synced) {
    Synced = true;
    Fresh.Event = WorkerEvent::Synced;
    Fresh.Running = Result.Running;
    Holder.Report(std::move(Fresh));
    return;
  }
  if (Fresh.Ended.empty())
    return;
  Fresh.Event = WorkerEvent::Ended;
  // Checkpoints of what goes on, in case that the worker is lost.
  for (const jobs::ActiveRun &Run : Result.Running)
    if (!Run.Checkpoint.empty())
      Fresh.Running.push_back(Run);
  Holder.Report(std::move(Fresh));
}

void WorkerSession::settleAttempts(const HeartbeatResult &Result) {
  if (Attempts.empty())
    return;
  for (const jobs::ActiveRun &Run : Result.Running)
    Attempts.erase({Run.Task, Run.Run});
  std::vector<RunKey> Expired;
  for (const auto &[Key, Try] : Attempts)
    if (!Try.InFlight && Result.ClockMs > Try.DeadlineMs)
      Expired.push_back(Key);
  for (const RunKey &Key : Expired)
    refuse(Key, jobs::StartRefusal::Expired);
}

void WorkerSession::lost(WorkerOutcome Why) {
  if (!Reachable)
    return;
  Reachable = false;
  Log.event("worker does not answer", To.Life.Id,
            {{"outcome", std::string(enumName(WorkerOutcomeNames, Why))}});
  if (Synced)
    report(WorkerEvent::Unreachable);
}

void WorkerSession::start(const jobs::StartCommand &Order) {
  const RunKey Key{Order.Task, Order.Run};
  Attempts[Key] = Attempt{Order, 0, 0, false};
  if (Ended || !Synced) {
    refuse(Key, jobs::StartRefusal::Expired);
    return;
  }
  Attempts[Key].DeadlineMs = clockEstimate() + Times.StartValidity.count();
  send(Key);
}

void WorkerSession::send(const RunKey &Key) {
  Attempt &Try = Attempts.at(Key);
  ++Try.Tries;
  Try.InFlight = true;
  MaxDeadlineMs = std::max(MaxDeadlineMs, Try.DeadlineMs);
  Client.start(To, Try.Order, Try.DeadlineMs,
               Life.guard([this, Key](const WorkerAnswer &Answer) {
                 started(Key, Answer);
               }));
}

void WorkerSession::started(const RunKey &Key, const WorkerAnswer &Answer) {
  const auto Found = Attempts.find(Key);
  if (Found == Attempts.end() || Ended)
    return; // A list has told what became of it.
  Attempt &Try = Found->second;
  Try.InFlight = false;
  if (Answer.ClockMs)
    noteClock(*Answer.ClockMs);
  // After a first send without an answer, a refusal of the second can mean
  // that the run was there and has ended; the lists tell.
  const bool Conclusive = Try.Tries == 1;
  switch (Answer.Outcome) {
  case WorkerOutcome::Done:
    Attempts.erase(Found);
    return;
  case WorkerOutcome::Fenced:
  case WorkerOutcome::OtherLife:
    endsWith(Answer.Outcome);
    return;
  case WorkerOutcome::NoAnswer:
  case WorkerOutcome::NoProcess:
  case WorkerOutcome::NotSent:
    if (Answer.Outcome != WorkerOutcome::NoAnswer && Conclusive) {
      refuse(Key, jobs::StartRefusal::Unhealthy);
      return;
    }
    if (Try.Tries < MaxStartTries && clockEstimate() < Try.DeadlineMs)
      send(Key);
    return;
  case WorkerOutcome::NoRoom:
    if (Conclusive)
      refuse(Key, jobs::StartRefusal::NoRoom);
    return;
  case WorkerOutcome::NoTicket:
    if (Conclusive)
      refuse(Key, jobs::StartRefusal::NoTicket);
    return;
  case WorkerOutcome::Unhealthy:
    if (Conclusive)
      refuse(Key, jobs::StartRefusal::Unhealthy);
    return;
  case WorkerOutcome::Malformed:
    if (Conclusive)
      refuse(Key, jobs::StartRefusal::Malformed);
    return;
  case WorkerOutcome::Expired:
    if (Conclusive)
      refuse(Key, jobs::StartRefusal::Expired);
    return;
  }
}

void WorkerSession::refuse(const RunKey &Key, jobs::StartRefusal Reason) {
  Attempts.erase(Key);
  Holder.Refuse({To.Life, Key.first, Key.second, Reason});
}

void WorkerSession::stop(const jobs::StopCommand &Order) {
  const RunKey Key{Order.Task, Order.Run};
  Stops[Key] = Order;
  sendStop(Key);
}

void WorkerSession::sendStop(const RunKey &Key) {
  if (Ended)
    return;
  StopsInFlight[Key] = true;
  NextStop = Time.now() + StopPause;
  Client.stop(To, Stops.at(Key),
              Life.guard([this, Key](const WorkerAnswer &Answer) {
                StopsInFlight.erase(Key);
                if (Answer.ClockMs)
                  noteClock(*Answer.ClockMs);
                if (Answer.Outcome == WorkerOutcome::NoAnswer ||
                    Answer.Outcome == WorkerOutcome::NoProcess ||
                    Answer.Outcome == WorkerOutcome::NotSent ||
                    Answer.Outcome == WorkerOutcome::Unhealthy)
                  return; // Sent again by pump().
                Stops.erase(Key);
              }));
}

void WorkerSession::acknowledge(std::int64_t UpTo) {
  Cursor = std::max(Cursor, UpTo);
  if (Listed <= Cursor)
    NextHold = Time.now();
}

bool WorkerSession::endsWith(WorkerOutcome Outcome) {
  if (Outcome == WorkerOutcome::Fenced) {
    end(WorkerEvent::Fenced);
    return true;
  }
  if (Outcome == WorkerOutcome::NoProcess)
    ++RefusedInRow;
  if (Outcome != WorkerOutcome::OtherLife && RefusedInRow < RefusalsToEndLife)
    return false;
  end(WorkerEvent::LifeEnded);
  return true;
}

void WorkerSession::end(WorkerEvent Event) {
  if (Ended)
    return;
  Ended = true;
  Attempts.clear();
  Stops.clear();
  Log.event(Event == WorkerEvent::Fenced ? "worker has another holder"
                                         : "worker life ended",
            To.Life.Id,
            {{"token", std::to_string(To.Token)},
             {"refused", std::to_string(RefusedInRow)}});
  report(Event);
}

void WorkerSession::report(WorkerEvent Event) {
  WorkerReport Fresh;
  Fresh.Event = Event;
  Fresh.Life = To.Life;
  Fresh.Token = To.Token;
  Holder.Report(std::move(Fresh));
}

} // namespace apricotwing::cell
