#include "standins/cell.h"

#include "core/error.h"
#include "wire/platformcodec.h"

namespace apricotwing::standins {

namespace {

/// Interval between the recorded snapshots of the cell. With ListLagMs set, the
/// list serves an older one of them.
constexpr std::int64_t RecordPeriodMs = 50;

/// Number of snapshots kept; the oldest is dropped first.
constexpr std::size_t MaxHistory = 2400;

/// Offset between the clocks of consecutive workers. It reveals code that
/// compares times of different machines.
constexpr std::int64_t ClockStepMs = 1'000'000;

std::string zoneName(std::uint32_t Index, std::uint32_t Zones) {
  return "z" + std::to_string(Index % Zones + 1);
}

ListedInstance parseInstance(const nlohmann::json &Value) {
  InstanceSnapshot Snapshot = decodeInstanceSnapshot(nlohmann::json{
      {"entries", {Value}},
      {"workers", nlohmann::json::array()},
      {"executors", nlohmann::json::array()}}.dump());
  return Snapshot.Instances.at(0);
}

} // namespace

ListStandin::ListStandin(TimerQueue &Timers,
                         std::function<InstanceSnapshot()> SnapshotSource)
    : StandinServer(Timers), SnapshotSource(std::move(SnapshotSource)) {
  recordPeriodically();
}

void ListStandin::handle(const HttpRequest &, const Responder &Reply) {
  recordSnapshot();
  const std::int64_t ServedAtMs = steadyMs() - Switches.ListLagMs;
  std::size_t Index = History.size() - 1;
  while (Index > 0 && History[Index].first > ServedAtMs)
    --Index;
  Reply(jsonResponse(200, History[Index].second));
}

bool ListStandin::setExtraSwitch(const std::string &Name,
                                 const nlohmann::json &Value) {
  if (Name == "set_entry") {
    const ListedInstance Instance = parseInstance(Value);
    Instances[Instance.Id] = Instance;
    return true;
  }
  return Name == "remove_entry" && Value.is_string() &&
         Instances.erase(Value.get<std::string>()) > 0;
}

void ListStandin::recordSnapshot() {
  InstanceSnapshot Snapshot = SnapshotSource();
  for (const auto &[Id, Instance] : Instances)
    Snapshot.Instances.push_back(Instance);
  History.emplace_back(steadyMs(), encodeInstanceSnapshot(Snapshot));
  if (History.size() > MaxHistory)
    History.pop_front();
}

void ListStandin::recordPeriodically() {
  {
    const std::lock_guard Lock(Mutex);
    recordSnapshot();
  }
  Timers.after(RecordPeriodMs, [this] { recordPeriodically(); });
}

Cell::Cell(const CellOptions &Options)
    : Table(Timers, Counters), Objects(Timers) {
  Table.serve(Options.Host, Options.TablePort);
  Objects.serve(Options.Host, Options.ObjectsPort);
  for (std::uint32_t Index = 0; Index < Options.Workers; ++Index)
    addWorker(Options, Index);
  for (std::uint32_t Index = 0; Index < Options.Executors; ++Index)
    addExecutor(Options, Index);
  List = std::make_unique<ListStandin>(Timers, [this] { return snapshot(); });
  List->serve(Options.Host, Options.ListPort);
  Targets["table"] = &Table;
  Targets["objects"] = &Objects;
  Targets["list"] = List.get();
  HttpServerOptions Server;
  Server.Address = Options.Host;
  Server.Port = Options.ControlPort;
  Server.Threads = 1;
  Control = startHttpServer(
      Server, [this](const HttpRequest &Request, const Responder &Reply) {
        Reply(serveControl(Request));
      });
  ControlAddress = Options.Host + ":" + std::to_string(Control->port());
}

Cell::~Cell() {
  Control.reset();
  Timers.stop();
  for (const auto &[Name, Target] : Targets)
    Target->stop();
}

void Cell::addWorker(const CellOptions &Options, std::uint32_t Index) {
  ListedWorker Identity;
  Identity.Id = "w" + std::to_string(Index);
  Identity.Zone = zoneName(Index / Options.WorkersPerRack, Options.Zones);
  Identity.Rack = "r" + std::to_string(Index / Options.WorkersPerRack);
  Identity.Capacity = Options.WorkerCapacity;
  Workers.push_back(std::make_unique<WorkerStandin>(
      Timers, Counters, Identity, ClockStepMs * (std::int64_t(Index) + 1)));
  Workers.back()->serve(Options.Host, 0);
  Targets["worker:" + Identity.Id] = Workers.back().get();
}

void Cell::addExecutor(const CellOptions &Options, std::uint32_t Index) {
  ListedExecutor Identity;
  Identity.Id = "e" + std::to_string(Index);
  Identity.Upstream = Options.Upstream;
  Identity.Zone = zoneName(Index, Options.Zones);
  Executors.push_back(std::make_unique<ExecutorStandin>(
      Timers, Counters, Identity, Options.Slots, Options.WorkMs));
  Executors.back()->serve(Options.Host, 0);
  Targets["executor:" + Identity.Id] = Executors.back().get();
}

InstanceSnapshot Cell::snapshot() const {
  InstanceSnapshot Result;
  for (const auto &Worker : Workers)
    Result.Workers.push_back(Worker->listed());
  for (const auto &Executor : Executors)
    Result.Executors.push_back(Executor->listed());
  return Result;
}

std::string Cell::description() const {
  nlohmann::json WorkerList = nlohmann::json::array();
  for (const auto &Worker : Workers)
    WorkerList.push_back(
        {{"id", Worker->listed().Id}, {"address", Worker->address()}});
  nlohmann::json ExecutorList = nlohmann::json::array();
  for (const auto &Executor : Executors)
    ExecutorList.push_back(
        {{"id", Executor->listed().Id}, {"address", Executor->address()}});
  return nlohmann::json{
      {"control", ControlAddress},    {"table", Table.address()},
      {"objects", Objects.address()}, {"list", List->address()},
      {"workers", WorkerList},        {"executors", ExecutorList}}
      .dump();
}

void Cell::control(const std::string &Body) {
  const nlohmann::json Switches = nlohmann::json::parse(Body, nullptr, false);
  if (!Switches.is_object() || !Switches.contains("target"))
    throw Error(ErrorKind::BadRequest,
                "the control request names no \"target\"",
                "see docs/design.md, section 8.3");
  const auto Found = Targets.find(Switches["target"].get<std::string>());
  if (Found == Targets.end())
    throw Error(ErrorKind::NotFound, "no stand-in has this target name",
                "see docs/design.md, section 8.3");
  Found->second->control(Switches);
}

HttpResponse Cell::serveControl(const HttpRequest &Request) {
  if (Request.Path == "/counts")
    return jsonResponse(200, counts());
  if (Request.Path != "/control")
    return errorAnswer(404, "not_found", Request.Path);
  control(Request.Body);
  return jsonResponse(200, "{}");
}

} // namespace apricotwing::standins
