/// \file
/// A small deployment of real entry processes among stand-ins; see cell.cpp.
#ifndef APRICOTWING_REVIEW_CELL_H
#define APRICOTWING_REVIEW_CELL_H

#include "soak/store.h"

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review {

namespace soak = apricotwing::soak;
using soak::Json;
using soak::Request;
using soak::Response;
using soak::Server;

struct Options {
  int Entries = 3;
  int Executors = 12;
  std::int64_t ExecutorCpu = 32'000;
  std::string Folder = ".";
};

struct Queue {
  std::string Name;
  int Priority = 1, TargetMs = 1000, MaxAttempts = 4;
  double SlackFactor = 2.2;
  double AdviceMs = 0, AdvicePerWorkerMs = 0; ///< AdviceMs 0: no advice.
  std::int64_t AdviceValidMs = 2000;
};

struct Job {
  std::string Id, Queue, Key;
  std::int64_t Cpu = 1000; ///< Of a task.
  std::int64_t WorkMs = 0; ///< 0: lasts.
  int GangSize = 0;        ///< 0: no gang.
};

/// Returns a job id.
std::string newId(std::uint64_t Number);

class Cell {
public:
  explicit Cell(Options Chosen);
  ~Cell();

  void note(const std::string &Text);

  void start(int Index);
  void kill(int Index);
  bool awaitReady(std::int64_t TimeoutMs);
  /// Entry that wrote the leader's row last; -1 if there is none.
  int leader();
  std::string entryName(int Index) const;

  /// Writes the desired state.
  void configure(const std::vector<Queue> &Given);
  /// Hands a job in, as a client does; returns the last status.
  int submit(const Job &Given, const Json &Steps);
  /// State that a client is shown, or the status if it is not 200.
  std::string state(const Job &Given);

  void startExecutor(int Index);
  /// The process ends; its address refuses connections.
  void crashExecutor(int Index);
  /// The executor is gone; nothing answers, connections stay open.
  void darkenExecutor(int Index);
  /// Number of waiting jobs that a client is told; -1 without an answer.
  int pending(const std::string &Queue, const std::string &Key);
  /// Whether a task of the job has started on an executor.
  bool hasBegun(const std::string &Id);
  /// The next start order to the executor gets no answer and is carried out
  /// that much later.
  void holdNextStart(int Index, std::int64_t Ms);
  bool isStartHeld(int Index);
  /// While an executor is cut off it works on, and nobody reaches it.
  void setCut(int Index, bool IsCut);
  /// The process of an executor that is cut off ends, and the next one starts.
  void restartBehindCut(int Index, std::int64_t DownMs);
  /// Executors that run the task now.
  int runsAtOnce(const std::string &Task);
  /// Ends the run of a task as failed.
  void failRun(const std::string &Task);

  bool isRunning(const std::string &Task);
  int executorOf(const std::string &Task);
  int failedEnds(const std::string &Id);
  /// Tasks with that much cpu for which there is room now.
  int slotsFor(std::int64_t Cpu);
  std::int64_t usedCpu();
  /// Counts calls for advice on steps of this job.
  void countAsksOf(const std::string &Id) { AsksOf = Id; }
  int asks() const { return Asks; }
  /// Busy share of the advice service for each machine since then; resets it.
  std::string adviceUse(std::int64_t SinceMs);

private:
  struct Active {
    std::int64_t Run = 0, Cpu = 0, EndsAt = 0, AloneAt = 0;
  };
  struct End {
    std::int64_t Number = 0;
    std::string Task;
    std::int64_t Run = 0;
    std::string How;
  };
  struct Executor {
    std::string Id, Ip;
    bool Up = false, Dark = false, Cut = false, Listed = false;
    std::int64_t HoldStartMs = 0;
    std::string HeldTask;
    int Life = 0;
    std::int64_t Born = 0, BornAt = 0, Fence = 0, Deadline = 0, LastEnd = 0;
    std::int64_t ReportAt = 0, SilentSince = 0, Sequence = 0;
    std::map<std::string, Active> Running;
    std::map<std::string, std::int64_t> Highest;
    std::vector<End> Ends;
    std::unique_ptr<Server> Listener;

    std::int64_t clock() const { return soak::nowMs() - BornAt; }
  };
  struct Adviser {
    int Waiting = 0;
    std::int64_t NextTurn = 0, Served = 0, BusyMs = 0;
    std::unique_ptr<Server> Listener;
  };

  Response request(const std::string &Method, const std::string &Path,
                   const std::string &Key, const std::string &Body);
  Response serve(int Index, const Request &In);
  Response carryOut(Executor &One, const Request &In, const Json &Body,
                    std::unique_lock<std::mutex> &Lock);
  Response advise(int Index, const Request &In);
  void tick();
  void endRuns(Executor &One);
  void finish(Executor &One, const std::string &Task, const char *How);
  void leaveGang(const std::string &Task, std::int64_t Run, const char *How);
  void joinGang(const std::string &Task, std::int64_t Run, const Job &Owner);
  std::int64_t used(const Executor &One) const;
  static std::string stepOf(const std::string &Task);
  const Job *jobOf(const std::string &Task) const;
  const Queue *queueOf(const std::string &Name) const;

  const Options Chosen;
  std::string Network, Temporary;
  std::mutex RecordMutex;
  std::ofstream Record;
  std::mutex Mutex;
  std::condition_variable Changed;
  std::atomic<bool> Ending = false;
  soak::Store Store;
  std::vector<pid_t> Pids;
  std::vector<Queue> Queues;
  std::map<std::string, Job> Jobs;
  std::map<std::string, int> FailedEnds, Starts;
  std::atomic<std::uint64_t> NextEntry = 0;
  std::string AsksOf;
  std::atomic<int> Asks = 0;
  std::vector<std::unique_ptr<Adviser>> Advice;
  std::vector<std::unique_ptr<Executor>> Executors;
  std::thread Ticker;
};

} // namespace review

#endif
