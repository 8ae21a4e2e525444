/// \file
/// A small deployment of the project's own processes on loopback addresses,
/// with the stand-ins around them.
#ifndef REVIEW_STANDIN_CELL_H
#define REVIEW_STANDIN_CELL_H

#include "platform.h"

#include <sys/types.h>

#include <array>

namespace review {

/// Three entry instances, a store and executors. All entries share the ports
/// and differ in their loopback address, as the machines of a day do.
class Cell {
public:
  /// \p Program is the word of the line `run` of the deploy file. Settings and
  /// logs go into \p Folder. All ends by itself after 115 s.
  Cell(std::string Program, const std::string &Folder,
       const std::string &RecordFile);
  ~Cell();

  /// Writes a desired state; \p Routes are added to the plain fields.
  void configure(const json &Routes);
  static json route(const std::string &Name, const std::string &Service,
                    int MaxAttempts = 3);

  Executor &addExecutor(const std::string &Id, const std::string &Service,
                        std::int64_t Cpu = 32'000);
  /// Ends the process of an executor / starts one with the same id and address.
  void killExecutor(const std::string &Id);
  void restartExecutor(const std::string &Id);
  /// Lets the run of a task end as failed.
  void fail(const std::string &Task);

  /// Starts all entries and waits until they say that they are ready.
  bool startEntries(int Wanted = 3);
  void killEntry(int Index);
  void startEntry(int Index);
  /// Freezes the process of an entry, or lets it go on.
  void freeze(int Index, bool Frozen);
  /// Index of the entry whose process wrote last to the store under a
  /// condition; -1 if there is none.
  int leader();
  bool isReady(int Index);

  /// A call of a client at an entry. The client waits for DeadlineMs, or
  /// leaves after LeavesMs.
  Response client(int Index, const std::string &Method, const std::string &Path,
                  const json &Body, int DeadlineMs = 3000, int LeavesMs = 0);
  /// Submits a job as the clients of PROTOCOL.md do: again, at the next entry,
  /// after no answer, 502 or 504. Returns true if it was accepted.
  bool submit(const std::string &Path, const json &Job);
  /// The state that the first entry with an answer shows; "410" or "" if there
  /// is none.
  std::string state(const std::string &Path);

  Store &store() { return *PlatformStore; }
  Recorder &record() { return Log; }
  int entries() const { return Count; }
  /// Total number of tasks that run on executors.
  std::size_t running();

private:
  std::string ipOf(int Index) const;

  const std::string Program, Folder;
  Recorder Log;
  int ClientPort, ReadyPort, ControlPort, PeerPort, StorePort, ExecutorPort;
  std::unique_ptr<Store> PlatformStore;
  std::map<std::string, Executor::Settings> Known;
  std::map<std::string, std::unique_ptr<Executor>> Executors;
  std::array<std::atomic<pid_t>, 6> Pids{};
  int Count = 3;
  int Version = 0;
  std::atomic<bool> Ending = false;
  std::thread Watchdog;
};

/// Returns a finding per task that ran twice, as the rule TWICE says.
std::vector<std::string> ranTwice(const std::vector<Recorder::Run> &Runs);

} // namespace review

#endif
