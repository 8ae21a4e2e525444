#include "core/shardworld.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace apricotwing {

namespace {

constexpr Duration Ttl{15'000};
constexpr Duration Margin{1'150};
constexpr Duration PollPeriod{3'000};

/// Time until all tasks beyond a lowered limit are stopped: an unreachable
/// worker stops its tasks when its lease expires.
constexpr Duration LimitGrace{30'000};

/// Time until a stop has taken effect once nothing is lost: two reports of the
/// worker and the longest delay of a message.
constexpr Duration StopBound{10'000};

/// Rows of the inbox that are read before each tick.
constexpr std::size_t InboxPage = 2;

/// Longest run time of a task after the stops were checked at the end.
constexpr Duration ShortTask{20'000};

void require(bool Holds, const std::string &Invariant) {
  if (!Holds)
    throw std::logic_error(Invariant);
}

} // namespace

void JournalOracle::check(const JournalEvent &Event) {
  if (const auto *Admitted = std::get_if<RunAdmitted>(&Event)) {
    require(!Runs.contains(Admitted->Run.Id), "a run is admitted twice");
    Runs.emplace(Admitted->Run.Id, Admitted->Run);
  } else if (const auto *Started = std::get_if<TaskStarted>(&Event)) {
    Task &State = Tasks[Started->Id.Task];
    require(Runs.contains(Started->Id.Task.Run), "an unknown run starts");
    require(!Final.contains(Started->Id.Task.Run), "an ended run starts");
    require(!State.Active, "a second attempt starts beside the first");
    require(!State.Done, "a finished task starts again");
    require(Started->Id.Attempt == State.Attempt + 1, "attempt out of order");
    State.Attempt = Started->Id.Attempt;
    State.Active = true;
    State.Stopping = false;
  } else if (const auto *Stopping = std::get_if<TaskStopping>(&Event)) {
    require(isActive(Stopping->Id), "a stop of an attempt that is over");
    Tasks[Stopping->Id.Task].Stopping = true;
  } else if (const auto *Ended = std::get_if<TaskEnded>(&Event)) {
    Task &State = Tasks[Ended->Id.Task];
    require(State.Active && State.Attempt == Ended->Id.Attempt,
            "an attempt ends twice");
    State.Active = false;
    State.Done = Ended->Outcome == TaskState::Succeeded &&
                 Runs.at(Ended->Id.Task.Run).Spec.Kind != RunKind::Service;
  } else if (const auto *Changed = std::get_if<RunChanged>(&Event)) {
    require(!Final.contains(Changed->Run), "a run ends twice");
    if (!isFinal(Changed->State))
      return;
    Final.emplace(Changed->Run, Changed->State);
    require(Changed->State != RunState::Succeeded ||
                openTasks(Changed->Run) == 0,
            "a run succeeds with unfinished tasks");
  } else if (const auto *RetiredEvent = std::get_if<RunRetired>(&Event)) {
    require(Final.contains(RetiredEvent->Run),
            "a run is retired before its end");
    Retired.insert(RetiredEvent->Run);
  }
}

bool JournalOracle::isActive(const AttemptId &Id) const {
  const auto Found = Tasks.find(Id.Task);
  return Found != Tasks.end() && Found->second.Active &&
         Found->second.Attempt == Id.Attempt;
}

bool JournalOracle::isStopping(const AttemptId &Id) const {
  return isActive(Id) && Tasks.at(Id.Task).Stopping;
}

std::uint32_t JournalOracle::openTasks(const RunId &Run) const {
  std::uint32_t Open = 0;
  for (std::uint32_t Index = 0; Index < Runs.at(Run).Spec.Tasks; ++Index) {
    const auto Found = Tasks.find({Run, Index});
    Open += Found == Tasks.end() || !Found->second.Done;
  }
  return Open;
}

bool JournalOracle::isPartlyRunning(const RunId &Run) const {
  bool HasGap = false;
  bool HasRunning = false;
  for (std::uint32_t Index = 0; Index < Runs.at(Run).Spec.Tasks; ++Index) {
    const auto Found = Tasks.find({Run, Index});
    if (Found != Tasks.end() && Found->second.Done)
      continue;
    const bool Runs =
        Found != Tasks.end() && Found->second.Active && !Found->second.Stopping;
    HasRunning |= Runs;
    HasGap |= !Runs;
  }
  return HasGap && HasRunning;
}

bool isSame(const ShardSnapshot &Left, const ShardSnapshot &Right) {
  const auto SameTask = [](const TaskSnapshot &A, const TaskSnapshot &B) {
    return A.State == B.State && A.Attempt == B.Attempt &&
           A.Failures == B.Failures && A.Worker == B.Worker &&
           A.Reserved == B.Reserved && A.HasCheckpoint == B.HasCheckpoint &&
           A.Stop == B.Stop;
  };
  const auto SameRun = [&](const RunSnapshot &A, const RunSnapshot &B) {
    return A.Run.Id == B.Run.Id && A.Run.State == B.Run.State &&
           A.Run.Reason == B.Run.Reason && A.Run.Running == B.Run.Running &&
           A.Run.Succeeded == B.Run.Succeeded && A.Run.Failed == B.Run.Failed &&
           A.Run.Spec == B.Run.Spec &&
           std::ranges::equal(A.Tasks, B.Tasks, SameTask);
  };
  return std::ranges::equal(Left.Runs, Right.Runs, SameRun);
}

ShardWorld::ShardWorld(std::uint32_t Seed, SchedulerOptions Options)
    : Random(Seed), Options(Options) {
  for (int Zone = 0; Zone < 3; ++Zone)
    for (int Place = 0; Place < 4; ++Place) {
      Worker Next;
      Next.View.Id = "w" + std::to_string(Zone) + std::to_string(Place);
      Next.View.Zone = "z" + std::to_string(Zone);
      Next.View.Rack = "r" + std::to_string(Place / 2);
      Next.View.Capacity = {8000, 16384, Place == 0 ? 2 : 0};
      Next.View.AllLabels = {{"zone", Next.View.Zone}};
      WorkerIds.push_back(Next.View.Id);
      Workers.emplace(Next.View.Id, Next);
    }
  for (const char *Team : {"blue", "green", "red"})
    Limits[Team] = {48'000, 98'304, 6};
  recover();
}

void ShardWorld::configure() {
  std::vector<WorkerView> Views;
  for (const auto &[Id, Simulated] : Workers)
    Views.push_back(Simulated.View);
  Owner->setWorkers(Views);
  Config Document;
  std::uint32_t Share = 1;
  for (const auto &[Team, Limit] : Limits)
    Document.Teams[Team] = {Share++, {Limit, 0}};
  Owner->setTeams(Document);
  Owner->setGrants(Limits);
}

void ShardWorld::recover() {
  ++OwnerEpoch;
  Owner = std::make_unique<ShardScheduler>("s", Options);
  Owner->restore(LastSnapshot, Now);
  for (const JournalEvent &Event : Journal)
    Owner->apply(Event, Now);
  configure();
  for (auto &[Id, Simulated] : Workers) {
    Simulated.NextPoll = Now;
    Simulated.OwnerDeadline = Now + Ttl;
    Simulated.ExpiryReported = false;
  }
}

RunId ShardWorld::submit(const std::string &Team, const RunSpec &Spec,
                         Duration Length) {
  RunRecord Record;
  Record.Id = "run" + std::to_string(Order.size());
  Record.Team = Team;
  Record.Shard = "s";
  Record.Spec = Spec;
  Order.push_back(Record.Id);
  Inbox.emplace(Record.Id, Record);
  Submissions[Record.Id] = {Record, Length};
  return Record.Id;
}

void ShardWorld::cancelRun(const RunId &Run) {
  Submissions.at(Run).Cancelled = true;
  CancelRows.insert(Run);
}

void ShardWorld::setLimit(const std::string &Team, const Resources &Limit) {
  OldLimits[Team].emplace_back(Now, Limits[Team]);
  Limits[Team] = Limit;
  configure();
}

void ShardWorld::setReachable(std::size_t Worker, bool Value) {
  Workers.at(WorkerIds[Worker]).Reachable = Value;
}

void ShardWorld::loseZone(const std::string &Zone) {
  for (auto &[Id, Simulated] : Workers)
    if (Simulated.View.Zone == Zone)
      Simulated.Reachable = false;
}

void ShardWorld::setFaulty(std::size_t Worker, bool Value) {
  Workers.at(WorkerIds[Worker]).IsFaulty = Value;
}

void ShardWorld::restartWorker(std::size_t Worker, bool IsNoticed) {
  const WorkerId &Id = WorkerIds[Worker];
  std::map<AttemptId, Attempt> &Attempts = Workers.at(Id).Attempts;
  for (const auto &[Name, Running] : Attempts)
    if (Running.State == TaskState::Running)
      ActualOutcomes[Name] = TaskState::Lost;
  Attempts.clear();
  Workers.at(Id).Forgotten.clear();
  Workers.at(Id).Deadline = Now;
  std::erase_if(Network, [&](const Message &Next) { return Next.To == Id; });
  if (IsNoticed)
    Owner->handleWorkerExpired(Id, Now);
}

void ShardWorld::setDrained(std::size_t Worker, bool Value) {
  Workers.at(WorkerIds[Worker]).View.Drained = Value;
  configure();
}

void ShardWorld::setNetwork(std::uint32_t Loss, std::uint32_t Duplicates) {
  LossPercent = Loss;
  DuplicatePercent = Duplicates;
}

void ShardWorld::progressWorkers() {
  for (auto &[Id, Simulated] : Workers)
    for (auto &[AttemptName, Running] : Simulated.Attempts) {
      if (Running.State != TaskState::Running)
        continue;
      if (Now >= Simulated.Deadline)
        Running.State = TaskState::Lost;
      else if (Now >= Running.EndsAt)
        Running.State =
            Simulated.IsFaulty ? TaskState::Failed : TaskState::Succeeded;
      if (Running.State == TaskState::Failed)
        Submissions.at(AttemptName.Task.Run).SawFailure = true;
      if (Running.State != TaskState::Running)
        ActualOutcomes[AttemptName] = Running.State;
    }
}

void ShardWorld::deliverTo(Worker &To, const Message &Next) {
  if (!To.Reachable || Next.Sender < To.HighestEpoch)
    return;
  const auto Found = To.Attempts.find(Next.Id);
  if (!Next.IsStart) {
    // After a stop of an unknown attempt, the worker refuses the start of that
    // attempt.
    if (Found == To.Attempts.end() && !To.Forgotten.contains(Next.Id))
      To.Attempts[Next.Id] = {{}, Now, TaskState::Cancelled};
    else if (Found != To.Attempts.end() &&
             Found->second.State == TaskState::Running) {
      Found->second.State = TaskState::Cancelled;
      ActualOutcomes[Next.Id] = TaskState::Cancelled;
    }
    return;
  }
  if (Found != To.Attempts.end() || To.Forgotten.contains(Next.Id) ||
      Now >= To.Deadline)
    return;
  if (Refusals > 0) {
    --Refusals;
    // Copies of this message are refused as well; other sends of the same start
    // may still arrive.
    std::erase_if(
        Network, [&](const Message &Other) { return Other.Send == Next.Send; });
    if (Next.Sender == OwnerEpoch)
      Owner->handleStartRefused(Next.Id, Now);
    return;
  }
  const Submission &Run = Submissions.at(Next.Id.Task.Run);
  if (Run.Record.Spec.OnLost == LostPolicy::Fail)
    for (std::uint32_t Earlier = 1; Earlier <= Next.Id.Attempt; ++Earlier) {
      const auto Ended = ActualOutcomes.find({Next.Id.Task, Earlier});
      require(Ended == ActualOutcomes.end() ||
                  Ended->second == TaskState::Cancelled ||
                  Ended->second == TaskState::Failed ||
                  Run.Record.Spec.Kind == RunKind::Service,
              "a task that must not run twice runs again");
    }
  const Duration Length = To.IsFaulty ? Duration{200} : Run.Length;
  To.Attempts[Next.Id] = {Next.Size, Now + Length, TaskState::Running};
}

void ShardWorld::deliver() {
  const std::size_t Pending = Network.size();
  for (std::size_t Position = 0; Position < Pending && !Network.empty();
       ++Position) {
    const Message Next = Network.front();
    Network.pop_front();
    if (Next.Due > Now)
      Network.push_back(Next);
    else
      deliverTo(Workers.at(Next.To), Next);
  }
}

void ShardWorld::poll() {
  for (auto &[Id, Simulated] : Workers) {
    if (Now < Simulated.NextPoll)
      continue;
    Simulated.NextPoll = Now + PollPeriod;
    if (!Simulated.Reachable) {
      Owner->handleWorkerUnreachable(Id);
      if (Now >= Simulated.OwnerDeadline + Margin &&
          !Simulated.ExpiryReported) {
        Simulated.ExpiryReported = true;
        Owner->handleWorkerExpired(Id, Now);
      }
      continue;
    }
    Simulated.HighestEpoch = OwnerEpoch;
    Simulated.Deadline = Simulated.OwnerDeadline = Now + Ttl;
    Simulated.ExpiryReported = false;
    std::vector<TaskReport> Reports;
    for (const auto &[Name, Running] : Simulated.Attempts)
      Reports.push_back({Name, Running.State, 0, Running.Size});
    Owner->handleReport(Id, Reports, Now);
  }
}

Decisions ShardWorld::decide() {
  std::size_t Left = InboxPage;
  for (auto Next = Inbox.begin(); Next != Inbox.end() && Left > 0;
       ++Next, --Left)
    Owner->admit(Next->second);
  for (const RunId &Id : CancelRows) {
    const bool IsKnown = Owner->knows(Id);
    if (!IsKnown && isOver(Id)) {
      Owner->discardCancellation(Id);
      continue;
    }
    if (!IsKnown)
      Owner->admit(Submissions.at(Id).Record);
    Owner->cancel(Id);
  }
  Decisions Made = Owner->tick(Now);
  checkDecisions(Made);
  return Made;
}

void ShardWorld::checkDecisions(const Decisions &Made) const {
  std::set<TeamName> Teams;
  for (const JournalEvent &Event : Made.Events)
    if (const auto *Started = std::get_if<TaskStarted>(&Event))
      Teams.insert(Submissions.at(Started->Id.Task.Run).Record.Team);
  const std::map<TeamName, Resources> Allocated = Owner->allocated();
  for (const TeamName &Team : Teams)
    require(Allocated.at(Team).fitsIn(Limits.at(Team)),
            "a start takes a team above its limit");
}

void ShardWorld::commit(const Decisions &Made) {
  std::map<RunId, std::uint32_t> StartsByRun;
  for (const JournalEvent &Event : Made.Events) {
    Oracle.check(Event);
    Journal.push_back(Event);
    if (const auto *Start = std::get_if<TaskStarted>(&Event))
      ++StartsByRun[Start->Id.Task.Run];
    const auto *Ended = std::get_if<TaskEnded>(&Event);
    if (Ended && Ended->Outcome == TaskState::Succeeded)
      require(ActualOutcomes.contains(Ended->Id) &&
                  ActualOutcomes.at(Ended->Id) == TaskState::Succeeded,
              "a success is recorded that did not happen");
  }
  for (const auto &[Run, Count] : StartsByRun)
    require(Oracle.Runs.at(Run).Spec.Kind != RunKind::Gang ||
                Count == Oracle.openTasks(Run),
            "a gang starts in part");
  for (const auto &[Id, Run] : Oracle.Runs)
    require(Run.Spec.Kind != RunKind::Gang || !Oracle.isPartlyRunning(Id),
            "a part of a gang goes on");
  for (const RunId &Id : Made.HandledAdmissions)
    Inbox.erase(Id);
  for (const RunId &Id : Made.HandledCancellations)
    CancelRows.erase(Id);
}

void ShardWorld::saveSnapshotIfDue(const Decisions &Made) {
  if (!Made.needsCommit() || ++Commits % 16 != 0 ||
      Owner->hasUncommittedEvents())
    return;
  const ShardSnapshot Live = Owner->snapshot(Commits);
  ShardScheduler Replayed("s", Options);
  Replayed.restore(LastSnapshot, Now);
  for (const JournalEvent &Event : Journal)
    Replayed.apply(Event, Now);
  require(isSame(Live, Replayed.snapshot(Commits)),
          "replay differs from the live state");
  LastSnapshot = Live;
  Journal.clear();
}

void ShardWorld::finishCommit(const Decisions &Made) {
  send(Made);
  saveSnapshotIfDue(Made);
}

void ShardWorld::enqueue(Message Next) {
  if (Random() % 100 < LossPercent)
    return;
  Next.Due = Now + Duration(Random() % 1500);
  Next.Sender = OwnerEpoch;
  Next.Send = ++Sends;
  Network.push_back(Next);
  if (Random() % 100 >= DuplicatePercent)
    return;
  Next.Due = Now + Duration(Random() % 4000);
  Network.push_back(Next);
}

void ShardWorld::send(const Decisions &Made) {
  for (const StartCommand &Start : Made.Starts)
    if (Owner->isStartWanted(Start.Id))
      enqueue({Now, 0, 0, true, Start.Worker, Start.Id, Start.Reserved});
  for (const StopCommand &Stop : Made.Stops)
    enqueue({Now, 0, 0, false, Stop.Worker, Stop.Id, {}});
  for (const auto &[Id, Ended] : Made.Acknowledgements)
    for (const AttemptId &Name : Ended) {
      require(!Oracle.isActive(Name), "an attempt is acknowledged too early");
      if (!Workers.at(Id).Reachable || Random() % 100 < LossPercent)
        continue;
      Workers.at(Id).Attempts.erase(Name);
      Workers.at(Id).Forgotten.insert(Name);
    }
}

void ShardWorld::checkActualState() const {
  std::map<TaskId, std::uint32_t> Running;
  std::map<TeamName, Resources> Used;
  for (const auto &[Id, Simulated] : Workers) {
    Resources Sum;
    for (const auto &[Name, Active] : Simulated.Attempts) {
      if (Active.State != TaskState::Running)
        continue;
      Sum += Active.Size;
      Used[Submissions.at(Name.Task.Run).Record.Team] += Active.Size;
      require(++Running[Name.Task] == 1, "two attempts of a task run at once");
    }
    require(Sum.fitsIn(Simulated.View.Capacity),
            "a worker is over its capacity");
  }
  for (const auto &[Team, Amount] : Used) {
    Resources Bound = Limits.at(Team);
    const auto Old = OldLimits.find(Team);
    if (Old != OldLimits.end())
      for (const auto &[Until, Limit] : Old->second)
        if (Now - Until <= LimitGrace)
          Bound = Resources::max(Bound, Limit);
    require(Amount.fitsIn(Bound), "a team runs more than its limit");
  }
}

void ShardWorld::step(Duration Span) {
  Now += Span;
  progressWorkers();
  deliver();
  poll();
  if (Unresolved && Now >= ResolvedAt) {
    finishCommit(*Unresolved);
    Unresolved.reset();
  }
  if (!Unresolved) {
    Decisions Made = decide();
    commit(Made);
    if (HiddenOutcome.count() > 0 && Made.needsCommit()) {
      ResolvedAt = Now + std::exchange(HiddenOutcome, {});
      Unresolved = std::move(Made);
    } else {
      finishCommit(Made);
    }
  } else {
    // No stop can be decided, so the time to apply a lower limit does not run.
    for (auto &[Team, Old] : OldLimits)
      for (auto &[Until, Limit] : Old)
        Until += Span;
  }
  checkActualState();
}

void ShardWorld::advance(Duration Span) {
  constexpr Duration Tick{100};
  for (const TimePoint End = Now + Span; Now < End;)
    step(Tick);
}

void ShardWorld::crash(CrashPoint Point) {
  Unresolved.reset();
  if (Point != CrashPoint::Idle) {
    const Decisions Made = decide();
    if (Point != CrashPoint::BeforeCommit)
      commit(Made);
    if (Point == CrashPoint::AfterSends)
      finishCommit(Made);
  }
  recover();
}

std::set<AttemptId> ShardWorld::running() const {
  std::set<AttemptId> Result;
  for (const auto &[Id, Simulated] : Workers)
    for (const auto &[Name, Each] : Simulated.Attempts)
      if (Each.State == TaskState::Running)
        Result.insert(Name);
  return Result;
}

void ShardWorld::checkStops() {
  setNetwork(0, 0);
  HiddenOutcome = {};
  ResolvedAt = std::min(ResolvedAt, Now);
  Refusals = 0;
  for (auto &[Id, Simulated] : Workers)
    Simulated.Reachable = true;
  std::set<AttemptId> Stopping;
  for (const AttemptId &Name : running())
    if (Oracle.isStopping(Name))
      Stopping.insert(Name);
  advance(StopBound);
  for (const AttemptId &Name : running()) {
    const RunId &Run = Name.Task.Run;
    require(!Submissions.at(Run).Cancelled,
            toString(Name) + " runs on although its run was cancelled");
    require(!Oracle.Final.contains(Run),
            toString(Name) + " runs on although its run has ended");
    require(Oracle.isActive(Name),
            toString(Name) + " runs on although its end is recorded");
    require(!Stopping.contains(Name),
            toString(Name) + " runs on although its stop is recorded");
  }
}

void ShardWorld::shortenTasks() {
  for (auto &[Id, Run] : Submissions)
    Run.Length = std::min(Run.Length, ShortTask);
  for (auto &[Id, Simulated] : Workers)
    for (auto &[Name, Each] : Simulated.Attempts)
      Each.EndsAt = std::min(Each.EndsAt, Now + ShortTask);
}

bool ShardWorld::canEverRun(const RunSpec &Spec) const {
  std::uint64_t Slots = 0;
  for (const auto &[Id, Simulated] : Workers) {
    const auto Zone = Spec.Selector.find("zone");
    if (Zone != Spec.Selector.end() && Zone->second != Simulated.View.Zone)
      continue;
    Resources Rest = Simulated.View.Capacity;
    for (; Spec.PerTask.fitsIn(Rest); ++Slots)
      Rest -= Spec.PerTask;
  }
  return Slots >= (Spec.Kind == RunKind::Gang ? Spec.Tasks : 1);
}

void ShardWorld::settle() {
  checkStops();
  for (auto &[Id, Simulated] : Workers) {
    Simulated.IsFaulty = false;
    Simulated.View.Drained = false;
  }
  for (auto &[Team, Limit] : Limits)
    Limit = {96'000, 196'608, 6};
  configure();
  for (const auto &[Id, Run] : Submissions)
    if (Run.Record.Spec.Kind == RunKind::Service ||
        !canEverRun(Run.Record.Spec))
      cancelRun(Id);
  checkStops();
  shortenTasks();
  const auto IsLeft = [this](const RunId &Id) { return !isOver(Id); };
  constexpr Duration Limit{3 * 3'600'000};
  for (const TimePoint End = Now + Limit;
       Now < End && std::ranges::any_of(Order, IsLeft);)
    step(Duration{500});
  for (const auto &[Id, Run] : Submissions) {
    require(isOver(Id),
            "run " + Id + " never ends: " + Owner->pendingReason(Id));
    const bool MustSucceed = !Run.Cancelled && !Run.SawFailure &&
                             Run.Record.Spec.OnLost == LostPolicy::Restart;
    require(!MustSucceed || Oracle.Final.at(Id) == RunState::Succeeded,
            "run " + Id + " is lost");
  }
}

} // namespace apricotwing
