#include "standins/workerstandin.h"

#include "core/error.h"
#include "wire/platformcodec.h"

#include <algorithm>
#include <limits>
#include <vector>

namespace apricotwing::standins {

namespace {

/// Reports show no usage until a task has run for this long.
constexpr std::int64_t UsageReportDelayMs = 1000;

/// Exit code of a task that was killed because its lease expired.
constexpr std::int32_t KilledExitCode = 137;

constexpr std::int64_t DefaultRunMs = 100;

constexpr std::int64_t Never = std::numeric_limits<std::int64_t>::max();

nlohmann::json parsePayload(const std::string &Payload) {
  nlohmann::json Value = nlohmann::json::parse(Payload, nullptr, false);
  return Value.is_object() ? Value : nlohmann::json::object();
}

} // namespace

WorkerStandin::WorkerStandin(TimerQueue &Timers, Counts &Counters,
                             ListedWorker Identity, std::int64_t ClockOffsetMs)
    : StandinServer(Timers), Counters(Counters), Identity(std::move(Identity)),
      ClockOffsetMs(ClockOffsetMs) {}

ListedWorker WorkerStandin::listed() const {
  ListedWorker Result = Identity;
  Result.Address = address();
  if (faults().Leaving)
    Result.State = ListedState::Leaving;
  return Result;
}

void WorkerStandin::handle(const HttpRequest &Request, const Responder &Reply) {
  endDueTasks();
  if (Request.Path == "/v1/lease")
    Reply(renew(Request.Body));
  else if (Request.Path == "/v1/tasks")
    Reply(start(Request.Body));
  else if (Request.Path == "/v1/tasks/stop")
    Reply(stop(Request.Body));
  else
    Reply(errorAnswer(404, "not_found", Request.Path));
}

void WorkerStandin::handleWhileDown(const HttpRequest &,
                                    const Responder &Reply) {
  withholdReply(Reply);
}

void WorkerStandin::onPausedChanged(bool IsPaused) {
  if (IsPaused) {
    endDueTasks();
    PausedAtMs = nowMs();
    for (const auto &[Id, Task] : RunningTasks)
      Counters.attemptPaused(Id);
    return;
  }
  const std::int64_t PausedMs = nowMs() - PausedAtMs;
  for (auto &[Id, Task] : RunningTasks)
    if (Task.EndMs != Never) {
      Task.EndMs += PausedMs;
      endDueTasksAt(Task.EndMs);
    }
  std::vector<AttemptId> Expired;
  for (const auto &[Id, Task] : RunningTasks)
    if (Leases[Task.Shard].DeadlineMs <= nowMs())
      Expired.push_back(Id);
  for (const AttemptId &Id : Expired)
    finish(Id, TaskState::Lost, KilledExitCode);
  for (const auto &[Id, Task] : RunningTasks)
    Counters.attemptResumed(Id);
}

void WorkerStandin::endDueTasks() {
  const std::int64_t Now = nowMs();
  std::vector<std::pair<AttemptId, bool>> Finished;
  for (const auto &[Id, Task] : RunningTasks) {
    const std::int64_t Deadline = Leases[Task.Shard].DeadlineMs;
    if (Task.EndMs <= std::min(Now, Deadline))
      Finished.emplace_back(Id, true);
    else if (Deadline <= Now)
      Finished.emplace_back(Id, false);
  }
  for (const auto &[Id, HasExited] : Finished) {
    const std::int32_t ExitCode = RunningTasks.at(Id).ExitCode;
    if (!HasExited)
      finish(Id, TaskState::Lost, KilledExitCode);
    else
      finish(Id, ExitCode == 0 ? TaskState::Succeeded : TaskState::Failed,
             ExitCode);
  }
}

void WorkerStandin::endDueTasksAt(std::int64_t WhenMs) {
  Timers.after(std::max<std::int64_t>(WhenMs - nowMs(), 0), [this] {
    const std::lock_guard Lock(Mutex);
    if (!Switches.Paused)
      endDueTasks();
  });
}

void WorkerStandin::finish(const AttemptId &Id, TaskState State,
                           std::int32_t ExitCode) {
  const auto Found = RunningTasks.find(Id);
  UnacknowledgedReports[Id] = {Id, State, ExitCode, Found->second.Usage};
  InUse -= Found->second.Reserved;
  RunningTasks.erase(Found);
  Counters.attemptEnded(Id, State);
}

void WorkerStandin::checkEpoch(const ShardId &Shard, Epoch Value) {
  Lease &ShardLease = Leases[Shard];
  if (Value < ShardLease.HighestEpoch)
    throw Error(ErrorKind::StaleEpoch, "the epoch has been superseded",
                "give up the shard");
  ShardLease.HighestEpoch = Value;
}

HttpResponse WorkerStandin::renew(const std::string &Body) {
  const LeaseRenewal Renewal = decodeLeaseRenewal(Body);
  checkEpoch(Renewal.Shard, Renewal.ShardEpoch);
  Lease &ShardLease = Leases[Renewal.Shard];
  if (Renewal.DeadlineMs > ShardLease.DeadlineMs) {
    ShardLease.DeadlineMs = Renewal.DeadlineMs;
    endDueTasksAt(ShardLease.DeadlineMs);
  }
  for (const AttemptId &Id : Renewal.Acknowledged)
    UnacknowledgedReports.erase(Id);
  LeaseAnswer Answer;
  Answer.NowMs = nowMs();
  for (const auto &[Id, Task] : RunningTasks) {
    const bool IsUsageKnown = Answer.NowMs - Task.StartMs >= UsageReportDelayMs;
    Answer.Tasks.push_back(
        {Id, TaskState::Running, 0, IsUsageKnown ? Task.Usage : Resources{}});
  }
  for (const auto &[Id, Report] : UnacknowledgedReports)
    Answer.Tasks.push_back(Report);
  return jsonResponse(200, encodeLeaseAnswer(Answer));
}

HttpResponse WorkerStandin::start(const std::string &Body) {
  const TaskStart Start = decodeTaskStart(Body);
  checkEpoch(Start.Shard, Start.ShardEpoch);
  if (KnownAttempts.contains(Start.Id))
    return jsonResponse(200, "{}");
  if (std::min(Leases[Start.Shard].DeadlineMs, Start.DeadlineMs) <= nowMs())
    return errorAnswer(409, "no_lease", "the worker holds no valid lease");
  if (Switches.Refuse || !hasCapacityFor(Start.Reserved)) {
    Counters.capacityRefused();
    return errorAnswer(507, "no_capacity", "the worker is full");
  }
  beginTask(Start);
  return jsonResponse(200, "{}");
}

void WorkerStandin::beginTask(const TaskStart &Start) {
  const nlohmann::json Payload = parsePayload(Start.Payload);
  RunningTask Task;
  Task.Shard = Start.Shard;
  Task.Reserved = Start.Reserved;
  Task.Usage = Start.Reserved;
  Task.Usage.CpuMillis = Payload.value("cpu_millis", Task.Usage.CpuMillis);
  Task.Usage.MemoryMib = Payload.value("memory_mib", Task.Usage.MemoryMib);
  Task.StartMs = nowMs();
  std::int64_t RunMs = Payload.value("run_ms", DefaultRunMs);
  Task.ExitCode = Payload.value("exit", 0);
  if (Switches.FailTasks) {
    RunMs = 0;
    Task.ExitCode = 1;
  }
  Task.EndMs = RunMs < 0 ? Never : Task.StartMs + RunMs;
  InUse += Task.Reserved;
  Counters.workerUtilization(InUse.dominantFraction(Identity.Capacity));
  Counters.attemptStarted(Start.Id);
  if (Task.EndMs != Never)
    endDueTasksAt(Task.EndMs);
  KnownAttempts.insert(Start.Id);
  RunningTasks.emplace(Start.Id, std::move(Task));
}

bool WorkerStandin::hasCapacityFor(const Resources &Requested) const {
  return (InUse + Requested).fitsIn(Identity.Capacity);
}

HttpResponse WorkerStandin::stop(const std::string &Body) {
  const TaskStop Stop = decodeTaskStop(Body);
  checkEpoch(Stop.Shard, Stop.ShardEpoch);
  const auto Found = RunningTasks.find(Stop.Id);
  if (Stop.Mode == StopMode::Throttle) {
    if (Found != RunningTasks.end())
      Found->second.Usage.CpuMillis /= 2;
  } else if (Found != RunningTasks.end()) {
    finish(Stop.Id, TaskState::Cancelled, 0);
  } else if (KnownAttempts.insert(Stop.Id).second) {
    // A start that arrives after the stop of the same attempt must not run.
    UnacknowledgedReports[Stop.Id] = {Stop.Id, TaskState::Cancelled, 0, {}};
  }
  return jsonResponse(200, "{}");
}

} // namespace apricotwing::standins
