#include "daemon/workerfleet.h"

#include <utility>

namespace apricotwing {

namespace {

WorkerLeaseSettings leaseSettings(const Settings &Values) {
  return {Values.Scheduler.WorkerLease, Values.Scheduler.WorkerRenew,
          Values.Scheduler.Keepalive};
}

} // namespace

WorkerFleet::WorkerFleet(DaemonContext &Context, ThreadPool &Calls,
                         Mailbox Post, ShardScheduler &Scheduler,
                         Epoch ShardEpoch, bool MayHaveTasks)
    : Context(Context), Calls(Calls), Post(std::move(Post)),
      Scheduler(&Scheduler), Shard(Scheduler.shard()), ShardEpoch(ShardEpoch),
      MayHaveTasks(MayHaveTasks), LeaseSettings(leaseSettings(Context.Values)),
      TakeoverAt(Context.Time.now()) {}

WorkerFleet::Entry &WorkerFleet::entry(const WorkerId &Worker) {
  const auto Found = Workers.find(Worker);
  if (Found != Workers.end())
    return Found->second;
  const WorkerLease Lease(LeaseSettings, TakeoverAt, MayHaveTasks);
  return Workers.emplace(Worker, Entry(Lease)).first->second;
}

void WorkerFleet::setWorkers(const std::vector<ListedWorker> &Listed) {
  for (const ListedWorker &Worker : Listed)
    entry(Worker.Id).Address = Worker.Address;
}

void WorkerFleet::advance(TimePoint Now, bool HasAuthority) {
  for (const WorkerId &Worker : Scheduler->workersInUse())
    entry(Worker);
  const bool MayRenew = mayRenewLeases(
      HasAuthority, Context.Session.lastRenewal(), Now, LeaseSettings);
  for (auto &[Worker, Target] : Workers) {
    if (MayRenew && !Target.RenewalUnderWay && !Target.Address.empty() &&
        (!Target.LastCall || Now - *Target.LastCall >= LeaseSettings.Renew))
      renew(Worker, Target, Now);
    if (!Target.Lease.isExpired(Now)) {
      Target.ExpiryNoted = false;
      continue;
    }
    if (std::exchange(Target.ExpiryNoted, true) ||
        Scheduler->attemptsOn(Worker).empty())
      continue;
    Context.Events.warning(Component::Workers, "lease expired, tasks are lost",
                           Worker + " of shard " + Shard);
    Scheduler->handleWorkerExpired(Worker, Now);
  }
}

void WorkerFleet::renew(const WorkerId &Worker, Entry &Target, TimePoint Now) {
  Target.LastCall = Now;
  LeaseRenewal Renewal;
  Renewal.Shard = Shard;
  Renewal.ShardEpoch = ShardEpoch;
  Renewal.DeadlineMs = Target.Lease.nextDeadlineMs(Now);
  Renewal.Acknowledged.assign(Target.Acknowledgements.begin(),
                              Target.Acknowledgements.end());
  const auto Call = [Self = shared_from_this(), Worker, Renewal,
                     Address = Target.Address] {
    const TimePoint SentAt = Self->Context.Time.now();
    try {
      LeaseAnswer Answer = Self->Context.Workers.renew(Address, Renewal);
      const TimePoint ReceivedAt = Self->Context.Time.now();
      Self->Post([Self, Worker, SentAt, ReceivedAt, Answer = std::move(Answer),
                  Renewal] {
        Self->handleAnswer(Worker, SentAt, ReceivedAt, Answer, Renewal);
      });
    } catch (const Error &Failure) {
      Self->Post([Self, Worker, Failure] {
        Self->handleRenewalFailure(Worker, Failure);
      });
    }
  };
  Target.RenewalUnderWay = Calls.submit(Call);
}

void WorkerFleet::handleAnswer(const WorkerId &Worker, TimePoint SentAt,
                               TimePoint ReceivedAt, const LeaseAnswer &Answer,
                               const LeaseRenewal &Renewal) {
  if (Scheduler == nullptr)
    return;
  Entry &Target = entry(Worker);
  Target.RenewalUnderWay = false;
  for (const AttemptId &Id : Renewal.Acknowledged)
    Target.Acknowledgements.erase(Id);
  if (std::exchange(Target.SilentNoted, false))
    Context.Events.info(Component::Workers, "worker answers again", Worker);
  // A clock that was set back says nothing about the tasks; the report does.
  if (!Target.Lease.answered(SentAt, ReceivedAt, Answer.NowMs))
    Context.Events.warning(Component::Workers, "worker has set its clock back",
                           Worker);
  if (Renewal.DeadlineMs > 0)
    return Scheduler->handleReport(Worker, Answer.Tasks, ReceivedAt);
  // The call only read the worker's clock. A worker without a lease refuses
  // starts, so its report counts once a lease is in force.
  Target.LastCall.reset();
}

void WorkerFleet::handleRenewalFailure(const WorkerId &Worker,
                                       const Error &Failure) {
  if (Scheduler == nullptr)
    return;
  Entry &Target = entry(Worker);
  Target.RenewalUnderWay = false;
  Scheduler->handleWorkerUnreachable(Worker);
  if (!std::exchange(Target.SilentNoted, true))
    Context.Events.warning(Component::Workers, "worker does not answer",
                           Worker + ": " + Failure.what());
}

void WorkerFleet::carryOut(const Decisions &Committed) {
  for (const auto &[Worker, Ended] : Committed.Acknowledgements)
    entry(Worker).Acknowledgements.insert(Ended.begin(), Ended.end());
  for (const StopCommand &Command : Committed.Stops)
    sendStop(Command);
  for (const StartCommand &Command : Committed.Starts)
    sendStart(Command);
}

void WorkerFleet::sendStart(const StartCommand &Command) {
  TaskStart Start{Shard,
                  ShardEpoch,
                  Command.Id,
                  Command.Reserved,
                  Command.Payload,
                  Command.FromCheckpoint,
                  entry(Command.Worker).Lease.lastDeadlineMs()};
  const auto Call = [Self = shared_from_this(), Start, Worker = Command.Worker,
                     Address = entry(Command.Worker).Address] {
    try {
      // The authority may have ended while the call waited for a thread.
      if (!Self->Context.hasAuthority())
        return;
      Self->Context.Workers.start(Address, Start);
    } catch (const Error &Failure) {
      Self->Context.Events.failure(Component::Workers, "start failed", Failure);
      if (Failure.outcome() != Outcome::NotRun)
        return;
      Self->Post([Self, Id = Start.Id] {
        if (Self->Scheduler != nullptr)
          Self->Scheduler->handleStartRefused(Id, Self->Context.Time.now());
      });
    }
  };
  // A start that finds no thread is sent again after the worker's report.
  Calls.submit(Call);
}

void WorkerFleet::sendStop(const StopCommand &Command) {
  TaskStop Stop{Shard, ShardEpoch, Command.Id, Command.Mode};
  const auto Call = [Self = shared_from_this(), Stop,
                     Address = entry(Command.Worker).Address] {
    try {
      Self->Context.Workers.stop(Address, Stop);
    } catch (const Error &Failure) {
      Self->Context.Events.failure(Component::Workers, "stop failed", Failure);
    }
  };
  Calls.submit(Call);
}

std::size_t WorkerFleet::silentWorkers(TimePoint Now) const {
  std::size_t Count = 0;
  for (const auto &[Worker, Target] : Workers) {
    const std::optional<TimePoint> Last = Target.Lease.lastContact();
    if (!Last || Now - *Last > 2 * LeaseSettings.Renew)
      ++Count;
  }
  return Count;
}

std::optional<Duration> WorkerFleet::silence(const WorkerId &Worker,
                                             TimePoint Now) const {
  const auto Found = Workers.find(Worker);
  if (Found == Workers.end() || !Found->second.Lease.lastContact())
    return std::nullopt;
  return Now - *Found->second.Lease.lastContact();
}

} // namespace apricotwing
