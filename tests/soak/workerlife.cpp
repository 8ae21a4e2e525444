/// \file
/// How the processes of the workers start and end, and which calls get through
/// to them.
#include "soak/platform.h"

namespace apricotwing::soak {

namespace {

constexpr std::int64_t ReportIntervalMs = 1500;
constexpr std::int64_t SilenceUntilRemovalMs = 3 * ReportIntervalMs;
constexpr std::int64_t MinLateMs = 1000;
constexpr std::int64_t MaxLateMs = 6000;
/// Callers give a late call up before its connection closes.
constexpr std::int64_t UnansweredMs = 2000;

} // namespace

std::int64_t Platform::drawMs(std::int64_t Least, std::int64_t Most) {
  return std::uniform_int_distribution(Least, Most)(Draw);
}

bool Platform::drawChance(double Probability) {
  return std::bernoulli_distribution(Probability)(Draw);
}

void Platform::startWorker(int Index) {
  const std::lock_guard Order(Lifetimes);
  Worker &Host = Workers[std::size_t(Index)];
  if (!Host.Listener)
    Host.Listener = std::make_unique<Server>(
        Host.Ip, WorkerPort,
        [this, Index, Generation = Host.Generation](const Request &Incoming) {
          return serve(Index, Generation, Incoming);
        });
  const std::lock_guard Lock(Mutex);
  if (Host.Alive)
    return;
  Host.Alive = true;
  Host.Mode = WorkerMode::Sound;
  Host.Born = unixMs();
  Host.BornAtMs = nowMs();
  Host.Fence = Host.DeadlineMs = Host.LastEnd = 0;
  Host.Highest.clear();
  Host.Ends.clear();
  const char Zone = char('a' + zoneOf(Index));
  Host.Row = Json{
      {"service", "planner"},
      {"address", Host.Ip + ":" + std::to_string(WorkerPort)},
      {"zone", std::string("zone-") + Zone},
      {"version", "v1"},
      {"slots", 8},
      {"state", "ready"},
      {"cold_remaining_ms", 0},
      {"capacity", {{"cpu", WorkerCpu}, {"mem_mb", WorkerMemory}, {"gpu", 0}}},
      {"labels",
       {Index % 2 == 0 ? "a" : "b", "r1-" + std::to_string(Index / 8)}},
      {"born", Host.Born},
      {"sequence",
       1}}.dump();
  // The row of the former process is replaced.
  Host.Listed = false;
  Host.ReportsAtMs = nowMs();
  updateRegistry(Host);
  Host.Changed.notify_all();
  writeRecord("start of " + Host.Id);
}

void Platform::endProcess(int Index) {
  Worker &Host = Workers[std::size_t(Index)];
  if (!Host.Alive)
    return;
  Host.Alive = false;
  ++Host.Life;
  Host.SilentSinceMs = nowMs() - drawMs(0, ReportIntervalMs);
  while (!Host.Running.empty()) {
    const std::string Task = Host.Running.begin()->first;
    finish(Index, Task, "crashed");
  }
  Host.Ends.clear();
}

void Platform::crashWorker(int Index) {
  const std::lock_guard Order(Lifetimes);
  Worker &Host = Workers[std::size_t(Index)];
  if (!Host.Listener)
    return;
  {
    const std::lock_guard Lock(Mutex);
    ++Host.Generation;
    endProcess(Index);
    Host.Changed.notify_all();
    writeRecord("crash of " + Host.Id);
  }
  Host.Listener.reset();
}

void Platform::darkenWorker(int Index) {
  const std::lock_guard Order(Lifetimes);
  const std::lock_guard Lock(Mutex);
  endProcess(Index);
  Workers[std::size_t(Index)].Changed.notify_all();
  writeRecord(Workers[std::size_t(Index)].Id + " goes dark");
}

void Platform::setCut(int Index, bool IsCut) {
  const std::lock_guard Lock(Mutex);
  Worker &Host = Workers[std::size_t(Index)];
  if (Host.Cut == IsCut)
    return;
  Host.Cut = IsCut;
  if (IsCut && Host.Alive)
    Host.SilentSinceMs = nowMs() - drawMs(0, ReportIntervalMs);
  Host.ReportsAtMs = nowMs() + drawMs(0, ReportIntervalMs);
  Host.Changed.notify_all();
  writeRecord(Host.Id + (IsCut ? " is cut off" : " is reached again"));
}

void Platform::setLateCalls(int Index, double Share) {
  const std::lock_guard Lock(Mutex);
  Workers[std::size_t(Index)].LateCalls = Share;
}

void Platform::setMode(int Index, WorkerMode Mode) {
  const std::lock_guard Lock(Mutex);
  Workers[std::size_t(Index)].Mode = Mode;
  Workers[std::size_t(Index)].Changed.notify_all();
}

void Platform::updateRegistry(Worker &Host) {
  const std::int64_t Now = nowMs();
  if (Host.isReachable()) {
    if (!Host.Listed && Now >= Host.ReportsAtMs) {
      Host.Listed = true;
      Registry.put("servers", Host.Id, Host.Row);
    }
  } else if (Host.Listed && Now - Host.SilentSinceMs > SilenceUntilRemovalMs) {
    Host.Listed = false;
    Registry.remove("servers", Host.Id);
  }
}

// A call waits for a worker that cannot be reached, and the process that is
// then up carries it out, even if the caller has given up and closed the
// connection: what was sent stays on its way. A reset drops it.
Response Platform::serve(int Index, int Generation, const Request &Incoming) {
  std::unique_lock Lock(Mutex);
  Worker &Host = Workers[std::size_t(Index)];
  const auto HasCrashed = [&] { return Host.Generation != Generation; };
  const auto CanAnswer = [&] {
    return HasCrashed() ||
           (Host.isReachable() && Host.Mode != WorkerMode::Hangs);
  };
  const int SentTo = Host.Alive ? Host.Life : -1;
  const bool IsLate = drawChance(Host.LateCalls);
  if (IsLate)
    Host.Changed.wait_for(
        Lock, std::chrono::milliseconds(drawMs(MinLateMs, MaxLateMs)),
        HasCrashed);
  Host.Changed.wait(Lock, CanAnswer);
  if (HasCrashed() || (!IsLate && Incoming.isReset()))
    return {};
  const bool IsCarriedOver = SentTo != Host.Life;
  const Delivery How = IsCarriedOver ? IsLate ? Delivery::LateToNextProcess
                                              : Delivery::ToNextProcess
                       : IsLate      ? Delivery::Late
                                     : Delivery::Direct;
  if (How != Delivery::Direct)
    ++Counts[std::string("calls delivered ") + deliveryName(How)];
  const int Life = Host.Life;
  Response Answer = carryOut(Index, Incoming, How, Lock);
  if (IsLate)
    Host.Changed.wait_for(Lock, std::chrono::milliseconds(UnansweredMs),
                          HasCrashed);
  const bool IsLost = IsLate || (IsCarriedOver && drawChance(0.5));
  Host.Changed.wait(Lock, CanAnswer);
  if (HasCrashed() || Host.Life != Life || IsLost)
    return {};
  return Answer;
}

Response Platform::carryOut(int Index, const Request &Incoming, Delivery How,
                            std::unique_lock<std::mutex> &Lock) {
  const Json Body = Json::parse(Incoming.Body, nullptr, false);
  Worker &Host = Workers[std::size_t(Index)];
  const auto Refuse = [&](int Status, const char *Reason) {
    ++Counts[std::string("refused: ") + Reason];
    return Response{
        Status, Json{{"clock_ms", Host.clock()}, {"reason", Reason}}.dump()};
  };
  const auto Expected =
      Incoming.Headers.find("x-apricotwing-expected-instance");
  if (Expected != Incoming.Headers.end() && Expected->second != Host.Id)
    return Refuse(421, "id");
  if (!Body.is_object())
    return Refuse(400, "body");
  tickWorker(Index);
  const std::int64_t Token = Body.value("fencing_token", std::int64_t(0));
  if (Token < Host.Fence)
    return Refuse(409, "fence");
  Host.Fence = Token;
  if (Incoming.Path == "/api/run-start")
    return start(Index, Body, How);
  if (Incoming.Path == "/api/run-stop")
    return stop(Index, Body);
  if (Incoming.Path == "/api/hold")
    return hold(Index, Body, Lock);
  return Refuse(404, "path");
}

} // namespace apricotwing::soak
