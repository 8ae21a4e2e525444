/// \file
/// Simulates a fixed workload on a cluster, for comparing scheduling policies.
#ifndef APRICOTWING_BENCH_POLICYSIMULATION_H
#define APRICOTWING_BENCH_POLICYSIMULATION_H

#include "syntheticcluster.h"

#include <algorithm>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <vector>

namespace apricotwing::bench {

/// One run of the workload with its actual behaviour.
struct Job {
  TimePoint Arrival;
  RunRecord Run;
  Duration Length;     ///< Run time of each task.
  bool IsWave = false; ///< Part of a burst of one team.
};

struct Placement {
  AttemptId Id;
  WorkerId Worker;
};

/// The decisions of a policy in one tick.
struct PolicyDecision {
  std::vector<Placement> Starts;
  std::vector<AttemptId> Stops;
};

/// Interface of a scheduling policy. Not thread-safe.
class Policy {
public:
  virtual ~Policy() = default;
  virtual const char *name() const = 0;
  virtual void submit(const RunRecord &Run, TimePoint Now) = 0;
  /// The attempt ended by itself, or because the policy stopped it.
  virtual void ended(const AttemptId &Id, bool WasStopped, TimePoint Now) = 0;
  virtual PolicyDecision tick(TimePoint Now) = 0;
  /// Returns whether capacity is reserved for one run.
  virtual bool isReserving() const { return false; }
};

/// Processor time of the cluster that was idle while work was pending, and that
/// was spent on work that was lost; each as a fraction of the total.
struct LostTime {
  double Reserved = 0;   ///< A pending task fits, but the capacity is reserved.
  double Usable = 0;     ///< A pending task fits, and nothing is reserved.
  double Unfitting = 0;  ///< Left over on workers where no pending task fits.
  double ThrownAway = 0; ///< Spent by tasks that were stopped and restarted.
};

struct PolicyResult {
  std::map<std::string, std::vector<double>> WaitsSeconds; ///< By class.
  double Packing = 0;  ///< Mean dominant fraction in use while work is pending.
  double Distance = 0; ///< Mean sum of the teams' shortfalls from their share.
  std::size_t Preemptions = 0;
  LostTime Lost;
};

/// Runs \p Jobs under \p Chosen until \p End and measures the usage of the
/// workers.
class PolicySimulation {
public:
  PolicySimulation(const ClusterSize &Cluster, const std::vector<Job> &Jobs,
                   const std::map<TeamName, std::uint32_t> &Shares)
      : Jobs(Jobs), Shares(Shares) {
    for (const WorkerView &View : workersOf(Cluster)) {
      Total += View.Capacity;
      Free[View.Id] = View.Capacity;
    }
    for (std::size_t Position = 0; Position < Jobs.size(); ++Position)
      ById[Jobs[Position].Run.Id] = Position;
  }

  PolicyResult run(Policy &Chosen, TimePoint From, TimePoint End) {
    Begin = From;
    std::size_t Next = 0;
    for (TimePoint Now = Begin; Now < End; Now += Tick) {
      for (; Next < Jobs.size() && Jobs[Next].Arrival <= Now; ++Next)
        arrive(Chosen, Jobs[Next], Now);
      endTasks(Chosen, Now);
      apply(Chosen, Chosen.tick(Now), Now);
      if (Now < Begin + Sampled)
        sample(Chosen.isReserving());
    }
    for (const auto &[Id, Since] : WaitingSince)
      record(Id, End - Since);
    Result.Packing /= std::max(1.0, Samples);
    Result.Distance /= std::max(1.0, Samples);
    for (double *Part : {&Result.Lost.Reserved, &Result.Lost.Usable,
                         &Result.Lost.Unfitting, &Result.Lost.ThrownAway})
      *Part /= std::max(1.0, Samples) * double(Total.CpuMillis);
    return Result;
  }

private:
  struct Active {
    TimePoint Started;
    TimePoint EndsAt;
    WorkerId Worker;
  };
  using Size = std::tuple<std::int64_t, std::int64_t, std::int64_t>;
  struct End {
    TimePoint At;
    AttemptId Id;
    friend bool operator>(const End &Left, const End &Right) {
      return Left.At > Right.At;
    }
  };

  static constexpr Duration Tick{1'000};
  /// Work arrives for this long; afterwards the cluster drains.
  static constexpr Duration Sampled{2 * 3'600'000};

  const Job &jobOf(const TaskId &Id) const { return Jobs[ById.at(Id.Run)]; }

  void arrive(Policy &Chosen, const Job &New, TimePoint Now) {
    for (std::uint32_t Index = 0; Index < New.Run.Spec.Tasks; ++Index)
      WaitingSince[{New.Run.Id, Index}] = New.Arrival;
    Waiting[New.Run.Team] += New.Run.Spec.PerTask * New.Run.Spec.Tasks;
    countWaiting(New.Run.Spec, New.Run.Spec.Tasks);
    Chosen.submit(New.Run, Now);
  }

  static std::string classOf(const Job &Known) {
    if (Known.IsWave)
      return "wave";
    const RunSpec &Spec = Known.Run.Spec;
    return std::string(Spec.Urgency == Priority::Urgent
                           ? priorityName(Spec.Urgency)
                           : runKindName(Spec.Kind));
  }

  void record(const TaskId &Id, Duration Waited) {
    Result.WaitsSeconds[classOf(jobOf(Id))].push_back(double(Waited.count()) /
                                                      1000);
  }

  /// Counts pending single tasks by their size, without gangs.
  void countWaiting(const RunSpec &Spec, std::int64_t Tasks) {
    const Resources &Need = Spec.PerTask;
    if (Spec.Kind != RunKind::Gang)
      WaitingSizes[{Need.CpuMillis, Need.MemoryMib, Need.Accelerators}] +=
          Tasks;
  }

  void leave(const AttemptId &Id) {
    const Job &Known = jobOf(Id.Task);
    Used[Known.Run.Team] -= Known.Run.Spec.PerTask;
    Free[Running.at(Id).Worker] += Known.Run.Spec.PerTask;
    Running.erase(Id);
  }

  void endTasks(Policy &Chosen, TimePoint Now) {
    while (!Ends.empty() && Ends.top().At <= Now) {
      const End Next = Ends.top();
      Ends.pop();
      const auto Found = Running.find(Next.Id);
      if (Found == Running.end() || Found->second.EndsAt != Next.At)
        continue;
      leave(Next.Id);
      Chosen.ended(Next.Id, false, Now);
    }
  }

  void apply(Policy &Chosen, const PolicyDecision &Made, TimePoint Now) {
    for (const AttemptId &Id : Made.Stops)
      stop(Chosen, Id, Now);
    for (const Placement &One : Made.Starts)
      start(One, Now);
  }

  void start(const Placement &Made, TimePoint Now) {
    const AttemptId &Id = Made.Id;
    const Job &Known = jobOf(Id.Task);
    record(Id.Task, Now - WaitingSince.at(Id.Task));
    WaitingSince.erase(Id.Task);
    Waiting[Known.Run.Team] -= Known.Run.Spec.PerTask;
    countWaiting(Known.Run.Spec, -1);
    Used[Known.Run.Team] += Known.Run.Spec.PerTask;
    Free[Made.Worker] -= Known.Run.Spec.PerTask;
    const auto Done = Progress.find(Id.Task);
    const Duration Left =
        Known.Length - (Done == Progress.end() ? Duration{0} : Done->second);
    Running[Id] = {Now, Now + Left, Made.Worker};
    Ends.push({Now + Left, Id});
  }

  /// A stopped task becomes pending again and keeps its progress only if it has
  /// a checkpoint.
  void stop(Policy &Chosen, const AttemptId &Id, TimePoint Now) {
    const auto Found = Running.find(Id);
    if (Found == Running.end())
      return;
    const Job &Known = jobOf(Id.Task);
    if (Known.Run.Spec.Checkpointable)
      Progress[Id.Task] += Now - Found->second.Started;
    else if (Now < Begin + Sampled)
      Result.Lost.ThrownAway += double(Known.Run.Spec.PerTask.CpuMillis) *
                                double((Now - Found->second.Started) / Tick);
    leave(Id);
    ++Result.Preemptions;
    WaitingSince[Id.Task] = Now;
    Waiting[Known.Run.Team] += Known.Run.Spec.PerTask;
    countWaiting(Known.Run.Spec, 1);
    Chosen.ended(Id, true, Now);
  }

  bool fitsWaiting(const Resources &Room) const {
    return std::ranges::any_of(WaitingSizes, [&Room](const auto &One) {
      const auto &[Cpu, Memory, Accelerators] = One.first;
      return One.second > 0 &&
             Resources{Cpu, Memory, Accelerators}.fitsIn(Room);
    });
  }

  void sampleLost(bool IsReserving) {
    for (const auto &[Worker, Room] : Free) {
      double &Part = !fitsWaiting(Room) ? Result.Lost.Unfitting
                     : IsReserving      ? Result.Lost.Reserved
                                        : Result.Lost.Usable;
      Part += double(Room.CpuMillis);
    }
  }

  void sample(bool IsReserving) {
    if (WaitingSince.empty())
      return;
    Samples += 1;
    sampleLost(IsReserving);
    Resources All;
    double Weight = 0;
    for (const auto &[Team, Share] : Shares) {
      All += Used[Team];
      if (Used[Team] + Waiting[Team] != Resources{})
        Weight += Share;
    }
    Result.Packing += All.dominantFraction(Total);
    for (const auto &[Team, Share] : Shares) {
      const double Due =
          std::min(Share / std::max(Weight, 1.0),
                   (Used[Team] + Waiting[Team]).dominantFraction(Total));
      Result.Distance +=
          std::max(0.0, Due - Used[Team].dominantFraction(Total));
    }
  }

  const std::vector<Job> &Jobs;
  TimePoint Begin;
  std::map<TeamName, std::uint32_t> Shares;
  std::map<RunId, std::size_t> ById;
  Resources Total;
  std::map<TaskId, TimePoint> WaitingSince;
  std::map<TaskId, Duration> Progress;
  std::map<AttemptId, Active> Running;
  std::priority_queue<End, std::vector<End>, std::greater<>> Ends;
  std::map<TeamName, Resources> Used;
  std::map<TeamName, Resources> Waiting;
  std::map<Size, std::int64_t> WaitingSizes;
  std::map<WorkerId, Resources> Free;
  PolicyResult Result;
  double Samples = 0;
};

} // namespace apricotwing::bench

#endif
