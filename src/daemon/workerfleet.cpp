#include "daemon/workerfleet.h"

#include <utility>

namespace apricotwing {

namespace {

WorkerLeaseSettings leaseSettings(const Settings &Options) {
  return {Options.Scheduler.WorkerLease, Options.Scheduler.WorkerRenew,
          Options.Scheduler.Keepalive};
}

} // namespace

WorkerFleet::WorkerFleet(DaemonContext &Context, ThreadPool &CallPool,
                         PostFunction Post, ShardScheduler &Scheduler,
                         Epoch ShardEpoch, bool MayHaveTasks)
    : Context(Context), CallPool(CallPool), Post(std::move(Post)),
      Scheduler(&Scheduler), Shard(Scheduler.shard()), ShardEpoch(ShardEpoch),
      MayHaveTasks(MayHaveTasks), LeaseSettings(leaseSettings(Context.Options)),
      TakeoverTime(Context.Time.now()) {}

WorkerFleet::WorkerState &WorkerFleet::workerState(const WorkerId &Worker) {
  const auto Found = Workers.find(Worker);
  if (Found != Workers.end())
    return Found->second;
  const WorkerLease Lease(LeaseSettings, TakeoverTime, MayHaveTasks);
  return Workers.emplace(Worker, WorkerState(Lease)).first->second;
}

void WorkerFleet::setWorkers(const std::vector<ListedWorker> &Listed) {
  for (const ListedWorker &Worker : Listed)
    workerState(Worker.Id).Address = Worker.Address;
}

void WorkerFleet::advance(TimePoint Now, bool HasAuthority) {
  for (const WorkerId &Worker : Scheduler->workersInUse())
    workerState(Worker);
  const bool MayRenew = mayRenewLeases(
      HasAuthority, Context.Session.lastRenewal(), Now, LeaseSettings);
  for (auto &[Worker, State] : Workers) {
    if (MayRenew && State.RenewalInFlight.expired() && !State.Address.empty() &&
        (!State.LastRenewalStart ||
         Now - *State.LastRenewalStart >= LeaseSettings.Renew))
      renew(Worker, State, Now);
    if (!State.Lease.isExpired(Now)) {
      State.ExpiryReported = false;
      continue;
    }
    if (std::exchange(State.ExpiryReported, true) ||
        Scheduler->attemptsOn(Worker).empty())
      continue;
    Context.Logger.warning(Component::Workers, "lease expired, tasks are lost",
                           Worker + " of shard " + Shard);
    Scheduler->handleWorkerExpired(Worker, Now);
  }
}

void WorkerFleet::renew(const WorkerId &Worker, WorkerState &State,
                        TimePoint Now) {
  State.LastRenewalStart = Now;
  LeaseRenewal Renewal;
  Renewal.Shard = Shard;
  Renewal.ShardEpoch = ShardEpoch;
  Renewal.DeadlineMs = State.Lease.nextDeadlineMs(Now);
  Renewal.Acknowledged.assign(State.Acknowledgements.begin(),
                              State.Acknowledgements.end());
  const auto InFlight = std::make_shared<char>();
  State.RenewalInFlight = InFlight;
  const auto Call = [Self = shared_from_this(), Worker, Renewal, InFlight,
                     Address = State.Address] {
    const TimePoint SentAt = Self->Context.Time.now();
    try {
      LeaseAnswer Answer = Self->Context.Workers.renew(Address, Renewal);
      const TimePoint ReceivedAt = Self->Context.Time.now();
      Self->Post([Self, Worker, InFlight, SentAt, ReceivedAt,
                  Answer = std::move(Answer), Renewal] {
        Self->handleRenewalResponse(Worker, SentAt, ReceivedAt, Answer,
                                    Renewal);
      });
    } catch (const Error &Failure) {
      Self->Post([Self, Worker, InFlight, Failure] {
        Self->handleRenewalFailure(Worker, Failure);
      });
    }
  };
  CallPool.submit(Call);
}

void WorkerFleet::handleRenewalResponse(const WorkerId &Worker,
                                        TimePoint SentAt, TimePoint ReceivedAt,
                                        const LeaseAnswer &Answer,
                                        const LeaseRenewal &Renewal) {
  if (Scheduler == nullptr)
    return;
  WorkerState &State = workerState(Worker);
  State.RenewalInFlight.reset();
  for (const AttemptId &Id : Renewal.Acknowledged)
    State.Acknowledgements.erase(Id);
  if (std::exchange(State.SilenceLogged, false))
    Context.Logger.info(Component::Workers, "worker answers again", Worker);
  // A clock that was set back does not invalidate the report about the tasks.
  if (!State.Lease.answered(SentAt, ReceivedAt, Answer.NowMs))
    Context.Logger.warning(Component::Workers, "worker clock was set back",
                           Worker);
  if (Renewal.DeadlineMs > 0)
    return Scheduler->handleReport(Worker, Answer.Tasks, ReceivedAt);
  // A deadline of 0 only reads the worker's clock. A worker without a lease
  // rejects starts, so its reports are only used once a lease is in force.
  State.LastRenewalStart.reset();
}

void WorkerFleet::handleRenewalFailure(const WorkerId &Worker,
                                       const Error &Failure) {
  if (Scheduler == nullptr)
    return;
  WorkerState &State = workerState(Worker);
  State.RenewalInFlight.reset();
  Scheduler->handleWorkerUnreachable(Worker);
  if (!std::exchange(State.SilenceLogged, true))
    Context.Logger.warning(Component::Workers, "worker does not answer",
                           Worker + ": " + Failure.what());
}

void WorkerFleet::sendCommands(const Decisions &Committed) {
  for (const auto &[Worker, Ended] : Committed.Acknowledgements)
    workerState(Worker).Acknowledgements.insert(Ended.begin(), Ended.end());
  for (const StopCommand &Command : Committed.Stops)
    sendStop(Command);
  // While the outcome of the commit was unknown, the attempt may have ended.
  for (const StartCommand &Command : Committed.Starts)
    if (Scheduler->isStartWanted(Command.Id))
      sendStart(Command);
}

void WorkerFleet::sendStart(const StartCommand &Command) {
  TaskStart Start{Shard,
                  ShardEpoch,
                  Command.Id,
                  Command.Reserved,
                  Command.Payload,
                  Command.FromCheckpoint,
                  workerState(Command.Worker).Lease.lastDeadlineMs()};
  const auto Call = [Self = shared_from_this(), Start, Worker = Command.Worker,
                     Address = workerState(Command.Worker).Address] {
    try {
      // The authority may have expired while the call waited for a thread.
      if (!Self->Context.hasAuthority())
        return;
      Self->Context.Workers.start(Address, Start);
    } catch (const Error &Failure) {
      Self->Context.Logger.failure(Component::Workers, "start failed", Failure);
      if (Failure.outcome() != Outcome::NotRun)
        return;
      Self->Post([Self, Id = Start.Id] {
        if (Self->Scheduler != nullptr)
          Self->Scheduler->handleStartRefused(Id, Self->Context.Time.now());
      });
    }
  };
  // If the pool rejects the call, the start is repeated after the worker's next
  // report.
  CallPool.submit(Call);
}

void WorkerFleet::sendStop(const StopCommand &Command) {
  TaskStop Stop{Shard, ShardEpoch, Command.Id, Command.Mode};
  const auto Call = [Self = shared_from_this(), Stop,
                     Address = workerState(Command.Worker).Address] {
    try {
      Self->Context.Workers.stop(Address, Stop);
    } catch (const Error &Failure) {
      Self->Context.Logger.failure(Component::Workers, "stop failed", Failure);
    }
  };
  CallPool.submit(Call);
}

std::size_t WorkerFleet::silentWorkers(TimePoint Now) const {
  std::size_t Count = 0;
  for (const auto &[Worker, State] : Workers) {
    const std::optional<TimePoint> Last = State.Lease.lastContact();
    if (!Last || Now - *Last > 2 * LeaseSettings.Renew)
      ++Count;
  }
  return Count;
}

std::optional<Duration> WorkerFleet::timeSinceResponse(const WorkerId &Worker,
                                                       TimePoint Now) const {
  const auto Found = Workers.find(Worker);
  if (Found == Workers.end() || !Found->second.Lease.lastContact())
    return std::nullopt;
  return Now - *Found->second.Lease.lastContact();
}

} // namespace apricotwing
