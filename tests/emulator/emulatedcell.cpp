#include "emulatedcell.h"

#include "cell/codec.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace apricotwing::emulator {

namespace {

constexpr Duration PeerLatency{2};
constexpr Duration PumpStep{10};
constexpr Duration HeartbeatPeriod{1500};

/// Run time of a task that crashes its worker.
constexpr Duration CrashDelay{60};
constexpr const char *Host = "cell.example";

/// Start of the value of a worker's row that another writer has stored. The
/// start time that the row claims follows.
constexpr std::string_view ForeignRowPrefix = "foreign ";

/// Start of the key of a row that evacuates a zone.
constexpr std::string_view EvacuationPrefix = "evacuate ";

/// Interval at which a caller repeats a cancellation, and for how long.
constexpr Duration CancelInterval{500};
constexpr Duration CancelTimeout{15'000};

/// Decodes the rows of the emulated platform.
class EmulatedRecords final : public cell::PlatformRecords {
public:
  EmulatedRecords(EmulatedWorkers &Workers,
                  const std::map<std::int64_t, jobs::ClusterPolicy> &Policies)
      : Workers(Workers), Policies(Policies) {}

  std::string policyTable() const override { return "policy"; }

  std::optional<jobs::ClusterPolicy>
  decodePolicy(const cell::StoredRow &Row) const override {
    if (Row.Key != "policy")
      return std::nullopt;
    return Policies.at(std::stoll(Row.Value));
  }

  std::optional<std::string>
  decodeEvacuation(const cell::StoredRow &Row) const override {
    if (!Row.Key.starts_with(EvacuationPrefix))
      return std::nullopt;
    return Row.Key.substr(EvacuationPrefix.size());
  }

  std::string workerTable() const override { return "workers"; }

  std::optional<jobs::WorkerInfo>
  decodeWorker(const cell::StoredRow &Row) const override {
    auto Info = Workers.info(Row.Key);
    if (Info && Row.Value.starts_with(ForeignRowPrefix)) {
      Info->Incarnation.StartedUnixMs =
          std::stoll(Row.Value.substr(ForeignRowPrefix.size()));
      return Info;
    }
    const bool Current =
        Info && std::to_string(Info->Incarnation.StartedUnixMs) == Row.Value;
    return Current ? Info : std::nullopt;
  }

private:
  EmulatedWorkers &Workers;
  const std::map<std::int64_t, jobs::ClusterPolicy> &Policies;
};

std::vector<jobs::ClientAccount> singleAccount() {
  jobs::ClientAccount Account;
  Account.Name = "account";
  Account.Keys = {"key"};
  Account.Weight = 100;
  return {Account};
}

/// Returns a queue without placement advice and a more urgent one with fast
/// advice calls.
std::vector<jobs::Queue> usualQueues() {
  jobs::Queue Batch;
  Batch.Name = "batch";
  Batch.Host = Host;
  Batch.PathPrefix = "/batch/";
  Batch.Upstream = "service";
  Batch.Priority = 1;
  Batch.MaxAttempts = 3;
  Batch.SlackFactor = 4;
  Batch.LatencyTarget = Duration{1000};
  jobs::Queue Quick = Batch;
  Quick.Name = "quick";
  Quick.PathPrefix = "/quick/";
  Quick.Priority = 0;
  Quick.Advice = jobs::AdviceSettings{10, 1, Duration{2000}};
  return {Batch, Quick};
}

class VirtualWallClock final : public cell::WallClock {
public:
  VirtualWallClock(const VirtualTime &Time, const Duration &Step)
      : Time(Time), Step(Step) {}
  std::int64_t unixMs() const override {
    return (Time.now() + Step).time_since_epoch().count();
  }

private:
  const VirtualTime &Time;
  const Duration &Step;
};

} // namespace

/// Keeps the log lines of a few events, and of repeated starts. Prints all
/// lines if APRICOTWING_TRACE is set.
class EmulatedCell::TraceLog final : public cell::EventLog {
public:
  explicit TraceLog(const VirtualTime &Time) : Time(Time) {}
  void event(std::string_view Name, std::string_view Subject,
             std::initializer_list<Field> Fields) override {
    const auto Lines = Kept.find(Name);
    if (!Trace && Lines == Kept.end())
      return;
    std::string Line = std::to_string(Time.now().time_since_epoch().count());
    Line.append(" ").append(Name).append(" ").append(Subject);
    for (const auto &[Key, Value] : Fields)
      Line.append(" ").append(Key).append("=").append(Value);
    if (Trace)
      std::printf("%s\n", Line.c_str());
    // First starts are left out, because there are many.
    if (Lines != Kept.end() &&
        (Name != "starting" || Line.find("last_run=") != std::string::npos))
      Lines->second.push_back(std::move(Line));
  }

  const std::vector<std::string> &lines(std::string_view Event) const {
    return Kept.at(Event);
  }

private:
  const VirtualTime &Time;
  const bool Trace = std::getenv("APRICOTWING_TRACE") != nullptr;
  std::map<std::string_view, std::vector<std::string>> Kept = {
      {"run lost", {}},      {"start refused", {}},  {"given-up run ended", {}},
      {"migrating run", {}}, {"zone evacuated", {}}, {"zone taken back", {}},
      {"starting", {}}};
};

/// Delivers messages between instances. They are lost if either end is
/// disconnected, frozen or not running.
class EmulatedCell::Network final : public cell::PeerTransport {
public:
  Network(EmulatedCell &Cell, std::string Name)
      : Cell(Cell), Name(std::move(Name)) {}

  void post(const std::string &Address, std::string Body, Duration Timeout,
            std::function<void(cell::PeerResult)> Callback) override {
    EmulatedCell &World = Cell;
    const auto Cut = [&World, From = Name, To = Address] {
      return World.CutInstances.contains(From) ||
             World.CutInstances.contains(To);
    };
    // The sender gets an empty result after the timeout, and may then send the
    // message again, while a delayed one can still arrive.
    const auto Open = std::make_shared<bool>(true);
    const auto Finish = [Open, Callback](const cell::PeerResult &Result) {
      if (std::exchange(*Open, false))
        Callback(Result);
    };
    World.Time.after(Timeout, [Finish] { Finish({}); });
    if (Cut())
      return;
    const Duration Latency =
        PeerLatency + (Name == Address ? Duration{0} : World.LinkDelay);
    const Duration Delay =
        World.happens(World.DelayedMessages) ? DelayTime : Latency;
    World.Time.after(Delay, [&World, Address, Body, Finish, Cut, Latency] {
      const auto Found = World.Instances.find(Address);
      if (Found == World.Instances.end() || !Found->second.Node ||
          Found->second.Frozen || Cut())
        return;
      Instance &To = Found->second;
      ++World.Messages[Address];
      To.Node->receive(Body, [&World, Finish, Latency](
                                 const std::optional<std::string> &Reply) {
        if (!World.happens(World.LostReplies))
          World.Time.after(Latency, [Finish, Reply] {
            Finish({Reply, false});
          });
      });
    });
  }

private:
  EmulatedCell &Cell;
  const std::string Name;
};

EmulatedCell::EmulatedCell(std::uint64_t Seed, int InstanceCount,
                           int WorkerCount)
    : EmulatedCell(Seed, std::vector<double>(std::size_t(InstanceCount), 1.0),
                   WorkerCount) {}

EmulatedCell::EmulatedCell(std::uint64_t Seed,
                           const std::vector<double> &CpuShares,
                           int WorkerCount)
    : EmulatedCell(Seed, CpuShares, WorkerCount, singleAccount()) {}

EmulatedCell::EmulatedCell(std::uint64_t Seed,
                           const std::vector<double> &CpuShares,
                           int WorkerCount,
                           std::vector<jobs::ClientAccount> JobAccounts,
                           const std::optional<cell::ShardLayout> &Layout,
                           const jobs::SchedulerOptions &Options)
    : Store(Time, Seed), Workers(Time, Seed + 1), Queues(usualQueues()),
      Accounts(std::move(JobAccounts)),
      Shards(Layout ? Layout->shardCount() : 1), PolicyAccounts(Accounts),
      Random(Seed + 2),
      RowCodec(std::make_unique<EmulatedRecords>(Workers, Policies)),
      WallTime(std::make_unique<VirtualWallClock>(Time, WallClockStep)),
      Log(std::make_unique<TraceLog>(Time)) {
  Times.Scheduler = Options;
  Workers.TraitsOf = [this](const jobs::TaskId &Id) {
    TaskTraits Traits;
    const auto Found = Records.find(Id.Job);
    if (Found == Records.end())
      return Traits;
    const jobs::StepSpec &Step = Found->second.Spec.Steps.at(Id.Step);
    Traits.Request = Step.Request;
    Traits.Work = Step.Estimate;
    Traits.Fails = Found->second.Spec.Payload == "fails";
    if (Found->second.Spec.Payload == CrashingJob ||
        (Found->second.Spec.Payload == JobWithOneCrashingTask && Id.Index == 0))
      Traits.CrashesWorkerAfter = CrashDelay;
    Traits.Gang = Step.Gang;
    Traits.GangSize = Step.Count;
    Traits.Lasts = Step.LongRunning;
    return Traits;
  };
  Workers.TicketValidityOf =
      [this](const jobs::TaskId &Id) -> std::optional<Duration> {
    const auto Prefix = QueueOf.find(Id.Job);
    for (const jobs::Queue &Queue : Queues)
      if (Prefix != QueueOf.end() && Queue.PathPrefix == Prefix->second &&
          Queue.Advice)
        return Queue.Advice->Validity;
    return std::nullopt;
  };
  for (int Number = 0; Number < WorkerCount; ++Number)
    Workers.add("w" + std::to_string(Number), "zone", {32'000, 65'536, 0});
  putPolicy(1);
  if (Layout)
    Store.put(cell::LayoutTable, cell::partitionOf(0), cell::LayoutKey,
              cell::encode(*Layout));
  publishWorkers();
  for (std::size_t Number = 0; Number < CpuShares.size(); ++Number) {
    const std::string Name = "n" + std::to_string(Number);
    Instances[Name].CpuShare = CpuShares[Number];
    start(Name);
  }
}

EmulatedCell::~EmulatedCell() = default;

const std::vector<std::string> &
EmulatedCell::linesOf(std::string_view Event) const {
  return Log->lines(Event);
}

void EmulatedCell::publishWorkers() {
  for (const std::string &Id : Workers.ids()) {
    const auto Info = Workers.info(Id);
    if (Info && !Workers.Cut.contains(Id)) {
      Store.put("workers", "", Id,
                std::to_string(Info->Incarnation.StartedUnixMs));
      PublishedAt[Id] = Time.now();
    } else if (Workers.hasLeft(Id) ||
               Time.now() - PublishedAt[Id] >= 3 * HeartbeatPeriod) {
      Store.remove("workers", "", Id);
    }
  }
  Time.after(HeartbeatPeriod, [this] { publishWorkers(); });
}

void EmulatedCell::dropRow(const std::string &Worker) {
  Store.remove("workers", "", Worker);
}

void EmulatedCell::putForeignRow(const std::string &Worker,
                                 std::int64_t StartedUnixMs) {
  Store.put("workers", "", Worker,
            std::string(ForeignRowPrefix) + std::to_string(StartedUnixMs));
}

void EmulatedCell::putPolicy(std::int64_t Version) {
  jobs::ClusterPolicy &Policy = Policies[Version];
  Policy.Version = Version;
  Policy.Queues = Queues;
  Policy.Accounts = PolicyAccounts;
  Policy.Upstreams.resize(1);
  Policy.Upstreams.front().Name = "service";
  Store.put("policy", "", "policy", std::to_string(Version));
}

void EmulatedCell::withdrawKeys(std::int64_t Version) {
  for (jobs::ClientAccount &Account : PolicyAccounts)
    Account.Keys = {"new " + Account.Keys.front()};
  putPolicy(Version);
}

void EmulatedCell::putQueuesAndKeys(std::vector<jobs::Queue> Next,
                                    std::vector<std::string> Keys,
                                    std::int64_t Version) {
  PolicyAccounts.front().Keys = std::move(Keys);
  putQueues(std::move(Next), Version);
}

void EmulatedCell::removeAccounts(std::int64_t Version) {
  PolicyAccounts.clear();
  putPolicy(Version);
}

void EmulatedCell::evacuate(const std::string &Zone) {
  Store.put("policy", "", std::string(EvacuationPrefix) + Zone, "{}");
}

void EmulatedCell::takeBack(const std::string &Zone) {
  Store.remove("policy", "", std::string(EvacuationPrefix) + Zone);
}

bool EmulatedCell::happens(double Probability) {
  return Probability > 0 &&
         std::uniform_real_distribution<double>(0, 1)(Random) < Probability;
}

void EmulatedCell::putQueues(std::vector<jobs::Queue> Next,
                             std::int64_t Version) {
  Queues = std::move(Next);
  putPolicy(Version);
}

void EmulatedCell::start(const std::string &Name) {
  Instance &Entry = Instances[Name];
  if (Entry.Node)
    return;
  ++Entry.Starts;
  Entry.Frozen = false;
  Entry.Store = std::make_unique<EmulatedStore::Handle>(Store, Name);
  Entry.Workers = std::make_unique<EmulatedWorkers::Handle>(Workers, Name);
  Entry.Advice =
      std::make_unique<EmulatedAdvice>(Time, Workers, AdviceLinks[Name]);
  Entry.Peers = std::make_unique<Network>(*this, Name);
  Entry.Node = std::make_unique<cell::Node>(
      cell::Node::Ports{*Entry.Store, *RowCodec, *Entry.Workers, *Entry.Advice,
                        *Entry.Peers, Time, *WallTime, *Log},
      Times, cell::InstanceInfo{Name, Name, "zone", Entry.CpuShare},
      Name + "#" + std::to_string(Entry.Starts));
  pump(Name, Entry.Starts);
}

void EmulatedCell::pump(const std::string &Name, int Start) {
  Instance &Entry = Instances.at(Name);
  if (!Entry.Node || Entry.Starts != Start)
    return;
  if (!Entry.Frozen)
    Entry.Node->pump();
  Time.after(PumpStep, [this, Name, Start] { pump(Name, Start); });
}

void EmulatedCell::kill(const std::string &Name) {
  Instances.at(Name).Node.reset();
}

void EmulatedCell::freeze(const std::string &Name) {
  Instances.at(Name).Frozen = true;
}

void EmulatedCell::thaw(const std::string &Name) {
  Instances.at(Name).Frozen = false;
}

void EmulatedCell::endFaults() {
  Store.endFaults();
  Workers.endFaults();
  for (const std::string &Id : Workers.ids())
    if (!Workers.info(Id))
      Workers.restart(Id);
  DelayedMessages = 0;
  LostReplies = 0;
  LinkDelay = Duration{0};
  for (auto &[Name, Link] : AdviceLinks)
    Link.endFaults();
  for (const std::string &Name : names()) {
    heal(Name);
    thaw(Name);
  }
  for (const std::string &Name : names())
    start(Name);
}

bool EmulatedCell::hasFaults() const {
  const bool AllRun =
      std::all_of(Instances.begin(), Instances.end(),
                  [this](const auto &Entry) { return isRunning(Entry.first); });
  return !AllRun || !CutInstances.empty() || DelayedMessages > 0 ||
         LostReplies > 0 || LinkDelay > Duration{0} || Store.hasFaults() ||
         Workers.hasFaults();
}

bool EmulatedCell::isLed() const {
  for (int Shard = 0; Shard < Shards; ++Shard)
    if (leader(Shard).empty())
      return false;
  return true;
}

void EmulatedCell::run(Duration Length) { Time.advanceTo(Time.now() + Length); }

std::vector<std::string> EmulatedCell::names() const {
  std::vector<std::string> Result;
  for (const auto &[Name, Entry] : Instances)
    Result.push_back(Name);
  return Result;
}

std::string EmulatedCell::leader(int Shard) const {
  std::string Result;
  for (const auto &[Name, Entry] : Instances) {
    if (!Entry.Node || !Entry.Node->leader(Shard))
      continue;
    if (!Result.empty())
      return {};
    Result = Name;
  }
  return Result;
}

std::string EmulatedCell::submit(const std::string &Instance,
                                 jobs::StepSpec Step, const std::string &Queue,
                                 const std::string &Payload) {
  char Id[32];
  std::snprintf(Id, sizeof Id, "%016llx", (unsigned long long)++LastId);
  JobRecord &Record = Records[Id];
  Record.Spec.Id = Id;
  Record.Spec.Payload = Payload;
  Record.Spec.Steps = {std::move(Step)};
  QueueOf[Id] = Queue;
  AccountIndex[Id] = std::size_t(LastId) % Accounts.size();
  submitAgain(Instance, Id);
  return Id;
}

void EmulatedCell::submitAgain(const std::string &Instance,
                               const std::string &Id) {
  call(Instance, Id, cell::ClientVerb::Submit);
}

const std::string &EmulatedCell::accountOf(const std::string &Id) const {
  return Accounts[AccountIndex.at(Id)].Name;
}

bool EmulatedCell::isAdvised(const std::string &Id) const {
  const std::string &Path = QueueOf.at(Id);
  return std::any_of(Queues.begin(), Queues.end(),
                     [&Path](const jobs::Queue &Entry) {
                       return Entry.PathPrefix == Path && Entry.Advice;
                     });
}

void EmulatedCell::read(const std::string &Instance, const std::string &Id) {
  call(Instance, Id, cell::ClientVerb::Read);
}

void EmulatedCell::cancel(const std::string &Instance, const std::string &Id) {
  call(Instance, Id, cell::ClientVerb::Cancel);
}

bool EmulatedCell::cancelUntilAcknowledged(const std::string &Instance,
                                           const std::string &Id) {
  const TimePoint Limit = Time.now() + CancelTimeout;
  while (!Records.at(Id).Cancelled && Time.now() < Limit) {
    cancel(Instance, Id);
    run(CancelInterval);
  }
  return Records.at(Id).Cancelled;
}

std::vector<std::string> EmulatedCell::activeTasksOfCancelledJobs() const {
  std::vector<std::string> Result;
  for (const std::string &Task : Workers.activeTasks())
    if (Records.at(jobs::TaskId::parse(Task)->Job).Cancelled)
      Result.push_back(Task);
  return Result;
}

void EmulatedCell::call(const std::string &Name, const std::string &Id,
                        cell::ClientVerb Verb) {
  Instance &Entry = Instances.at(Name);
  if (!Entry.Node || Entry.Frozen)
    return;
  cell::ClientCall Call;
  Call.Verb = Verb;
  Call.Host = Host;
  Call.Path = QueueOf.at(Id) + Id;
  Call.Key = Accounts[AccountIndex.at(Id)].Keys.front();
  Call.Job = Records.at(Id).Spec;
  if (Verb == cell::ClientVerb::Submit) {
    ++Records.at(Id).Attempts;
    Records.at(Id).Unresolved = true; // Until an answer arrives.
  }
  Entry.Node->serve(Call, [this, Id, Verb](const cell::ClientAnswer &Answer) {
    ++Answers[Answer.Status];
    JobRecord &Record = Records.at(Id);
    if (Verb == cell::ClientVerb::Submit) {
      Record.Accepted =
          Record.Accepted || Answer.Status == cell::ClientStatus::Accepted;
      const bool IsRefusal = Answer.Status != cell::ClientStatus::Accepted &&
                             Answer.Status != cell::ClientStatus::Unresolved;
      Record.Refused += IsRefusal ? 1 : 0;
      Record.Unresolved = !Record.Accepted && Record.Refused < Record.Attempts;
    }
    if (Answer.Status == cell::ClientStatus::State)
      Record.View = Answer.View;
    if (Verb == cell::ClientVerb::Read &&
        Answer.Status == cell::ClientStatus::NoSuchJob)
      Record.View = jobs::JobView::Unknown;
    if (Verb == cell::ClientVerb::Read &&
        (Answer.Status == cell::ClientStatus::State ||
         Answer.Status == cell::ClientStatus::NoSuchJob))
      Record.ViewedAt = Time.now();
    const bool IsAcknowledgement =
        Answer.Status == cell::ClientStatus::Accepted ||
        Answer.Status == cell::ClientStatus::NoSuchJob;
    if (Verb == cell::ClientVerb::Cancel && IsAcknowledgement) {
      if (!Record.Cancelled)
        Record.CancelledAt = Time.now();
      Record.Cancelled = true;
    }
  });
}

std::vector<jobs::ClientAccount> equalAccounts(int Count) {
  std::vector<jobs::ClientAccount> Result(static_cast<std::size_t>(Count));
  for (std::size_t Index = 0; Index < Result.size(); ++Index) {
    Result[Index].Name = "a" + std::to_string(Index);
    Result[Index].Keys = {"key" + std::to_string(Index)};
    Result[Index].Weight = 50;
  }
  return Result;
}

cell::ShardLayout twoShards() {
  return {{0.5, 0.5}, {{"a0", 0}, {"a1", 1}, {"a2", 0}, {"a3", 1}}};
}

jobs::StepSpec stepOf(int Count, Duration Work, bool Gang) {
  jobs::StepSpec Step;
  Step.Count = Count;
  Step.Request = {4000, 4096, 0};
  Step.Estimate = Work;
  Step.Gang = Gang;
  return Step;
}

} // namespace apricotwing::emulator
