/// \file
/// Stand-ins for the workers and the advice service, which also check what the
/// system does with the jobs.
#ifndef APRICOTWING_SOAK_PLATFORM_H
#define APRICOTWING_SOAK_PLATFORM_H

#include "soak/runhistory.h"
#include "soak/workload.h"

#include <fstream>

namespace apricotwing::soak {

/// How long a job may have nothing running although there is room.
inline constexpr std::int64_t MaxStandstillMs = 3000;

enum class WorkerMode {
  Sound,
  FailsRuns, ///< Each run ends as failed at once.
  Unhealthy, ///< Starts are answered with 503 and do nothing.
  Hangs,     ///< Requests get no answer.
};

enum class AdviceMode {
  Sound,
  Slow,   ///< Each call takes six times as long.
  Errors, ///< Answers 503 after 5 ms.
  Silent, ///< Calls get no answer until the mode changes.
};

/// A job that had nothing running although there was room.
struct Standstill {
  std::string Job;
  int Step = 0;
  std::int64_t FromMs = 0, ToMs = 0;
  std::string Detail;
};

/// All workers and the advice service. Thread-safe.
class Platform {
public:
  /// Workers listen at addresses of \p Network ("127.A.B.") from .100 on.
  Platform(Store &Registry, std::string Network, int WorkerPort,
           std::uint64_t Seed, const std::string &RecordFile);
  ~Platform();
  Platform(const Platform &) = delete;
  Platform &operator=(const Platform &) = delete;

  /// Starts the next process of a worker, under the same id. No effect if one
  /// is up.
  void startWorker(int Index);
  /// Ends the process and closes its connections.
  void crashWorker(int Index);
  /// Ends the process and leaves the connections open: the next process carries
  /// out what is sent meanwhile.
  void darkenWorker(int Index);
  /// While a worker is cut off, it works on and nobody reaches it. What is sent
  /// meanwhile arrives afterwards.
  void setCut(int Index, bool IsCut);
  /// That share of the calls is carried out late and not answered.
  void setLateCalls(int Index, double Share);
  void setMode(int Index, WorkerMode Mode);

  /// Serves the calls for advice of one machine.
  void listenForAdvice(int Machine, const std::string &Ip, int Port);
  void setAdvice(int Machine, AdviceMode Mode);

  /// A job that clients are about to hand in.
  void addJob(const JobPlan &Plan);
  void accepted(const std::string &Id);

  /// Writes a line with the time of day to the record.
  void record(const std::string &Text);

  /// Compares all jobs with the room of this moment; to be called about every
  /// 100 ms. Returns the standstills that have begun to count with this call.
  std::vector<Standstill> check();
  std::vector<Standstill> standstills();

  /// Accepted jobs that can still end as completed and have not.
  int openJobs();
  /// Compares the state that a caller was shown with the ends of the runs.
  /// Returns what is wrong with it; empty if nothing is.
  std::string checkState(const std::string &Id, const std::string &State);
  std::vector<std::string> acceptedJobs();
  std::string pathOf(const std::string &Id);
  int accountOf(const std::string &Id);
  /// Counts of starts, ends by kind, refusals and calls for advice.
  std::map<std::string, int> counts();
  /// Starts that broke a rule of the workers.
  std::vector<std::string> wrongStarts();
  /// Tasks that ran twice.
  std::vector<RepeatedTask> repeatedTasks();

private:
  struct TaskTruth {
    bool Done = false;             ///< Such an end was listed.
    std::set<std::int64_t> Failed; ///< Runs; listed.
  };
  struct JobTruth {
    JobPlan Plan;
    bool Accepted = false;
    std::vector<std::vector<TaskTruth>> Steps;
    int Active = 0;
    std::optional<std::int64_t> StandsSince;
    std::optional<std::size_t> Found; ///< Index of its standstill.

    bool isStepDone(std::size_t Step) const;
    bool hasFailed() const;
    /// The step whose turn it is; empty if all are done.
    std::optional<std::size_t> dueStep() const;
  };
  struct Gang {
    std::map<int, int> Members; ///< Worker by index of the task.
    bool Working = false;
  };
  struct ActiveRun {
    JobTruth *Job = nullptr;
    std::size_t Step = 0;
    int Task = 0;
    std::int64_t Run = 0, StartedMs = 0;
    std::int64_t EndsMs = 0; ///< 0 while it waits for its gang.
    bool Fails = false;
    std::size_t Record = 0; ///< In the history.
  };
  struct EndedRun {
    std::int64_t Number;
    std::string Task;
    std::int64_t Run;
    std::string Kind;
    std::size_t Record; ///< In the history.
  };
  struct Worker {
    std::string Id, Ip;
    int Generation = 0; ///< Of the connections.
    int Life = 0;       ///< Processes that have ended.
    bool Alive = false, Cut = false;
    double LateCalls = 0;
    WorkerMode Mode = WorkerMode::Sound;
    double Speed = 1, ClockRate = 1;
    std::int64_t Born = 0, BornAtMs = 0;
    std::string Row; ///< Of the registry.
    bool Listed = false;
    std::int64_t SilentSinceMs = 0, ReportsAtMs = 0;
    std::int64_t Fence = 0, DeadlineMs = 0, LastEnd = 0;
    std::map<std::string, ActiveRun> Running;
    std::map<std::string, std::int64_t> Highest; ///< Run stopped or ended.
    std::vector<EndedRun> Ends;
    std::int64_t Cpu = 0, Memory = 0;
    std::condition_variable Changed;
    std::unique_ptr<Server> Listener;

    bool isReachable() const { return Alive && !Cut; }
    std::int64_t clock() const {
      return std::int64_t(ClockRate * double(nowMs() - BornAtMs));
    }
  };
  struct AdviceQueue {
    AdviceMode Mode = AdviceMode::Sound;
    int Waiting = 0;
    std::int64_t NextTurn = 0, Served = 0;
    std::unique_ptr<Server> Listener;
  };

  std::int64_t drawMs(std::int64_t Least, std::int64_t Most);
  bool drawChance(double Probability);
  void endProcess(int Index);
  void updateRegistry(Worker &Host);
  Response serve(int Index, int Generation, const Request &Incoming);
  Response carryOut(int Index, const Request &Incoming, Delivery How,
                    std::unique_lock<std::mutex> &Lock);
  Response start(int Index, const Json &Body, Delivery How);
  Response stop(int Index, const Json &Body);
  Response hold(int Index, const Json &Body,
                std::unique_lock<std::mutex> &Lock);
  Response advise(int Machine, const Request &Incoming);
  Json decide(const std::string &Step, const Json &Ids);
  bool isTicketValid(const std::string &Ticket, const Worker &Host,
                     const JobTruth &Job, std::size_t Step);
  bool isApproved(const JobTruth &Job, std::size_t Step,
                  const Worker &Host) const;
  void joinGang(Worker &Host, ActiveRun &Run, const std::string &Task);
  void beginWork(Worker &Host, ActiveRun &Run);
  void finish(int Index, const std::string &Task, const std::string &Kind);
  void removeRun(Worker &Host, const ActiveRun &Run);
  void leaveGang(const ActiveRun &Run, bool Done);
  TaskTruth &truthOf(const std::string &Task);
  void acknowledge(Worker &Host, std::int64_t Cursor);
  void tick();
  void tickWorker(int Index);
  bool hasRoom(const JobTruth &Job, std::size_t Step, std::string &Detail);
  void writeRecord(const std::string &Text);

  Store &Registry;
  const std::string Network;
  const int WorkerPort;
  const std::uint64_t Seed;
  std::mutex Lifetimes; ///< Of the workers; locked before Mutex.
  std::mutex Mutex;
  std::ofstream Record;
  std::mt19937_64 Draw;
  RunHistory History;
  std::array<Worker, WorkerCount> Workers;
  std::map<int, AdviceQueue> Advice;
  std::condition_variable AdviceChanged;
  std::map<std::string, std::unique_ptr<JobTruth>> Jobs;
  std::map<std::string, Gang> Gangs; ///< By step and run.
  std::array<std::int64_t, AccountCount> AccountCpu{}, AccountMemory{};
  std::int64_t UsedCpu = 0, UsedMemory = 0;
  std::vector<Standstill> Found;
  std::vector<std::string> WrongStarts;
  std::map<std::string, int> Counts;
  std::atomic<bool> Ending = false;
  std::thread Ticker;
};

} // namespace apricotwing::soak

#endif
