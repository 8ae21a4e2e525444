#include "process/cluster.h"

#include "core/error.h"
#include "httpclient/crypto.h"
#include "wire/configcodec.h"
#include "wire/platformcodec.h"

#include <gtest/gtest.h>

#include <signal.h>
#include <spawn.h>
#include <stdlib.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <exception>
#include <filesystem>
#include <fstream>
#include <set>
#include <stdexcept>
#include <thread>

extern char **environ; // NOLINT

namespace apricotwing::process {

namespace {

constexpr auto ConditionTimeout = std::chrono::seconds(60);
constexpr auto PollPeriod = std::chrono::milliseconds(20);

/// Derives a loopback address from the process ID, so that tests that run at
/// the same time cannot take each other's ports.
std::string ownIp() {
  const auto Pid = unsigned(getpid());
  return "127." + std::to_string(64 + ((Pid >> 14U) & 63U)) + "." +
         std::to_string((Pid >> 7U) & 127U) + "." +
         std::to_string(1 + (Pid & 127U));
}

/// Returns a free address that this process has not returned before.
std::string freeAddress() {
  static std::set<std::uint16_t> Given;
  while (true) {
    asio::io_context Context;
    asio::ip::tcp::acceptor Probe(Context,
                                  {asio::ip::make_address(ownIp()), 0});
    const std::uint16_t Port = Probe.local_endpoint().port();
    if (Given.insert(Port).second)
      return ownIp() + ":" + std::to_string(Port);
  }
}

std::string binary(const std::string &Name) {
  const char *Folder = getenv("APRICOTWING_BIN");
  if (Folder == nullptr)
    throw std::runtime_error("run the process tests through ctest, or set "
                             "APRICOTWING_BIN to the folder of the binaries");
  return std::string(Folder) + "/" + Name;
}

pid_t spawn(const std::vector<std::string> &Command, const std::string &Log) {
  std::vector<char *> Arguments;
  Arguments.reserve(Command.size() + 1);
  for (const std::string &Part : Command)
    Arguments.push_back(const_cast<char *>(Part.c_str()));
  Arguments.push_back(nullptr);
  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  posix_spawn_file_actions_addopen(&Actions, STDOUT_FILENO, Log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&Actions, STDOUT_FILENO, STDERR_FILENO);
  pid_t Pid = 0;
  const int Failed = posix_spawn(&Pid, Command.front().c_str(), &Actions,
                                 nullptr, Arguments.data(), environ);
  posix_spawn_file_actions_destroy(&Actions);
  if (Failed != 0)
    throw std::runtime_error("cannot start " + Command.front());
  return Pid;
}

} // namespace

void awaitCondition(const std::string &What,
                    const std::function<bool()> &Condition) {
  const auto Limit = std::chrono::steady_clock::now() + ConditionTimeout;
  while (!Condition()) {
    if (std::chrono::steady_clock::now() > Limit)
      throw std::runtime_error("timed out: " + What);
    std::this_thread::sleep_for(PollPeriod);
  }
}

Executions executionsOf(const Cluster &Target, const RunId &Run) {
  return executionsOf(Target.counts(), Run);
}

Executions executionsOf(const nlohmann::json &Counts, const RunId &Run) {
  Executions Result;
  for (const auto &[Attempt, Count] : Counts["attempts"].items()) {
    if (Attempt.rfind(Run + "/", 0) != 0)
      continue;
    ++Result.Attempts;
    Result.MostPerAttempt =
        std::max(Result.MostPerAttempt, Count.get<std::uint64_t>());
  }
  return Result;
}

void expectNoOverlap(const Cluster &Target) {
  EXPECT_EQ(Target.counts()["overlaps"], 0);
  EXPECT_LE(Target.counts()["worst_fill"].get<double>(), 1.0);
}

RunSpec runSpec(const std::string &Key, std::uint32_t Tasks, int RunMs) {
  RunSpec Spec;
  Spec.Tasks = Tasks;
  Spec.PerTask = {1000, 256, 0};
  Spec.IdempotencyKey = Key;
  Spec.Payload = "{\"run_ms\":" + std::to_string(RunMs) + "}";
  return Spec;
}

const std::string &Cluster::teamKey() {
  static const std::string Key = "team-key-of-koksne";
  return Key;
}

const std::string &Cluster::firstOwnerKey() {
  static const std::string Key = "owner-key-of-anna";
  return Key;
}

const std::string &Cluster::secondOwnerKey() {
  static const std::string Key = "owner-key-of-bram";
  return Key;
}

Cluster::Cluster(std::size_t Count, const standins::CellOptions &Options)
    : Cell(std::make_unique<standins::Cell>(Options)) {
  std::string Template = "/tmp/apricotwing-test-XXXXXX";
  Folder = mkdtemp(Template.data());
  try {
    start(Count);
  } catch (...) {
    killAll();
    throw;
  }
}

void Cluster::start(std::size_t Count) {
  for (std::size_t Index = 0; Index < Count; ++Index)
    startDaemon();
  for (std::size_t Index = 0; Index < Count; ++Index)
    awaitCondition("all members known", [&] {
      const nlohmann::json State = state(Index);
      return State.is_object() && State["ready"] == true &&
             State["members"].size() == Count;
    });
}

void Cluster::killAll() {
  for (std::size_t Index = 0; Index < Daemons.size(); ++Index)
    killDaemon(Index);
}

Cluster::~Cluster() {
  killAll();
  if (testing::Test::HasFailure() || std::uncaught_exceptions() > 0) {
    std::cerr << "logs of the daemons are in " << Folder << "\n";
    return;
  }
  std::filesystem::remove_all(Folder);
}

std::size_t Cluster::startDaemon() {
  DaemonProcess Fresh;
  Fresh.Name = "d" + std::to_string(Daemons.size());
  Fresh.Address = freeAddress();
  Fresh.Store = std::make_unique<Relay>(Cell->tableAddress());
  Fresh.PeerAddress = freeAddress();
  Fresh.Pid =
      spawn({binary("apricotwingd"), "--settings", writeSettings(Fresh)},
            Folder + "/" + Fresh.Name + ".log");
  Daemons.push_back(std::move(Fresh));
  return Daemons.size() - 1;
}

// The durations are shorter than the defaults but in the same proportions, so
// that a test does not wait for long.
std::string Cluster::writeSettings(const DaemonProcess &Daemon) const {
  std::string File = Folder + "/" + Daemon.Name + ".ini";
  std::ofstream Out(File);
  Out << "[instance]\nid = " << Daemon.Name << "\nzone = z"
      << Daemons.size() % 3 + 1 << "\n[http]\n"
      << "listen = " << Daemon.Address
      << "\npeer_listen = " << Daemon.PeerAddress
      << "\nheader_timeout_ms = 1000\n[table]\nurl = http://"
      << Daemon.Store->address()
      << "\ntimeout_ms = 500\n[objects]\nurl = http://"
      << Cell->objectsAddress() << "\n[list]\nurl = http://"
      << Cell->listAddress() << "\n[owners]\nfirst_name = anna\n"
      << "first_key_sha256 = " << sha256Hex(firstOwnerKey())
      << "\nsecond_name = bram\nsecond_key_sha256 = "
      << sha256Hex(secondOwnerKey())
      << "\n[authority]\nrenew_ms = 300\nvalid_ms = 3000\nfence_ms = 5000\n"
      << "promise_ms = 2000\n[scheduler]\ntick_ms = 10\n"
      << "worker_lease_ms = 3000\nworker_renew_ms = 300\n"
      << "keepalive_ms = 60000\n[requests]\nmax_deadline_ms = 3000\n";
  return File;
}

void Cluster::signalDaemon(std::size_t Daemon, int Signal) const {
  if (Daemons.at(Daemon).Pid > 0)
    kill(Daemons.at(Daemon).Pid, Signal);
}

int Cluster::waitForExit(std::size_t Daemon) {
  pid_t &Pid = Daemons.at(Daemon).Pid;
  if (Pid <= 0)
    return 0;
  int Status = 0;
  waitpid(Pid, &Status, 0);
  Pid = 0;
  return WIFEXITED(Status) ? WEXITSTATUS(Status) : -WTERMSIG(Status);
}

void Cluster::killDaemon(std::size_t Daemon) {
  signalDaemon(Daemon, SIGKILL);
  waitForExit(Daemon);
}

std::size_t Cluster::shardOwner() {
  std::optional<std::size_t> Owner;
  awaitCondition("a shard owner", [&] {
    for (std::size_t Index = 0; Index < Daemons.size(); ++Index) {
      const nlohmann::json State =
          Daemons[Index].Pid > 0 ? state(Index) : nlohmann::json();
      if (State.is_object() && !State["shards"].empty())
        Owner = Index;
    }
    return Owner.has_value();
  });
  return *Owner;
}

HttpResult Cluster::call(std::size_t Daemon, const std::string &Method,
                         const std::string &Path, const std::string &Body,
                         const std::string &Key) const {
  HttpCall Call;
  Call.Method = Method;
  Call.Url = "http://" + Daemons.at(Daemon).Address + Path;
  Call.Body = Body;
  Call.Timeout = Duration(8000);
  Call.Connections = ConnectionUse::Fresh;
  if (!Key.empty())
    Call.Headers["Authorization"] = "Bearer " + Key;
  return Client.perform(Call);
}

std::string Cluster::propose(std::size_t Daemon, std::uint64_t Base,
                             const std::vector<ConfigChange> &Changes,
                             const std::string &Key) const {
  const HttpResult Result = call(Daemon, "POST", "/v1/config/proposals",
                                 encodeProposalRequest({Base, Changes}), Key);
  if (Result.Status != 201)
    throw std::runtime_error("proposal refused: " + Result.Body);
  return decodeProposalCreated(Result.Body);
}

std::uint64_t Cluster::configVersion(std::size_t Daemon) const {
  const HttpResult Result =
      call(Daemon, "GET", "/v1/config", "", firstOwnerKey());
  return Result.Status == 200 ? decodeConfigView(Result.Body).Version : 0;
}

void Cluster::change(const std::vector<ConfigChange> &Changes,
                     const std::vector<std::size_t> &Spread) {
  const std::size_t Daemon = Spread.front();
  const std::string Proposal =
      propose(Daemon, configVersion(Daemon), Changes, firstOwnerKey());
  std::uint64_t Version = 0;
  awaitCondition("signature", [&] {
    const HttpResult Result =
        call(Daemon, "POST", "/v1/config/proposals/" + Proposal + "/sign", "",
             secondOwnerKey());
    if (Result.Status == 200)
      Version = decodeConfigVersion(Result.Body);
    return Version > 0;
  });
  for (const std::size_t Index : Spread)
    awaitCondition("configuration in force",
                   [&] { return configVersion(Index) >= Version; });
}

void Cluster::addTeam(const TeamLimit &Limit) {
  std::vector<std::size_t> All;
  for (std::size_t Index = 0; Index < Daemons.size(); ++Index)
    All.push_back(Index);
  change({SetTeam{"koksne", TeamConfig{1, Limit}},
          AddKey{"koksne-1", {"koksne", sha256Hex(teamKey())}},
          SetUpstream{"planning", UpstreamConfig{}}},
         All);
  for (const std::size_t Index : All)
    awaitCondition("grants for requests",
                   [&] { return request(Index, "warm-up").Outcome == "done"; });
}

RequestResult Cluster::request(std::size_t Daemon, const std::string &Body,
                               bool Idempotent, int DeadlineMs) const {
  HttpCall Call;
  Call.Method = "POST";
  Call.Url = "http://" + Daemons.at(Daemon).Address + "/v1/request/planning";
  Call.Body = Body;
  Call.Timeout = Duration(8000);
  Call.Connections = ConnectionUse::Fresh;
  Call.Headers = {{"Authorization", "Bearer " + teamKey()},
                  {"Apricotwing-Idempotent", Idempotent ? "true" : "false"},
                  {"Apricotwing-Deadline-Ms", std::to_string(DeadlineMs)}};
  const HttpResult Result = Client.perform(Call);
  if (Result.State != TransferState::Complete)
    return {};
  return {Result.Status, std::string(Result.header("apricotwing-outcome")),
          Result.Body};
}

RunId Cluster::submit(std::size_t Daemon, const RunSpec &Spec) const {
  RunId Run;
  awaitCondition("submission", [&] {
    const HttpResult Result =
        call(Daemon, "POST", "/v1/runs", encodeRunSpec(Spec), teamKey());
    if (Result.Status == 201 || Result.Status == 200)
      Run = decodeRunAccepted(Result.Body).Run;
    return !Run.empty();
  });
  return Run;
}

std::optional<RunView> Cluster::view(std::size_t Daemon,
                                     const RunId &Run) const {
  const HttpResult Result =
      call(Daemon, "GET", "/v1/runs/" + Run, "", teamKey());
  if (Result.Status != 200)
    return std::nullopt;
  return decodeRunView(Result.Body);
}

void Cluster::awaitRun(std::size_t Daemon, const RunId &Run,
                       RunState State) const {
  awaitCondition("run " + Run + " " + std::string(runStateName(State)), [&] {
    const std::optional<RunView> View = view(Daemon, Run);
    return View && View->Record.State == State;
  });
}

void Cluster::fault(const nlohmann::json &Switches) {
  Cell->control(Switches.dump());
}

nlohmann::json Cluster::counts() const {
  return nlohmann::json::parse(Cell->counts());
}

nlohmann::json Cluster::row(const std::string &Key) const {
  HttpCall Call;
  Call.Method = "POST";
  Call.Url = "http://" + Cell->tableAddress() + "/v1/read";
  Call.Body = nlohmann::json{{"keys", {Key}}}.dump();
  const RowPage Page = decodeRowPage(Client.perform(Call).Body);
  return Page.Rows.empty() ? nlohmann::json()
                           : nlohmann::json::parse(Page.Rows.front().Value);
}

nlohmann::json Cluster::state(std::size_t Daemon) const {
  const HttpResult Result = call(Daemon, "GET", "/statez", "", "");
  if (Result.Status != 200)
    return {};
  return nlohmann::json::parse(Result.Body);
}

} // namespace apricotwing::process
