/// \file
/// A whole cell on the emulated platform, in virtual time.
#ifndef APRICOTWING_TESTS_EMULATOR_EMULATEDCELL_H
#define APRICOTWING_TESTS_EMULATOR_EMULATEDCELL_H

#include "cell/node.h"
#include "emulatedstore.h"
#include "emulatedworkers.h"
#include "virtualtime.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace apricotwing::emulator {

/// What the callers of a cell know of one job.
struct JobRecord {
  jobs::JobSpec Spec;
  bool Accepted = false;   ///< Some call was answered so.
  bool Unresolved = false; ///< Some call had no clear answer.
  bool Cancelled = false;  ///< A cancellation was acknowledged.
  jobs::JobView View = jobs::JobView::Unknown; ///< The last one told.
};

/// Entry instances that run the real Node code on an emulated store, workers,
/// advice service and network. A test starts, kills, freezes and cuts
/// instances while callers hand in jobs. Not thread-safe.
class EmulatedCell {
public:
  explicit EmulatedCell(std::uint64_t Seed, int Instances = 3,
                        int WorkerCount = 6);

  /// The same with instances of the given shares of a core; all of them are
  /// named "n" and their place in the list.
  EmulatedCell(std::uint64_t Seed, const std::vector<double> &CpuShares,
               int WorkerCount);
  ~EmulatedCell();

  VirtualTime &time() { return Time; }
  EmulatedStore &store() { return Store; }
  EmulatedWorkers &workers() { return Workers; }

  /// Lets \p Length pass.
  void run(Duration Length);

  /// Starts the process of an instance; nothing happens if it runs.
  void start(const std::string &Name);

  /// Ends the process of an instance without notice.
  void kill(const std::string &Name);

  /// Stops and resumes an instance; meanwhile its answers queue up.
  void freeze(const std::string &Name);
  void thaw(const std::string &Name);

  /// Cuts an instance from all others, or heals that.
  void cut(const std::string &Name) { CutInstances.insert(Name); }
  void heal(const std::string &Name) { CutInstances.erase(Name); }

  /// Names of all instances.
  std::vector<std::string> names() const;

  /// Name of the instance that leads; empty if there is none or more than one
  /// believes so.
  std::string leader() const;

  /// True if the process of an instance runs and is not frozen.
  bool isRunning(const std::string &Name) const {
    return Instances.at(Name).Node && !Instances.at(Name).Frozen;
  }

  /// The node of a running instance.
  cell::Node &node(const std::string &Name) { return *Instances.at(Name).Node; }

  /// Publishes the policy, with \p Version.
  void putPolicy(std::int64_t Version);

  /// Replaces the queues of the policy and publishes it with \p Version.
  void putQueues(std::vector<jobs::Queue> Queues, std::int64_t Version);

  /// Hands in a job of one step at an instance; returns its id. The runs of a
  /// job whose payload is "fails" fail.
  std::string submit(const std::string &Instance, jobs::StepSpec Step,
                     const std::string &Queue = "/batch/",
                     const std::string &Payload = "");

  /// Hands a known job in again.
  void submitAgain(const std::string &Instance, const std::string &Id);

  /// Asks for a job's state, or cancels it.
  void read(const std::string &Instance, const std::string &Id);
  void cancel(const std::string &Instance, const std::string &Id);

  const std::map<std::string, JobRecord> &jobs() const { return Records; }

  /// Answers by status.
  const std::map<cell::ClientStatus, int> &answers() const { return Answers; }

private:
  class Network;
  class TraceLog;
  struct Instance {
    std::unique_ptr<EmulatedStore::Handle> Store;
    std::unique_ptr<EmulatedWorkers::Handle> Workers;
    std::unique_ptr<EmulatedAdvice> Advice;
    std::unique_ptr<Network> Peers;
    std::unique_ptr<cell::Node> Node;
    double CpuShare = 1;
    bool Frozen = false;
    int Starts = 0;
  };

  void pump(const std::string &Name, int Start);
  void call(const std::string &Instance, const std::string &Id,
            cell::ClientVerb Verb);
  void publishWorkers();

  VirtualTime Time;
  EmulatedStore Store;
  EmulatedWorkers Workers;
  std::vector<jobs::Queue> Queues;
  std::unique_ptr<cell::PlatformRecords> RowCodec;
  std::unique_ptr<cell::WallClock> WallTime;
  std::unique_ptr<TraceLog> Log;
  std::map<std::string, Instance> Instances;
  std::set<std::string> CutInstances;
  std::map<std::string, JobRecord> Records;
  std::map<std::string, std::string> QueueOf;
  std::map<cell::ClientStatus, int> Answers;
  std::uint64_t LastId = 0;
};

/// A step of \p Count tasks that each take \p Work.
jobs::StepSpec stepOf(int Count, Duration Work, bool Gang = false);

} // namespace apricotwing::emulator

#endif
