#include "soak/platform.h"

#include <algorithm>

namespace apricotwing::soak {

namespace {

constexpr std::int64_t TickMs = 5;
constexpr std::int64_t GangTimeoutMs = 3000;
constexpr std::int64_t MaxLeaseMs = 10'000;
constexpr double MaxClockError = 0.02;
constexpr std::int64_t MaxHoldWaitMs = 2000;
constexpr std::size_t MaxListedEnds = 500;
constexpr int MaxWaitingAdvice = 32;
constexpr double SlowAdvice = 6;
constexpr std::int64_t AdviceErrorMs = 5;
/// Parts of a task's name, JOB.0.STEP.INDEX.
struct TaskName {
  std::string Job;
  std::size_t Step = 0;
  int Task = 0;
};

TaskName parseTask(const std::string &Name) {
  TaskName Result;
  const std::size_t First = Name.find('.');
  const std::size_t Second = Name.find('.', First + 1);
  const std::size_t Third = Name.find('.', Second + 1);
  Result.Job = Name.substr(0, First);
  Result.Step = std::stoul(Name.substr(Second + 1));
  if (Third != std::string::npos)
    Result.Task = std::stoi(Name.substr(Third + 1));
  return Result;
}

std::string stepName(const std::string &Job, std::size_t Step) {
  return Job + ".0." + std::to_string(Step);
}

std::string gangName(const JobPlan &Plan, std::size_t Step, std::int64_t Run) {
  return stepName(Plan.Id, Step) + "#" + std::to_string(Run);
}

} // namespace

bool Platform::JobTruth::isStepDone(std::size_t Step) const {
  const auto &Tasks = Steps[Step];
  const auto IsDone = [](const TaskTruth &Task) { return Task.Done; };
  return Plan.Steps[Step].Gang
             ? std::any_of(Tasks.begin(), Tasks.end(), IsDone)
             : std::all_of(Tasks.begin(), Tasks.end(), IsDone);
}

bool Platform::JobTruth::hasFailed() const {
  const auto Most = std::size_t(Plan.Queue->MaxAttempts);
  for (std::size_t Step = 0; Step < Steps.size(); ++Step) {
    std::set<std::int64_t> OfGang;
    for (const TaskTruth &Task : Steps[Step]) {
      if (Task.Failed.size() >= Most)
        return true;
      OfGang.insert(Task.Failed.begin(), Task.Failed.end());
    }
    if (Plan.Steps[Step].Gang && OfGang.size() >= Most)
      return true;
  }
  return false;
}

std::optional<std::size_t> Platform::JobTruth::dueStep() const {
  for (std::size_t Step = 0; Step < Steps.size(); ++Step)
    if (!isStepDone(Step))
      return Step;
  return std::nullopt;
}

Platform::Platform(Store &Registry, std::string Network, int WorkerPort,
                   std::uint64_t Seed, const std::string &RecordFile)
    : Registry(Registry), Network(std::move(Network)), WorkerPort(WorkerPort),
      Seed(Seed), Record(RecordFile), Draw(Seed * 15'485'863 + 7) {
  constexpr std::array Speeds = {0.8, 1.0, 1.25};
  for (int Index = 0; Index < WorkerCount; ++Index) {
    Worker &Host = Workers[std::size_t(Index)];
    Host.Id = "worker-" + std::to_string(100 + Index);
    Host.Ip = this->Network + std::to_string(100 + Index);
    Host.Speed = Speeds[std::size_t(Index) % Speeds.size()];
    Host.ClockRate = 1 - MaxClockError * hashShare(Host.Id);
    startWorker(Index);
  }
  Ticker = std::thread([this] {
    while (!Ending) {
      tick();
      sleepMs(TickMs);
    }
  });
}

Platform::~Platform() {
  {
    const std::lock_guard Lock(Mutex);
    Ending = true;
    AdviceChanged.notify_all();
  }
  Ticker.join();
  for (int Index = 0; Index < WorkerCount; ++Index)
    crashWorker(Index);
  Advice.clear();
}

void Platform::writeRecord(const std::string &Text) {
  Record << isoTime(unixMs()) << ' ' << nowMs() << ' ' << Text << '\n';
}

void Platform::record(const std::string &Text) {
  const std::lock_guard Lock(Mutex);
  writeRecord(Text);
  Record.flush();
}

// Runs.

Response Platform::start(int Index, const Json &Body, Delivery How) {
  Worker &Host = Workers[std::size_t(Index)];
  const auto Answer = [&](int Status, const char *Reason) {
    Json Result{{"clock_ms", Host.clock()}};
    if (Status != 200) {
      Result["reason"] = Reason;
      ++Counts[std::string("start refused: ") + Reason];
    }
    return Response{Status, Result.dump()};
  };
  if (Host.Mode == WorkerMode::Unhealthy)
    return Answer(503, "unhealthy");
  const std::string Task = Body.at("task");
  const std::int64_t Run = Body.at("run_id");
  const std::int64_t Until = Body.at("deadline_ms");
  if (Until <= Host.clock())
    return Answer(409, "late");
  Host.DeadlineMs =
      std::max(Host.DeadlineMs, std::min(Until, Host.clock() + MaxLeaseMs));
  const auto Present = Host.Running.find(Task);
  if (Present != Host.Running.end() && Present->second.Run == Run)
    return Answer(200, "");
  const auto Earlier = Host.Highest.find(Task);
  if (Present != Host.Running.end() ||
      (Earlier != Host.Highest.end() && Run <= Earlier->second))
    return Answer(409, "old");
  const TaskName Name = parseTask(Task);
  const auto Known = Jobs.find(Name.Job);
  if (Known == Jobs.end()) {
    WrongStarts.push_back(Task + ": no client sent this job");
    return Answer(400, "job");
  }
  JobTruth &Job = *Known->second;
  const StepPlan &Step = Job.Plan.Steps.at(Name.Step);
  if (!isTicketValid(Body.value("ticket", ""), Host, Job, Name.Step))
    return Answer(409, "ticket");
  if (Host.Cpu + Step.Cpu > WorkerCpu ||
      Host.Memory + Step.Memory > WorkerMemory)
    WrongStarts.push_back(Task + ": run " + std::to_string(Run) +
                          " is over the capacity of " + Host.Id);
  ActiveRun &Fresh = Host.Running[Task];
  Fresh = {&Job, Name.Step, Name.Task, Run, nowMs(), 0, false, 0};
  Fresh.Record =
      History.start(Task, Run, Host.Id,
                    Body.value("fencing_token", std::int64_t(0)), How, nowMs());
  ++Job.Active;
  Host.Cpu += Step.Cpu;
  Host.Memory += Step.Memory;
  UsedCpu += Step.Cpu;
  UsedMemory += Step.Memory;
  AccountCpu[std::size_t(Job.Plan.Account)] += Step.Cpu;
  AccountMemory[std::size_t(Job.Plan.Account)] += Step.Memory;
  ++Counts["starts"];
  writeRecord("start of run " + std::to_string(Run) + " of " + Task + " on " +
              Host.Id);
  if (Host.Mode == WorkerMode::FailsRuns)
    finish(Index, Task, "failed");
  else if (Step.Gang)
    joinGang(Host, Fresh, Task);
  else
    beginWork(Host, Fresh);
  return Answer(200, "");
}

void Platform::beginWork(Worker &Host, ActiveRun &Run) {
  const JobPlan &Plan = Run.Job->Plan;
  const StepPlan &Step = Plan.Steps[Run.Step];
  const std::string Name = gangName(Plan, Run.Step, Run.Run);
  double WorkMs = double(Step.WorkMs[std::size_t(Run.Task)]) / Host.Speed;
  if (Step.Gang) {
    // The members go on at the speed of the slowest one.
    for (const auto &[Task, Member] : Gangs[Name].Members)
      WorkMs = std::max(WorkMs, double(Step.WorkMs[std::size_t(Task)]) /
                                    Workers[std::size_t(Member)].Speed);
    const int Weakest = int(hashShare(Name) * double(Step.WorkMs.size()));
    Run.Fails = Run.Task == Weakest &&
                hashShare(Name + std::to_string(Seed)) < Plan.Queue->FailedRuns;
  } else {
    Run.Fails = hashShare(Name + "." + std::to_string(Run.Task) + "/" +
                          std::to_string(Seed)) < Plan.Queue->FailedRuns;
  }
  Run.Fails |= Plan.Hopeless && Run.Step == 0 && Run.Task == 0;
  if (Run.Fails)
    WorkMs *= hashShare(Name + "@");
  Run.EndsMs = nowMs() + std::max(std::int64_t(WorkMs), std::int64_t(1));
}

void Platform::joinGang(Worker &Host, ActiveRun &Run, const std::string &Task) {
  const StepPlan &Step = Run.Job->Plan.Steps[Run.Step];
  Gang &Of = Gangs[gangName(Run.Job->Plan, Run.Step, Run.Run)];
  Of.Members[Run.Task] = int(&Host - Workers.data());
  if (Of.Members.size() < Step.WorkMs.size())
    return;
  Of.Working = true;
  const std::string Prefix = Task.substr(0, Task.rfind('.') + 1);
  for (const auto &[Index, Member] : Of.Members) {
    Worker &Mate = Workers[std::size_t(Member)];
    beginWork(Mate, Mate.Running.at(Prefix + std::to_string(Index)));
  }
}

void Platform::removeRun(Worker &Host, const ActiveRun &Run) {
  const StepPlan &Step = Run.Job->Plan.Steps[Run.Step];
  --Run.Job->Active;
  Host.Cpu -= Step.Cpu;
  Host.Memory -= Step.Memory;
  UsedCpu -= Step.Cpu;
  UsedMemory -= Step.Memory;
  AccountCpu[std::size_t(Run.Job->Plan.Account)] -= Step.Cpu;
  AccountMemory[std::size_t(Run.Job->Plan.Account)] -= Step.Memory;
}

void Platform::finish(int Index, const std::string &Task,
                      const std::string &Kind) {
  Worker &Host = Workers[std::size_t(Index)];
  const auto Found = Host.Running.find(Task);
  const ActiveRun Run = Found->second;
  Host.Running.erase(Found);
  removeRun(Host, Run);
  std::int64_t &Highest = Host.Highest[Task];
  Highest = std::max(Highest, Run.Run);
  History.end(Run.Record, Kind, nowMs());
  if (Host.Alive)
    Host.Ends.push_back({++Host.LastEnd, Task, Run.Run, Kind, Run.Record});
  ++Counts["ended: " + Kind];
  writeRecord("end of run " + std::to_string(Run.Run) + " of " + Task + " on " +
              Host.Id + ": " + Kind);
  Host.Changed.notify_all();
  if (Run.Job->Plan.Steps[Run.Step].Gang)
    leaveGang(Run, Kind == "done");
}

// The end of a member ends the others.
void Platform::leaveGang(const ActiveRun &Run, bool Done) {
  const auto Found = Gangs.find(gangName(Run.Job->Plan, Run.Step, Run.Run));
  if (Found == Gangs.end())
    return;
  const std::map<int, int> Members = std::move(Found->second.Members);
  Gangs.erase(Found);
  const std::string Prefix = stepName(Run.Job->Plan.Id, Run.Step) + ".";
  for (const auto &[Task, Member] : Members)
    if (Task != Run.Task)
      finish(Member, Prefix + std::to_string(Task), Done ? "done" : "broken");
}

Response Platform::stop(int Index, const Json &Body) {
  Worker &Host = Workers[std::size_t(Index)];
  const std::string Task = Body.at("task");
  const std::int64_t Run = Body.at("run_id");
  std::int64_t &Highest = Host.Highest[Task];
  Highest = std::max(Highest, Run);
  const auto Present = Host.Running.find(Task);
  if (Present != Host.Running.end() && Present->second.Run == Run)
    finish(Index, Task, "stopped");
  return {200, Json{{"clock_ms", Host.clock()}}.dump()};
}

Platform::TaskTruth &Platform::truthOf(const std::string &Task) {
  const TaskName Name = parseTask(Task);
  return Jobs.at(Name.Job)->Steps[Name.Step][std::size_t(Name.Task)];
}

void Platform::acknowledge(Worker &Host, std::int64_t Cursor) {
  std::erase_if(Host.Ends, [&](const EndedRun &End) {
    if (End.Number <= Cursor)
      History.acknowledge(End.Record);
    return End.Number <= Cursor;
  });
}

Response Platform::hold(int Index, const Json &Body,
                        std::unique_lock<std::mutex> &Lock) {
  Worker &Host = Workers[std::size_t(Index)];
  const int Life = Host.Life;
  if (Body.contains("deadline_ms"))
    Host.DeadlineMs = std::max(
        Host.DeadlineMs, std::min(Body.at("deadline_ms").get<std::int64_t>(),
                                  Host.clock() + MaxLeaseMs));
  acknowledge(Host, Body.value("ack_cursor", std::int64_t(0)));
  Host.Changed.wait_for(
      Lock,
      std::chrono::milliseconds(std::min<std::int64_t>(
          Body.value("wait_ms", std::int64_t(0)), MaxHoldWaitMs)),
      [&] { return Host.Life != Life || !Host.Ends.empty(); });
  if (Host.Life != Life)
    return {};
  Json Result{{"clock_ms", Host.clock()},
              {"born", Host.Born},
              {"running", Json::array()},
              {"finished", Json::array()}};
  for (const auto &[Task, Run] : Host.Running) {
    const std::int64_t Length =
        std::max<std::int64_t>(Run.EndsMs - Run.StartedMs, 1);
    const std::int64_t Percent =
        Run.EndsMs == 0 ? 0 : 100 * (nowMs() - Run.StartedMs) / Length;
    Result["running"].push_back({Task, Run.Run, "",
                                 std::clamp<std::int64_t>(Percent, 0, 99),
                                 Run.Job->Plan.Steps[Run.Step].Cpu});
  }
  for (const EndedRun &End : Host.Ends) {
    if (Result["finished"].size() >= MaxListedEnds)
      break;
    Result["finished"].push_back({End.Number, End.Task, End.Run, End.Kind, ""});
    TaskTruth &Truth = truthOf(End.Task);
    Truth.Done |= End.Kind == "done";
    if (End.Kind == "failed")
      Truth.Failed.insert(End.Run);
  }
  return {200, Result.dump()};
}

void Platform::tickWorker(int Index) {
  Worker &Host = Workers[std::size_t(Index)];
  updateRegistry(Host);
  if (!Host.Alive)
    return;
  const std::int64_t Now = nowMs();
  if (Host.clock() > Host.DeadlineMs)
    for (const EndedRun &End : Host.Ends)
      History.lapse(End.Record);
  std::vector<std::pair<std::string, const char *>> Due;
  for (const auto &[Task, Run] : Host.Running) {
    if (Host.clock() > Host.DeadlineMs)
      Due.emplace_back(Task, "lapsed");
    else if (Run.EndsMs > 0 && Run.EndsMs <= Now)
      Due.emplace_back(Task, Run.Fails ? "failed" : "done");
    else if (Run.EndsMs == 0 && Now - Run.StartedMs > GangTimeoutMs)
      Due.emplace_back(Task, "alone");
  }
  for (const auto &[Task, Kind] : Due)
    if (Host.Running.contains(Task))
      finish(Index, Task, Kind);
}

void Platform::tick() {
  const std::lock_guard Lock(Mutex);
  for (int Index = 0; Index < WorkerCount; ++Index)
    tickWorker(Index);
}

// Advice.

void Platform::listenForAdvice(int Machine, const std::string &Ip, int Port) {
  AdviceQueue &Queue = Advice[Machine];
  Queue.Listener = std::make_unique<Server>(
      Ip, Port, [this, Machine](const Request &Incoming) {
        return advise(Machine, Incoming);
      });
}

void Platform::setAdvice(int Machine, AdviceMode Mode) {
  const std::lock_guard Lock(Mutex);
  Advice.at(Machine).Mode = Mode;
  AdviceChanged.notify_all();
}

bool Platform::isApproved(const JobTruth &Job, std::size_t Step,
                          const Worker &Host) const {
  return hashShare(std::to_string(Seed) + stepName(Job.Plan.Id, Step) + "/" +
                   Host.Id) < Job.Plan.Queue->Approved;
}

// A ticket is STEP/WORKER/BORN/ISSUED.
bool Platform::isTicketValid(const std::string &Ticket, const Worker &Host,
                             const JobTruth &Job, std::size_t Step) {
  const std::string Prefix = stepName(Job.Plan.Id, Step) + "/" + Host.Id + "/" +
                             std::to_string(Host.Born) + "/";
  return Ticket.starts_with(Prefix) &&
         nowMs() - std::stoll(Ticket.substr(Prefix.size())) <=
             Job.Plan.Queue->AdviceValidMs;
}

Json Platform::decide(const std::string &Step, const Json &Ids) {
  Json Approved = Json::array();
  const TaskName Name = parseTask(Step);
  const auto Known = Jobs.find(Name.Job);
  if (Known == Jobs.end())
    return Approved;
  for (const Worker &Host : Workers)
    if (std::find(Ids.begin(), Ids.end(), Json(Host.Id)) != Ids.end() &&
        isApproved(*Known->second, Name.Step, Host))
      Approved.push_back({Host.Id, Step + "/" + Host.Id + "/" +
                                       std::to_string(Host.Born) + "/" +
                                       std::to_string(nowMs())});
  return Approved;
}

Response Platform::advise(int Machine, const Request &Incoming) {
  const Json Body = Json::parse(Incoming.Body, nullptr, false);
  if (!Body.is_object() || !Body.contains("workers"))
    return {400, "{}"};
  const std::string Step = Body.at("step");
  std::unique_lock Lock(Mutex);
  AdviceQueue &Queue = Advice.at(Machine);
  ++Counts["advice calls"];
  const auto Known = Jobs.find(parseTask(Step).Job);
  if (Queue.Mode == AdviceMode::Errors || Known == Jobs.end()) {
    ++Counts["advice errors"];
    Lock.unlock();
    sleepMs(AdviceErrorMs);
    return {503, "{}"};
  }
  if (Queue.Waiting >= MaxWaitingAdvice) {
    ++Counts["advice refused: 32 wait"];
    return {429, "{}"};
  }
  const QueueKind &Kind = *Known->second->Plan.Queue;
  const std::int64_t Turn = Queue.NextTurn++;
  ++Queue.Waiting;
  AdviceChanged.wait(Lock, [&] { return Ending || Queue.Served == Turn; });
  --Queue.Waiting;
  double Ms = Kind.AdviceMs +
              Kind.AdvicePerWorkerMs * double(Body.at("workers").size());
  if (Queue.Mode == AdviceMode::Slow)
    Ms *= SlowAdvice;
  Lock.unlock();
  sleepMs(Ending ? 0 : std::int64_t(Ms));
  Lock.lock();
  const bool Silent = Queue.Mode == AdviceMode::Silent;
  AdviceChanged.wait(
      Lock, [&] { return Ending || Queue.Mode != AdviceMode::Silent; });
  const Json Approved = decide(Step, Body.at("workers"));
  ++Queue.Served;
  AdviceChanged.notify_all();
  if (Silent || Ending)
    return {};
  return {200, Json{{"approved", Approved}}.dump()};
}

// Jobs.

void Platform::addJob(const JobPlan &Plan) {
  auto Fresh = std::make_unique<JobTruth>();
  Fresh->Plan = Plan;
  for (const StepPlan &Step : Plan.Steps)
    Fresh->Steps.emplace_back(Step.WorkMs.size());
  const std::lock_guard Lock(Mutex);
  Jobs[Plan.Id] = std::move(Fresh);
}

void Platform::accepted(const std::string &Id) {
  const std::lock_guard Lock(Mutex);
  Jobs.at(Id)->Accepted = true;
  writeRecord("job " + Id + " of " + Jobs.at(Id)->Plan.Queue->Name +
              " accepted");
}

bool Platform::hasRoom(const JobTruth &Job, std::size_t Step,
                       std::string &Detail) {
  const StepPlan &Plan = Job.Plan.Steps[Step];
  std::int64_t AliveWorkers = 0;
  std::int64_t Slots = 0;
  int Approved = 0;
  for (const Worker &Host : Workers) {
    if (!Host.isReachable() || Host.Mode != WorkerMode::Sound)
      continue;
    ++AliveWorkers;
    if (!isApproved(Job, Step, Host))
      continue;
    ++Approved;
    Slots += std::min((WorkerCpu - Host.Cpu) / Plan.Cpu,
                      (WorkerMemory - Host.Memory) / Plan.Memory);
  }
  const auto Tasks = std::int64_t(Plan.Gang ? Plan.WorkMs.size() : 1);
  const auto Account = std::size_t(Job.Plan.Account);
  const double Cap = CapOfShare * WorkerCount / AccountCount;
  Detail = std::to_string(Approved) + " approved workers with " +
           std::to_string(Slots) + " free slots for " + std::to_string(Tasks) +
           (Plan.Gang ? " members, " : " task, ") +
           std::to_string(UsedCpu / 1000) + " cores in use, " +
           std::to_string(AccountCpu[Account] / 1000) + " by its account";
  return Slots >= 2 * Tasks && 2 * UsedCpu < AliveWorkers * WorkerCpu &&
         2 * UsedMemory < AliveWorkers * WorkerMemory &&
         2 * double(AccountCpu[Account]) < Cap * double(WorkerCpu) &&
         2 * double(AccountMemory[Account]) < Cap * double(WorkerMemory);
}

std::vector<Standstill> Platform::check() {
  const std::lock_guard Lock(Mutex);
  const std::int64_t Now = nowMs();
  std::vector<Standstill> Fresh;
  for (auto &[Id, Job] : Jobs) {
    std::string Detail;
    const auto Step = Job->dueStep();
    if (!Job->Accepted || Job->Active > 0 || !Step || Job->hasFailed() ||
        !hasRoom(*Job, *Step, Detail)) {
      Job->StandsSince.reset();
      Job->Found.reset();
      continue;
    }
    if (!Job->StandsSince)
      Job->StandsSince = Now;
    if (Now - *Job->StandsSince < MaxStandstillMs)
      continue;
    if (!Job->Found) {
      Job->Found = Found.size();
      Found.push_back({Id, int(*Step), *Job->StandsSince, Now, Detail});
      Fresh.push_back(Found.back());
    }
    Found[*Job->Found].ToMs = Now;
  }
  return Fresh;
}

std::vector<Standstill> Platform::standstills() {
  const std::lock_guard Lock(Mutex);
  return Found;
}

int Platform::openJobs() {
  const std::lock_guard Lock(Mutex);
  return int(std::count_if(Jobs.begin(), Jobs.end(), [](const auto &Entry) {
    const JobTruth &Job = *Entry.second;
    return Job.Accepted && Job.dueStep() && !Job.hasFailed();
  }));
}

std::string Platform::checkState(const std::string &Id,
                                 const std::string &State) {
  const std::lock_guard Lock(Mutex);
  const JobTruth &Job = *Jobs.at(Id);
  if (State == "completed")
    return Job.dueStep() ? "shown as completed, but a task is not done" : "";
  if (State == "failed")
    return Job.hasFailed() ? "" : "shown as failed without cause";
  if (State == "queued" || State == "in_progress")
    return "";
  return "its state is '" + State + "'";
}

std::vector<std::string> Platform::acceptedJobs() {
  const std::lock_guard Lock(Mutex);
  std::vector<std::string> Result;
  for (const auto &[Id, Job] : Jobs)
    if (Job->Accepted)
      Result.push_back(Id);
  return Result;
}

std::string Platform::pathOf(const std::string &Id) {
  const std::lock_guard Lock(Mutex);
  return Jobs.at(Id)->Plan.path();
}

int Platform::accountOf(const std::string &Id) {
  const std::lock_guard Lock(Mutex);
  return Jobs.at(Id)->Plan.Account;
}

std::map<std::string, int> Platform::counts() {
  const std::lock_guard Lock(Mutex);
  return Counts;
}

std::vector<std::string> Platform::wrongStarts() {
  const std::lock_guard Lock(Mutex);
  return WrongStarts;
}

std::vector<RepeatedTask> Platform::repeatedTasks() {
  const std::lock_guard Lock(Mutex);
  return History.repeatedTasks();
}

} // namespace apricotwing::soak
