/// \file
/// Runs daemon processes against the stand-ins, for the process tests.
#ifndef APRICOTWING_PROCESS_CLUSTER_H
#define APRICOTWING_PROCESS_CLUSTER_H

#include "core/config.h"
#include "httpclient/httpclient.h"
#include "process/relay.h"
#include "standins/cell.h"
#include "wire/runcodec.h"

#include <nlohmann/json.hpp>

#include <sys/types.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace apricotwing::process {

/// Response to an interactive request as its caller sees it.
struct RequestResult {
  int Status = 0;      ///< HTTP status; 0: no complete response.
  std::string Outcome; ///< "done", "not_run", "unknown" or empty.
  std::string Body;
};

/// Runs stand-ins in this process and daemons as child processes. The
/// destructor stops everything that it started. All stand-ins listen on
/// 127.0.0.1.
class Cluster {
public:
  /// Starts \p Daemons daemons. Returns when all are ready and know each
  /// other, so that any of them can accept a signature.
  explicit Cluster(std::size_t Daemons,
                   const standins::CellOptions &Options = {});
  ~Cluster();

  standins::Cell &cell() { return *Cell; }
  Relay &storeRelay(std::size_t Daemon) { return *Daemons.at(Daemon).Store; }

  /// Starts another daemon without waiting for it; returns its index.
  std::size_t startDaemon();
  void signalDaemon(std::size_t Daemon, int Signal) const;
  /// "ip:port" for callers, and for other daemons.
  const std::string &address(std::size_t Daemon) const {
    return Daemons.at(Daemon).Address;
  }
  const std::string &peerAddress(std::size_t Daemon) const {
    return Daemons.at(Daemon).PeerAddress;
  }
  pid_t pid(std::size_t Daemon) const { return Daemons.at(Daemon).Pid; }
  /// Waits until the daemon exits. Returns its exit code, or the negated number
  /// of the signal that ended it.
  int waitForExit(std::size_t Daemon);
  /// Kills the daemon with SIGKILL and waits until it has exited.
  void killDaemon(std::size_t Daemon);
  /// Waits for an owner of the only shard and returns the daemon's index.
  std::size_t shardOwner();

  HttpResult call(std::size_t Daemon, const std::string &Method,
                  const std::string &Path, const std::string &Body,
                  const std::string &Key) const;

  /// Proposes \p Changes as the first owner and signs them as the second one,
  /// both through the first daemon in \p Spread. Then waits until every daemon
  /// in \p Spread uses the new configuration.
  void change(const std::vector<ConfigChange> &Changes,
              const std::vector<std::size_t> &Spread);
  std::string propose(std::size_t Daemon, std::uint64_t Base,
                      const std::vector<ConfigChange> &Changes,
                      const std::string &Key) const;
  std::uint64_t configVersion(std::size_t Daemon) const;

  /// Configures team "koksne" with the key teamKey() and the upstream
  /// "planning", and waits until every daemon serves its requests.
  void addTeam(const TeamLimit &Limit = {{1'000'000, 1'000'000, 0}, 100});

  RequestResult request(std::size_t Daemon, const std::string &Body,
                        bool Idempotent = false, int DeadlineMs = 1500) const;

  /// Repeats the same submission until it is accepted; returns the run's ID.
  RunId submit(std::size_t Daemon, const RunSpec &Spec) const;
  std::optional<RunView> view(std::size_t Daemon, const RunId &Run) const;
  /// Polls \p Daemon until the run is in \p State.
  void awaitRun(std::size_t Daemon, const RunId &Run, RunState State) const;

  /// Sets fault switches of a stand-in.
  void fault(const nlohmann::json &Switches);
  nlohmann::json counts() const;
  /// Returns the value of a row of the table service; null if it is missing.
  nlohmann::json row(const std::string &Key) const;
  nlohmann::json state(std::size_t Daemon) const;

  static const std::string &teamKey();
  static const std::string &firstOwnerKey();
  static const std::string &secondOwnerKey();

private:
  struct DaemonProcess {
    std::string Name;
    std::string Address;
    std::string PeerAddress;
    pid_t Pid = 0;
    std::unique_ptr<Relay> Store;
  };

  void start(std::size_t Count);
  void killAll();
  std::string writeSettings(const DaemonProcess &Daemon) const;

  std::unique_ptr<standins::Cell> Cell;
  std::string Folder;
  std::vector<DaemonProcess> Daemons;
  mutable HttpClient Client;
};

/// Polls until \p Condition holds; throws std::runtime_error after 60 s.
void awaitCondition(const std::string &What,
                    const std::function<bool()> &Condition);

/// Number of attempts of a run that workers executed, and how often the most
/// frequent one was executed.
struct Executions {
  std::size_t Attempts = 0;
  std::uint64_t MostPerAttempt = 0;
};
Executions executionsOf(const nlohmann::json &Counts, const RunId &Run);
Executions executionsOf(const Cluster &Target, const RunId &Run);

/// Expects that no task ran in two places at once and that no worker exceeded
/// its capacity.
void expectNoOverlap(const Cluster &Target);

/// Describes a run of \p Tasks tasks that each take \p RunMs.
RunSpec runSpec(const std::string &Key, std::uint32_t Tasks, int RunMs);

} // namespace apricotwing::process

#endif
