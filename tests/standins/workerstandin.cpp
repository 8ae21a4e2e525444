#include "standins/workerstandin.h"

#include "core/error.h"
#include "wire/platformcodec.h"

#include <algorithm>
#include <limits>
#include <vector>

namespace apricotwing::standins {

namespace {

/// Age of a task from which on its use is reported.
constexpr std::int64_t UsageLagMs = 1000;

/// Exit code of a task that was killed because its lease ended.
constexpr std::int32_t KilledExitCode = 137;

constexpr std::int64_t DefaultRunMs = 100;

constexpr std::int64_t Never = std::numeric_limits<std::int64_t>::max();

nlohmann::json parsePayload(const std::string &Payload) {
  nlohmann::json Value = nlohmann::json::parse(Payload, nullptr, false);
  return Value.is_object() ? Value : nlohmann::json::object();
}

} // namespace

WorkerStandin::WorkerStandin(Timeline &Time, Counts &Seen,
                             ListedWorker Identity, std::int64_t ClockOffsetMs)
    : Site(Time), Seen(Seen), Identity(std::move(Identity)),
      ClockOffsetMs(ClockOffsetMs) {}

ListedWorker WorkerStandin::listed() const {
  ListedWorker Result = Identity;
  Result.Address = address();
  if (faults().Leaving)
    Result.State = ListedState::Leaving;
  return Result;
}

void WorkerStandin::handle(const HttpRequest &Request, const Responder &Reply) {
  advance();
  if (Request.Path == "/v1/lease")
    Reply(renew(Request.Body));
  else if (Request.Path == "/v1/tasks")
    Reply(start(Request.Body));
  else if (Request.Path == "/v1/tasks/stop")
    Reply(stop(Request.Body));
  else
    Reply(errorAnswer(404, "not_found", Request.Path));
}

void WorkerStandin::handleDown(const HttpRequest &, const Responder &Reply) {
  forget(Reply);
}

void WorkerStandin::pausedChanged(bool IsPaused) {
  if (IsPaused) {
    advance();
    PausedAtMs = nowMs();
    for (const auto &[Id, Each] : Live)
      Seen.attemptFrozen(Id);
    return;
  }
  const std::int64_t PausedMs = nowMs() - PausedAtMs;
  for (auto &[Id, Each] : Live)
    if (Each.EndMs != Never) {
      Each.EndMs += PausedMs;
      advanceAt(Each.EndMs);
    }
  std::vector<AttemptId> Expired;
  for (const auto &[Id, Each] : Live)
    if (Leases[Each.Shard].DeadlineMs <= nowMs())
      Expired.push_back(Id);
  for (const AttemptId &Id : Expired)
    finish(Id, TaskState::Lost, KilledExitCode);
  for (const auto &[Id, Each] : Live)
    Seen.attemptThawed(Id);
}

void WorkerStandin::advance() {
  const std::int64_t Now = nowMs();
  std::vector<std::pair<AttemptId, bool>> Over;
  for (const auto &[Id, Each] : Live) {
    const std::int64_t Deadline = Leases[Each.Shard].DeadlineMs;
    if (Each.EndMs <= std::min(Now, Deadline))
      Over.emplace_back(Id, true);
    else if (Deadline <= Now)
      Over.emplace_back(Id, false);
  }
  for (const auto &[Id, IsDone] : Over) {
    const std::int32_t ExitCode = Live.at(Id).ExitCode;
    if (!IsDone)
      finish(Id, TaskState::Lost, KilledExitCode);
    else
      finish(Id, ExitCode == 0 ? TaskState::Succeeded : TaskState::Failed,
             ExitCode);
  }
}

void WorkerStandin::advanceAt(std::int64_t WhenMs) {
  Time.after(std::max<std::int64_t>(WhenMs - nowMs(), 0), [this] {
    const std::lock_guard Lock(Mutex);
    if (!Switches.Paused)
      advance();
  });
}

void WorkerStandin::finish(const AttemptId &Id, TaskState State,
                           std::int32_t ExitCode) {
  const auto Found = Live.find(Id);
  Ended[Id] = {Id, State, ExitCode, Found->second.Used};
  InUse -= Found->second.Reserved;
  Live.erase(Found);
  Seen.attemptEnded(Id, State);
}

void WorkerStandin::admitEpoch(const ShardId &Shard, Epoch Value) {
  Lease &Held = Leases[Shard];
  if (Value < Held.Highest)
    throw Error(ErrorKind::StaleEpoch, "the epoch has been superseded",
                "give up the shard");
  Held.Highest = Value;
}

HttpResponse WorkerStandin::renew(const std::string &Body) {
  const LeaseRenewal Renewal = decodeLeaseRenewal(Body);
  admitEpoch(Renewal.Shard, Renewal.ShardEpoch);
  Lease &Held = Leases[Renewal.Shard];
  if (Renewal.DeadlineMs > Held.DeadlineMs) {
    Held.DeadlineMs = Renewal.DeadlineMs;
    advanceAt(Held.DeadlineMs);
  }
  for (const AttemptId &Id : Renewal.Acknowledged)
    Ended.erase(Id);
  LeaseAnswer Answer;
  Answer.NowMs = nowMs();
  for (const auto &[Id, Each] : Live) {
    const bool IsMeasured = Answer.NowMs - Each.StartMs >= UsageLagMs;
    Answer.Tasks.push_back(
        {Id, TaskState::Running, 0, IsMeasured ? Each.Used : Resources{}});
  }
  for (const auto &[Id, Report] : Ended)
    Answer.Tasks.push_back(Report);
  return jsonResponse(200, encodeLeaseAnswer(Answer));
}

HttpResponse WorkerStandin::start(const std::string &Body) {
  const TaskStart Start = decodeTaskStart(Body);
  admitEpoch(Start.Shard, Start.ShardEpoch);
  if (Known.contains(Start.Id))
    return jsonResponse(200, "{}");
  if (std::min(Leases[Start.Shard].DeadlineMs, Start.DeadlineMs) <= nowMs())
    return errorAnswer(409, "no_lease", "the worker holds no valid lease");
  if (Switches.Refuse || !hasRoomFor(Start.Reserved)) {
    Seen.capacityRefused();
    return errorAnswer(507, "no_capacity", "the worker is full");
  }
  admit(Start);
  return jsonResponse(200, "{}");
}

void WorkerStandin::admit(const TaskStart &Start) {
  const nlohmann::json Payload = parsePayload(Start.Payload);
  Task Each;
  Each.Shard = Start.Shard;
  Each.Reserved = Start.Reserved;
  Each.Used = Start.Reserved;
  Each.Used.CpuMillis = Payload.value("cpu_millis", Each.Used.CpuMillis);
  Each.Used.MemoryMib = Payload.value("memory_mib", Each.Used.MemoryMib);
  Each.StartMs = nowMs();
  std::int64_t RunMs = Payload.value("run_ms", DefaultRunMs);
  Each.ExitCode = Payload.value("exit", 0);
  if (Switches.FailTasks) {
    RunMs = 0;
    Each.ExitCode = 1;
  }
  Each.EndMs = RunMs < 0 ? Never : Each.StartMs + RunMs;
  InUse += Each.Reserved;
  Seen.workerFilled(InUse.dominantFraction(Identity.Capacity));
  Seen.attemptStarted(Start.Id);
  if (Each.EndMs != Never)
    advanceAt(Each.EndMs);
  Known.insert(Start.Id);
  Live.emplace(Start.Id, std::move(Each));
}

bool WorkerStandin::hasRoomFor(const Resources &Wanted) const {
  return (InUse + Wanted).fitsIn(Identity.Capacity);
}

HttpResponse WorkerStandin::stop(const std::string &Body) {
  const TaskStop Stop = decodeTaskStop(Body);
  admitEpoch(Stop.Shard, Stop.ShardEpoch);
  const auto Found = Live.find(Stop.Id);
  if (Stop.Mode == StopMode::Throttle) {
    if (Found != Live.end())
      Found->second.Used.CpuMillis /= 2;
  } else if (Found != Live.end()) {
    finish(Stop.Id, TaskState::Cancelled, 0);
  } else if (Known.insert(Stop.Id).second) {
    // A start that arrives after its stop must not run.
    Ended[Stop.Id] = {Stop.Id, TaskState::Cancelled, 0, {}};
  }
  return jsonResponse(200, "{}");
}

} // namespace apricotwing::standins
