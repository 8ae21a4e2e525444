#include "standins/cell.h"

#include "core/error.h"
#include "wire/platformcodec.h"

namespace apricotwing::standins {

namespace {

/// Period in which the list takes a picture of the cell for its lag.
constexpr std::int64_t RecordMs = 50;

constexpr std::size_t MaxHistory = 2400;

/// Each worker's clock differs from the others by so much.
constexpr std::int64_t ClockStepMs = 1'000'000;

std::string zoneName(std::uint32_t Index, std::uint32_t Zones) {
  return "z" + std::to_string(Index % Zones + 1);
}

ListedInstance parseEntry(const nlohmann::json &Value) {
  InstanceSnapshot Snapshot = decodeInstanceSnapshot(nlohmann::json{
      {"entries", {Value}},
      {"workers", nlohmann::json::array()},
      {"executors", nlohmann::json::array()}}.dump());
  return Snapshot.Instances.at(0);
}

} // namespace

ListStandin::ListStandin(Timeline &Time,
                         std::function<InstanceSnapshot()> Source)
    : Site(Time), Source(std::move(Source)) {
  recordForever();
}

void ListStandin::handle(const HttpRequest &, const Responder &Reply) {
  record();
  const std::int64_t Wanted = steadyMs() - Switches.ListLagMs;
  std::size_t Index = History.size() - 1;
  while (Index > 0 && History[Index].first > Wanted)
    --Index;
  Reply(jsonResponse(200, History[Index].second));
}

bool ListStandin::controlOwn(const std::string &Name,
                             const nlohmann::json &Value) {
  if (Name == "set_entry") {
    const ListedInstance Entry = parseEntry(Value);
    Instances[Entry.Id] = Entry;
    return true;
  }
  return Name == "remove_entry" && Value.is_string() &&
         Instances.erase(Value.get<std::string>()) > 0;
}

void ListStandin::record() {
  InstanceSnapshot Snapshot = Source();
  for (const auto &[Id, Entry] : Instances)
    Snapshot.Instances.push_back(Entry);
  History.emplace_back(steadyMs(), encodeInstanceSnapshot(Snapshot));
  if (History.size() > MaxHistory)
    History.pop_front();
}

void ListStandin::recordForever() {
  {
    const std::lock_guard Lock(Mutex);
    record();
  }
  Time.after(RecordMs, [this] { recordForever(); });
}

Cell::Cell(const CellOptions &Options) : Table(Time, Seen), Objects(Time) {
  Table.serve(Options.Host, Options.TablePort);
  Objects.serve(Options.Host, Options.ObjectsPort);
  for (std::uint32_t Index = 0; Index < Options.Workers; ++Index)
    addWorker(Options, Index);
  for (std::uint32_t Index = 0; Index < Options.Executors; ++Index)
    addExecutor(Options, Index);
  List = std::make_unique<ListStandin>(Time, [this] { return snapshot(); });
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
  Time.stop();
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
      Time, Seen, Identity, ClockStepMs * (std::int64_t(Index) + 1)));
  Workers.back()->serve(Options.Host, 0);
  Targets["worker:" + Identity.Id] = Workers.back().get();
}

void Cell::addExecutor(const CellOptions &Options, std::uint32_t Index) {
  ListedExecutor Identity;
  Identity.Id = "e" + std::to_string(Index);
  Identity.Upstream = Options.Upstream;
  Identity.Zone = zoneName(Index, Options.Zones);
  Executors.push_back(std::make_unique<ExecutorStandin>(
      Time, Seen, Identity, Options.Slots, Options.WorkMs));
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
  const nlohmann::json Wanted = nlohmann::json::parse(Body, nullptr, false);
  if (!Wanted.is_object() || !Wanted.contains("target"))
    throw Error(ErrorKind::BadRequest, "no target",
                "see docs/design.md, section 8.3");
  const auto Found = Targets.find(Wanted["target"].get<std::string>());
  if (Found == Targets.end())
    throw Error(ErrorKind::NotFound, "unknown target",
                "see docs/design.md, section 8.3");
  Found->second->control(Wanted);
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
