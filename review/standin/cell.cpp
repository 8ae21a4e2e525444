#include "cell.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>

namespace review {

namespace {
constexpr int ReadyTimeoutMs = 20'000;
constexpr std::int64_t MaxCaseMs = 115'000;
const std::string ClientKey = "key-of-team-one";
} // namespace

Cell::Cell(std::string Program, const std::string &Folder,
           const std::string &RecordFile)
    : Program(std::move(Program)), Folder(Folder), Log(RecordFile),
      ClientPort(freePort()), ReadyPort(freePort()), ControlPort(freePort()),
      PeerPort(freePort()), StorePort(freePort()), ExecutorPort(freePort()) {
  nowMs();
  PlatformStore = std::make_unique<Store>("127.0.0.1", StorePort);
  Watchdog = std::thread([this] {
    while (!Ending && nowMs() < MaxCaseMs)
      sleepMs(100);
    if (Ending)
      return;
    for (const auto &Pid : Pids)
      if (Pid > 0)
        kill(Pid, SIGKILL);
    _exit(2);
  });
}

Cell::~Cell() {
  for (int Index = 0; Index < entries(); ++Index)
    killEntry(Index);
  Ending = true;
  Watchdog.join();
  Executors.clear();
}

std::string Cell::ipOf(int Index) const {
  return "127.0.0." + std::to_string(11 + Index);
}

json Cell::route(const std::string &Name, const std::string &Service,
                 int MaxAttempts) {
  return {{"name", "r-" + Name},
          {"host", "cell.example"},
          {"path_prefix", "/" + Name + "/"},
          {"kind", "non_idempotent"},
          {"timeout_ms", 3000},
          {"target_latency_ms", 1000},
          {"priority", 1},
          {"service", Service},
          {"max_attempts", MaxAttempts},
          {"slack_factor", 20.0},
          {"public", false}};
}

void Cell::configure(const json &Routes) {
  Version += 3;
  json State{{"version", Version},
             {"routes", Routes},
             {"services",
              {{{"name", "planner"},
                {"health_path", "/health"},
                {"connection_limit", 64},
                {"protocol", "h1"},
                {"tls", false},
                {"rejects_overload", false},
                {"standby", false}}}},
             {"limits",
              {{"max_header_bytes", 16384},
               {"max_body_bytes", 262144},
               {"header_timeout_ms", 3000},
               {"idle_timeout_ms", 15000}}},
             {"tenants",
              {{{"name", "team-one"},
                {"api_keys", {ClientKey}},
                {"priority", 1},
                {"weight", 100},
                {"cap", {{"cpu", 0}, {"mem_mb", 0}, {"gpu", 0}}}}}}};
  PlatformStore->put("op", "config", State.dump());
  Log.line("the operator writes version " + std::to_string(Version) + " with " +
           std::to_string(Routes.size()) + " routes");
}

Executor &Cell::addExecutor(const std::string &Id, const std::string &Service,
                            std::int64_t Cpu) {
  Executor::Settings Chosen;
  Chosen.Id = Id;
  Chosen.Service = Service;
  Chosen.Ip = "127.0.1." + std::to_string(1 + Known.size());
  Chosen.Port = ExecutorPort;
  Chosen.Cpu = Cpu;
  Known[Id] = Chosen;
  Executors[Id] = std::make_unique<Executor>(Chosen, *PlatformStore, Log);
  return *Executors[Id];
}

void Cell::killExecutor(const std::string &Id) {
  Executors.at(Id)->kill();
  Executors.erase(Id);
}

void Cell::restartExecutor(const std::string &Id) {
  Executors[Id] = std::make_unique<Executor>(Known.at(Id), *PlatformStore, Log);
  Log.line("executor " + Id + " is up again");
}

void Cell::fail(const std::string &Task) {
  for (const auto &[Id, One] : Executors)
    One->fail(Task);
}

void Cell::startEntry(int Index) {
  const std::string Name = "frontend-zone-a-" + std::to_string(Index + 1);
  const std::string Ip = ipOf(Index);
  const auto At = [&Ip](int Port) { return Ip + ":" + std::to_string(Port); };
  const json Settings{
      {"node_name", Name},
      {"role", "entry"},
      {"machine_class", "frontend"},
      {"serves", {"frontend"}},
      {"ip", Ip},
      {"zone", "zone-a"},
      {"region", "region-a"},
      {"zones", {{"zone-a", "region-a"}}},
      {"listen_addresses",
       {{"frontend", At(ClientPort)},
        {"ready", At(ReadyPort)},
        {"control_plane", At(ControlPort)}}},
      {"internal_port_range", {PeerPort, PeerPort}},
      {"seed_nodes", json::array()},
      {"bootstrap", true},
      {"counts_toward_tolerance", false},
      {"limits",
       {{"cpu_share", 0.25},
        {"cores", 1},
        {"memory_mb", 260},
        {"file_descriptors", 4200},
        {"link_mbps", 1000.0},
        {"disk_mb", 0}}},
      {"data_directory", nullptr},
      {"discovery", "platform"},
      {"entry_point", "virtual_ip"},
      {"heartbeat_interval_ms", 1500},
      {"contracts",
       {"base", "drain", "config", "cost", "recover", "sched", "tenants",
        "quota", "platform"}},
      {"fault_tolerance", {{"machines", 2}, {"zones", 0}, {"regions", 0}}},
      {"bounds",
       {{"contact_timeout_ms", 3000},
        {"ack_timeout_ms", 4000},
        {"drain_timeout_ms", 2000},
        {"grace_period_s", 6},
        {"config_apply_ms", 2000},
        {"max_hold_ms", 10000},
        {"stop_timeout_ms", 200},
        {"gang_timeout_ms", 3000},
        {"cancel_ms", 3000},
        {"visible_ms", 3000},
        {"finish_s", 14},
        {"status_s", 120},
        {"fencing_enforced", false},
        {"lease_duration_ms", 3000}}},
      {"orders", "invocation"},
      {"platform",
       {{"address", "127.0.0.1:" + std::to_string(StorePort)},
        {"form", "table"},
        {"writes_per_s", 600},
        {"reads_per_s", 2000},
        {"transaction_timeout_ms", 5.0},
        {"partition_per_s", 200},
        {"max_row_bytes", 65536},
        {"cross_partition", false},
        {"history_retention_s", 20}}}};
  const std::string File = Folder + "/" + Name + ".json";
  std::ofstream(File) << Settings.dump(2) << '\n';
  const std::string LogFile = Folder + "/" + Name + ".log";
  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  posix_spawn_file_actions_addopen(&Actions, 1, LogFile.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&Actions, 1, 2);
  std::string Variable = "APRICOTWING_NODE_FILE=" + File;
  std::string Path = "PATH=/usr/bin:/bin";
  char *Environment[] = {Variable.data(), Path.data(), nullptr};
  std::string Word = Program;
  char *Arguments[] = {Word.data(), nullptr};
  pid_t Pid = 0;
  if (posix_spawn(&Pid, Program.c_str(), &Actions, nullptr, Arguments,
                  Environment) == 0)
    Pids[std::size_t(Index)] = Pid;
  posix_spawn_file_actions_destroy(&Actions);
  Log.line("entry " + Name + " is started");
}

bool Cell::isReady(int Index) {
  return call(ipOf(Index), ReadyPort, "GET", "/api/readiness", {}, "", 1000)
             .Status == 200;
}

void Cell::freeze(int Index, bool Frozen) {
  const pid_t Pid = Pids[std::size_t(Index)];
  if (Pid > 0)
    kill(Pid, Frozen ? SIGSTOP : SIGCONT);
  Log.line("entry " + std::to_string(Index + 1) +
           (Frozen ? " is frozen" : " goes on"));
}

bool Cell::startEntries(int Wanted) {
  Count = Wanted;
  for (int Index = 0; Index < entries(); ++Index)
    startEntry(Index);
  for (const std::int64_t Until = nowMs() + ReadyTimeoutMs; nowMs() < Until;
       sleepMs(100)) {
    int Ready = 0;
    for (int Index = 0; Index < entries(); ++Index)
      Ready += isReady(Index) ? 1 : 0;
    if (Ready == entries()) {
      Log.line("all entries are ready");
      sleepMs(1500);
      return true;
    }
  }
  Log.line("the entries do not become ready");
  return false;
}

void Cell::killEntry(int Index) {
  const pid_t Pid = Pids[std::size_t(Index)].exchange(0);
  if (Pid <= 0)
    return;
  kill(Pid, SIGKILL);
  waitpid(Pid, nullptr, 0);
  Log.line("SIGKILL of entry " + std::to_string(Index + 1));
}

// The stand-ins share one loopback address, so the writer is told by the row
// that it wrote.
int Cell::leader() {
  const auto Row = PlatformStore->get("leader", "cell", "leader");
  const json Record = Row ? json::parse(*Row, nullptr, false) : json();
  if (!Record.is_object() || !Record.contains("instance"))
    return -1;
  const std::string Name = Record["instance"][0];
  return Name.empty() ? -1 : Name.back() - '1';
}

Response Cell::client(int Index, const std::string &Method,
                      const std::string &Path, const json &Body, int DeadlineMs,
                      int LeavesMs) {
  const Response Answer = call(
      ipOf(Index), ClientPort, Method, Path,
      {{"Host", "cell.example"},
       {"Content-Type", "application/json"},
       {"Authorization", "Bearer " + ClientKey},
       {"X-Apricotwing-Deadline-Ms", std::to_string(DeadlineMs)}},
      Body.is_null() ? "" : Body.dump(), LeavesMs > 0 ? LeavesMs : DeadlineMs);
  Log.line("client: " + Method + " " + Path + " at entry " +
           std::to_string(Index + 1) + " -> " + std::to_string(Answer.Status) +
           " " + Answer.Body);
  return Answer;
}

bool Cell::submit(const std::string &Path, const json &Job) {
  for (int Try = 0; Try < 5; ++Try) {
    const int Status = client(Try % entries(), "POST", Path, Job).Status;
    if (Status >= 200 && Status < 300)
      return true;
    if (Status != 0 && Status != 502 && Status != 504)
      return false;
  }
  return false;
}

std::string Cell::state(const std::string &Path) {
  for (int Index = 0; Index < entries(); ++Index) {
    const Response Answer = client(Index, "GET", Path, nullptr);
    if (Answer.Status == 200)
      return json::parse(Answer.Body).value("state", "");
    if (Answer.Status == 410)
      return "410";
  }
  return "";
}

std::size_t Cell::running() {
  std::size_t Sum = 0;
  for (const auto &[Id, One] : Executors)
    Sum += One->running();
  return Sum;
}

std::vector<std::string> ranTwice(const std::vector<Recorder::Run> &Runs) {
  std::map<std::string, std::vector<Recorder::Run>> ByTask;
  for (const Recorder::Run &One : Runs)
    ByTask[One.Task].push_back(One);
  std::vector<std::string> Findings;
  for (const auto &[Task, Of] : ByTask)
    for (std::size_t Later = 1; Later < Of.size(); ++Later)
      for (std::size_t Earlier = 0; Earlier < Later; ++Earlier) {
        const Recorder::Run &First = Of[Earlier];
        const bool Overlaps =
            First.Ended < 0 || First.Ended > Of[Later].Started;
        const bool AfterDone = First.How == "done" && First.Noted;
        if (Overlaps || AfterDone)
          Findings.push_back(
              Task + ": run " + std::to_string(Of[Later].Id) + " starts at " +
              std::to_string(Of[Later].Started) + " ms on " +
              Of[Later].Executor + ", run " + std::to_string(First.Id) +
              " on " + First.Executor +
              (Overlaps ? " still runs"
                        : " ended done at " + std::to_string(First.Ended) +
                              " ms, and that was taken note of"));
      }
  return Findings;
}

} // namespace review
