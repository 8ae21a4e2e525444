/// \file
/// Real daemons against the stand-ins, for the process tests.
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

/// Answer to an interactive request as its caller sees it.
struct RequestResult {
  int Status = 0;      ///< 0: no answer.
  std::string Outcome; ///< "done", "not_run", "unknown" or empty.
  std::string Body;
};

/// Stand-ins in this process and daemons as child processes. Ends everything
/// that it started. All addresses are on 127.0.0.1.
class Cluster {
public:
  /// Starts \p Daemons daemons; returns when all are ready and know each
  /// other, so that any of them may sign.
  explicit Cluster(std::size_t Daemons,
                   const standins::CellOptions &Options = {});
  ~Cluster();

  standins::Cell &cell() { return *Cell; }
  Relay &storeRelay(std::size_t Daemon) { return *Daemons.at(Daemon).Store; }

  /// Starts another daemon without waiting for it; returns its index.
  std::size_t startDaemon();
  void signalDaemon(std::size_t Daemon, int Signal) const;
  /// Waits for the end and returns the exit code, or minus the signal.
  int waitForExit(std::size_t Daemon);
  /// Ends the daemon with SIGKILL and waits for its end.
  void killDaemon(std::size_t Daemon);
  /// Index of the daemon that schedules the only shard.
  std::size_t shardOwner();

  HttpResult call(std::size_t Daemon, const std::string &Method,
                  const std::string &Path, const std::string &Body,
                  const std::string &Key) const;

  /// Proposes as the first owner and signs as the second one, through any
  /// daemon that can; then waits until every daemon in \p Spread uses it.
  void change(const std::vector<ConfigChange> &Changes,
              const std::vector<std::size_t> &Spread);
  std::string propose(std::size_t Daemon, std::uint64_t Base,
                      const std::vector<ConfigChange> &Changes,
                      const std::string &Key) const;
  std::uint64_t configVersion(std::size_t Daemon) const;

  /// Sets up team "koksne" with the key teamKey() and the upstream.
  void addTeam(const TeamLimit &Limit = {{1'000'000, 1'000'000, 0}, 100});

  RequestResult request(std::size_t Daemon, const std::string &Body,
                        bool Idempotent = false, int DeadlineMs = 1500) const;

  /// Sends the same submission until it is accepted and returns the run.
  RunId submit(std::size_t Daemon, const RunSpec &Spec) const;
  std::optional<RunView> view(std::size_t Daemon, const RunId &Run) const;
  /// Waits until the run is in \p State, asking \p Daemon.
  void awaitRun(std::size_t Daemon, const RunId &Run, RunState State) const;

  /// Sets fault switches of a stand-in.
  void fault(const nlohmann::json &Switches);
  nlohmann::json counts() const;
  /// Value of a row of the table service; null if there is no such row.
  nlohmann::json row(const std::string &Key) const;
  nlohmann::json state(std::size_t Daemon) const;

  static const std::string &teamKey();
  static const std::string &firstOwnerKey();
  static const std::string &secondOwnerKey();

private:
  struct DaemonProcess {
    std::string Name;
    std::string Address;
    pid_t Pid = 0;
    std::unique_ptr<Relay> Store;
  };

  void start(std::size_t Count);
  void killAll();
  std::string writeSettings(const DaemonProcess &Daemon,
                            const std::string &PeerAddress) const;

  std::unique_ptr<standins::Cell> Cell;
  std::string Folder;
  std::vector<DaemonProcess> Daemons;
  mutable HttpClient Client;
};

/// Waits until \p Condition holds; fails the test after a generous time.
void awaitCondition(const std::string &What,
                    const std::function<bool()> &Condition);

/// Attempts that workers executed of a run, and the highest count of one.
struct Executions {
  std::size_t Attempts = 0;
  std::uint64_t MostPerAttempt = 0;
};
Executions executionsOf(const nlohmann::json &Counts, const RunId &Run);
Executions executionsOf(const Cluster &Target, const RunId &Run);

/// Expects that no task ran in two places and no worker was overfilled.
void expectNoOverlap(const Cluster &Target);

/// A run of \p Tasks tasks that each take \p RunMs.
RunSpec runSpec(const std::string &Key, std::uint32_t Tasks, int RunMs);

} // namespace apricotwing::process

#endif
