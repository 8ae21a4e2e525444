/// \file
/// Creates a cluster of a given size with running tasks, for benchmarks.
#ifndef APRICOTWING_BENCH_SYNTHETICCLUSTER_H
#define APRICOTWING_BENCH_SYNTHETICCLUSTER_H

#include "core/shardscheduler.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace apricotwing::bench {

struct ClusterSize {
  const char *Name;
  std::uint32_t Workers;
  std::uint32_t Accelerators;
  std::uint32_t Tasks;
  std::uint32_t Teams;
  std::uint32_t Zones;
};

constexpr ClusterSize Today{"today", 100, 0, 1'300, 12, 6};
constexpr ClusterSize Middle{"middle", 600, 1'000, 8'000, 40, 8};
constexpr ClusterSize Design{"design", 1'900, 3'400, 25'000, 120, 16};

/// Views of workers with 32 cores, 64 GB and 8 to a rack; two accelerators
/// each on the first workers.
inline std::vector<WorkerView> workersOf(const ClusterSize &Size) {
  std::vector<WorkerView> Views;
  std::uint32_t Left = Size.Accelerators;
  for (std::uint32_t Place = 0; Place < Size.Workers; ++Place) {
    const std::uint32_t Accelerators = std::min(Left, 2U);
    Left -= Accelerators;
    Views.push_back({"worker-" + std::to_string(Place),
                     "zone-" + std::to_string(Place % Size.Zones),
                     "rack-" + std::to_string(Place / Size.Zones / 8),
                     {32'000, 65'536, Accelerators},
                     {{"kind", Place % 4 == 0 ? "large" : "plain"}},
                     false,
                     false});
  }
  return Views;
}

inline TeamName teamAt(std::uint32_t Number) {
  return "team-" + std::to_string(Number);
}

/// One shard with workers and teams; the caller ends and adds tasks.
class SyntheticCluster {
public:
  explicit SyntheticCluster(const ClusterSize &Size,
                            const SchedulerOptions &Options = {})
      : Scheduler("shard", Options), Size(Size) {
    Views = workersOf(Size);
    Scheduler.setWorkers(Views);
    Config Document;
    std::map<TeamName, Resources> Grants;
    for (std::uint32_t Team = 0; Team < Size.Teams; ++Team) {
      Document.Teams[teamAt(Team)] = {1 + Team % 4, {Limit, 0}};
      Grants[teamAt(Team)] = Limit;
    }
    Scheduler.setTeams(Document);
    Scheduler.setGrants(Grants);
    for (const WorkerView &View : Views)
      Scheduler.handleReport(View.Id, {}, Now);
  }

  /// Admits a run of \p Tasks tasks of a random team and size. One in eight
  /// runs that are not gangs requires a label.
  RunId submit(std::uint32_t Tasks, RunKind Kind = RunKind::Batch,
               std::int64_t CpuMillis = 0,
               Priority Urgency = Priority::Normal) {
    RunRecord Run;
    Run.Id = "run-" + std::to_string(++LastRun);
    Run.Team = teamAt(std::uint32_t(Chance()) % Size.Teams);
    Run.Spec.Kind = Kind;
    Run.Spec.Urgency = Urgency;
    Run.Spec.Tasks = Tasks;
    Run.Spec.PerTask = {CpuMillis > 0 ? CpuMillis
                                      : 500 * (1 + std::int64_t(Chance() % 6)),
                        512 * (1 + std::int64_t(Chance() % 8)), 0};
    Run.Spec.EstimateSeconds = 60 + Chance() % 3600;
    Run.Spec.Payload = R"({"run_ms":1000})";
    if (Kind != RunKind::Gang && Chance() % 8 == 0)
      Run.Spec.Selector = {{"kind", "large"}};
    Scheduler.admit(Run);
    return Run.Id;
  }

  /// Fills the shard with the number of tasks for its size, a fifth of them
  /// services.
  void fill() {
    while (Running.size() < Size.Tasks) {
      for (int Run = 0; Run < 50; ++Run)
        submit(2, Run % 5 == 0 ? RunKind::Service : RunKind::Batch);
      tick();
    }
  }

  Decisions tick() {
    Now += Duration(100);
    const auto Begin = std::chrono::steady_clock::now();
    Decisions Made = Scheduler.tick(Now);
    LastTick = std::chrono::steady_clock::now() - Begin;
    for (const StartCommand &Start : Made.Starts)
      Running.push_back(Start.Id), Places[Start.Id] = Start.Worker;
    return Made;
  }

  /// Ends a random running batch task by a report of its worker.
  void endOne() {
    for (bool Ended = false; !Ended;) {
      const std::size_t Position = Chance() % Running.size();
      const AttemptId Id = Running[Position];
      Running[Position] = Running.back();
      Running.pop_back();
      Ended = end(Id, TaskState::Succeeded);
    }
  }

  /// Ends an attempt by a report of its worker; returns false if it has already
  /// ended.
  bool end(const AttemptId &Id, TaskState State) {
    const auto Place = Places.find(Id);
    if (Place == Places.end())
      return false;
    const WorkerId Worker = Place->second;
    Places.erase(Place);
    std::vector<TaskReport> Reports;
    for (const AttemptId &Other : Scheduler.attemptsOn(Worker))
      Reports.push_back(
          {Other, Other == Id ? State : TaskState::Running, 0, {}});
    Scheduler.handleReport(Worker, Reports, Now);
    return true;
  }

  /// Delivers a report from every worker, as each lease renewal does. Returns
  /// the time that processing them took.
  std::chrono::nanoseconds reportAll() {
    std::map<WorkerId, std::vector<TaskReport>> Reports;
    for (const WorkerView &View : Views)
      for (const AttemptId &Id : Scheduler.attemptsOn(View.Id))
        Reports[View.Id].push_back({Id, TaskState::Running, 0, {400, 400, 0}});
    const auto Begin = std::chrono::steady_clock::now();
    for (const auto &[Worker, Tasks] : Reports)
      Scheduler.handleReport(Worker, Tasks, Now);
    return std::chrono::steady_clock::now() - Begin;
  }

  /// Frees this object's own lists, so that the heap usage is the scheduler's.
  void dropRecords() {
    Running = {};
    Places = {};
  }

  /// Returns the duration of the last tick.
  std::chrono::nanoseconds lastTick() const { return LastTick; }

  std::size_t running() const { return Running.size(); }

  ShardScheduler Scheduler;

private:
  static constexpr Resources Limit{100'000'000, 1'000'000'000, 100'000};

  ClusterSize Size;
  std::vector<WorkerView> Views;
  std::mt19937 Chance{42};
  TimePoint Now{Duration{1'000'000}};
  std::uint64_t LastRun = 0;
  std::vector<AttemptId> Running;
  std::map<AttemptId, WorkerId> Places;
  std::chrono::nanoseconds LastTick{0};
};

} // namespace apricotwing::bench

#endif
