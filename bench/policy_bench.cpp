/// \file
/// Compares the scheduler with two baselines on one fixed workload:
/// first-in first-out with first fit, and fair share without preemption and
/// backfill.
#include "policysimulation.h"

#include <cstdio>
#include <cstdlib>
#include <deque>
#include <iterator>
#include <list>
#include <optional>

namespace apricotwing::bench {
namespace {

constexpr TimePoint Begin{Duration{1'000'000}};
constexpr Duration Arrivals{2 * 3'600'000};
constexpr TimePoint End = Begin + Duration{3 * 3'600'000};
constexpr Resources NoLimit{100'000'000, 1'000'000'000, 100'000};

std::map<TeamName, std::uint32_t> sharesOf(const ClusterSize &Size) {
  std::map<TeamName, std::uint32_t> Shares;
  for (std::uint32_t Team = 0; Team < Size.Teams; ++Team)
    Shares[teamAt(Team)] = 1 + Team % 3;
  return Shares;
}

/// Services of every team at the start, a steady stream of batch runs, gangs
/// and urgent runs, and two waves of one team that alone fill the cluster.
class JobList {
public:
  JobList(const ClusterSize &Size, std::uint32_t Seed)
      : Size(Size), Chance(Seed) {
    for (std::uint32_t Team = 0; Team < Size.Teams; ++Team)
      add(Duration{0}, Team, RunKind::Service, 10, {2'000, 4'096, 0},
          Arrivals * 4);
    for (std::int64_t Second = 0; Second < Arrivals.count() / 1000; ++Second)
      addSecond(Second);
    std::ranges::stable_sort(Jobs, {}, &Job::Arrival);
  }

  const std::vector<Job> &jobs() const { return Jobs; }

private:
  std::int64_t between(std::int64_t Least, std::int64_t Most) {
    return Least + std::int64_t(Chance() % std::uint64_t(Most - Least + 1));
  }

  /// Returns mostly short run times, with a tail of up to half an hour.
  Duration length() {
    const std::int64_t Base = between(20, 300);
    return Duration((Chance() % 10 == 0 ? Base * 6 : Base) * 1000);
  }

  void addSecond(std::int64_t Second) {
    const Duration At(Second * 1000);
    const auto Team = std::uint32_t(between(1, Size.Teams - 1));
    const Resources Small{1000 * between(1, 4), 1024 * between(1, 8), 0};
    if (Second % 5 == 0)
      add(At, Team, RunKind::Batch, std::uint32_t(between(1, 32)), Small,
          length());
    if (Second % 120 == 60)
      add(At, Team, RunKind::Gang, std::uint32_t(between(8, 24)),
          {16'000, 16'384, 0}, Duration(between(120, 400) * 1000));
    if (Second % 30 == 15)
      add(At, Team, RunKind::Batch, std::uint32_t(between(1, 4)),
          {2'000, 4'096, 0}, Duration{60'000}, Priority::Urgent);
    if (Second == 600 || Second == 3'600)
      for (int Run = 0; Run < 30; ++Run)
        add(At, 0, RunKind::Batch, 100, {2'000, 4'096, 0},
            Duration(between(300, 900) * 1000));
  }

  void add(Duration At, std::uint32_t Team, RunKind Kind, std::uint32_t Tasks,
           const Resources &Need, Duration Length,
           Priority Urgency = Priority::Normal) {
    Job New;
    New.Arrival = Begin + At;
    New.Length = Length;
    New.Run.Id = "run-" + std::to_string(Jobs.size());
    New.Run.Team = teamAt(Team);
    New.Run.Spec.Kind = Kind;
    New.Run.Spec.Tasks = Tasks;
    New.Run.Spec.PerTask = Need;
    New.Run.Spec.Urgency = Urgency;
    New.IsWave = Team == 0 && Kind == RunKind::Batch;
    New.Run.Spec.Checkpointable = Chance() % 2 == 0;
    // Declared run times are off by a factor of up to three.
    New.Run.Spec.EstimateSeconds = std::uint32_t(std::max<std::int64_t>(
        1, Length.count() / 1000 * between(33, 300) / 100));
    Jobs.push_back(New);
  }

  ClusterSize Size;
  std::mt19937 Chance;
  std::vector<Job> Jobs;
};

/// The scheduler under test.
class ShardPolicy : public Policy {
public:
  explicit ShardPolicy(const ClusterSize &Size) : Scheduler("shard") {
    Scheduler.setWorkers(workersOf(Size));
    Config Document;
    std::map<TeamName, Resources> Grants;
    for (const auto &[Team, Share] : sharesOf(Size)) {
      Document.Teams[Team] = {Share, {NoLimit, 0}};
      Grants[Team] = NoLimit;
    }
    Scheduler.setTeams(Document);
    Scheduler.setGrants(Grants);
    for (const WorkerView &View : workersOf(Size))
      Scheduler.handleReport(View.Id, {}, Begin);
  }

  const char *name() const override { return "this scheduler"; }

  void submit(const RunRecord &Run, TimePoint /*Now*/) override {
    Scheduler.admit(Run);
  }

  void ended(const AttemptId &Id, bool WasStopped, TimePoint Now) override {
    const WorkerId Worker = Places.at(Id);
    std::vector<TaskReport> Reports;
    for (const AttemptId &Other : Scheduler.attemptsOn(Worker))
      Reports.push_back({Other, TaskState::Running, 0, {}});
    const auto Ended = std::ranges::find(Reports, Id, &TaskReport::Id);
    Ended->State = WasStopped ? TaskState::Cancelled : TaskState::Succeeded;
    Scheduler.handleReport(Worker, Reports, Now);
    Places.erase(Id);
  }

  PolicyDecision tick(TimePoint Now) override {
    const Decisions Made = Scheduler.tick(Now);
    PolicyDecision Result;
    for (const StartCommand &One : Made.Starts)
      if (Places.emplace(One.Id, One.Worker).second)
        Result.Starts.push_back({One.Id, One.Worker});
    for (const StopCommand &One : Made.Stops)
      Result.Stops.push_back(One.Id);
    return Result;
  }

  bool isReserving() const override {
    return !Scheduler.stats().ReservedFor.empty();
  }

private:
  ShardScheduler Scheduler;
  std::map<AttemptId, WorkerId> Places;
};

/// Free capacity of the workers, shared by the baselines.
class FirstFitPool {
public:
  explicit FirstFitPool(const ClusterSize &Size) : Views(workersOf(Size)) {
    for (const WorkerView &View : Views)
      Free.push_back(View.Capacity);
  }

  /// Places \p Count tasks or none. With \p Best, each goes to the worker that
  /// has the fewest processors left afterwards, otherwise to the first that
  /// fits.
  bool place(const Resources &Need, std::uint32_t Count, bool Best,
             std::vector<std::size_t> &Chosen) {
    Chosen.clear();
    for (std::uint32_t Task = 0; Task < Count; ++Task) {
      const std::optional<std::size_t> Found = find(Need, Best);
      if (!Found) {
        for (const std::size_t Worker : Chosen)
          Free[Worker] += Need;
        return false;
      }
      Free[*Found] -= Need;
      Chosen.push_back(*Found);
    }
    return true;
  }

  void release(std::size_t Worker, const Resources &Need) {
    Free[Worker] += Need;
  }

  const WorkerId &id(std::size_t Worker) const { return Views[Worker].Id; }

  Resources total() const {
    Resources Sum;
    for (const WorkerView &View : Views)
      Sum += View.Capacity;
    return Sum;
  }

private:
  std::optional<std::size_t> find(const Resources &Need, bool Best) const {
    std::optional<std::size_t> Found;
    for (std::size_t Worker = 0; Worker < Free.size(); ++Worker) {
      if (!Need.fitsIn(Free[Worker]))
        continue;
      if (!Best)
        return Worker;
      if (!Found || Free[Worker].CpuMillis < Free[*Found].CpuMillis)
        Found = Worker;
    }
    return Found;
  }

  std::vector<WorkerView> Views;
  std::vector<Resources> Free;
};

/// Base of both baselines: keeps the runs with pending tasks and places tasks.
class BaselinePolicy : public Policy {
public:
  explicit BaselinePolicy(const ClusterSize &Size) : Pool(Size) {}

  void ended(const AttemptId &Id, bool /*WasStopped*/,
             TimePoint /*Now*/) override {
    const auto Found = Places.find(Id);
    Pool.release(Found->second.Worker, Found->second.Need);
    released(Found->second.Team, Found->second.Need);
    Places.erase(Found);
  }

protected:
  struct Waiting {
    RunRecord Run;
    std::uint32_t Next = 0;

    bool isDone() const { return Next == Run.Spec.Tasks; }
  };

  virtual void released(const TeamName & /*Team*/, const Resources & /*Need*/) {
  }

  /// Starts the next task, or all tasks of a gang; returns false if they do not
  /// fit.
  bool startNext(Waiting &Entry, bool Best, PolicyDecision &Made) {
    const RunSpec &Spec = Entry.Run.Spec;
    const std::uint32_t Count = Spec.Kind == RunKind::Gang ? Spec.Tasks : 1;
    std::vector<std::size_t> Chosen;
    if (!Pool.place(Spec.PerTask, Count, Best, Chosen))
      return false;
    for (const std::size_t Worker : Chosen) {
      const AttemptId Id{{Entry.Run.Id, Entry.Next++}, 1};
      Places[Id] = {Worker, Spec.PerTask, Entry.Run.Team};
      Made.Starts.push_back({Id, Pool.id(Worker)});
    }
    return true;
  }

  FirstFitPool Pool;

private:
  struct Place {
    std::size_t Worker = 0;
    Resources Need;
    TeamName Team;
  };
  std::map<AttemptId, Place> Places;
};

/// Uses one queue. Starts whatever fits in order of arrival, so that a run that
/// does not fit does not block the runs behind it.
class FifoFirstFit : public BaselinePolicy {
public:
  using BaselinePolicy::BaselinePolicy;

  const char *name() const override { return "FIFO, first fit"; }

  void submit(const RunRecord &Run, TimePoint /*Now*/) override {
    Queue.push_back({Run});
  }

  PolicyDecision tick(TimePoint /*Now*/) override {
    PolicyDecision Made;
    for (Waiting &Entry : Queue)
      while (!Entry.isDone() && startNext(Entry, false, Made)) {
      }
    std::erase_if(Queue, [](const Waiting &Entry) { return Entry.isDone(); });
    return Made;
  }

private:
  std::list<Waiting> Queue;
};

/// Selects the team with the lowest usage relative to its share, urgent runs
/// first. If the first run of a team does not fit, it blocks the team.
class PlainFairShare : public BaselinePolicy {
public:
  explicit PlainFairShare(const ClusterSize &Size)
      : BaselinePolicy(Size), Shares(sharesOf(Size)), Total(Pool.total()) {}

  const char *name() const override {
    return "fair share, no preemption or backfill";
  }

  void submit(const RunRecord &Run, TimePoint /*Now*/) override {
    std::deque<Waiting> &Queue = Queues[Run.Team];
    if (Run.Spec.Urgency == Priority::Normal)
      Queue.push_back({Run});
    else
      Queue.push_front({Run});
  }

  PolicyDecision tick(TimePoint /*Now*/) override {
    PolicyDecision Made;
    std::map<TeamName, bool> Blocked;
    for (std::string Team = next(Blocked); !Team.empty();
         Team = next(Blocked)) {
      std::deque<Waiting> &Queue = Queues[Team];
      const std::size_t Before = Made.Starts.size();
      if (!startNext(Queue.front(), true, Made)) {
        Blocked[Team] = true;
        continue;
      }
      Used[Team] += Queue.front().Run.Spec.PerTask *
                    std::int64_t(Made.Starts.size() - Before);
      if (Queue.front().isDone())
        Queue.pop_front();
    }
    return Made;
  }

private:
  void released(const TeamName &Team, const Resources &Need) override {
    Used[Team] -= Need;
  }

  TeamName next(const std::map<TeamName, bool> &Blocked) {
    TeamName Best;
    double BestRank = 0;
    for (const auto &[Team, Share] : Shares) {
      if (Queues[Team].empty() || Blocked.contains(Team))
        continue;
      const double Rank = Used[Team].dominantFraction(Total) / Share;
      if (!Best.empty() && Rank >= BestRank)
        continue;
      Best = Team;
      BestRank = Rank;
    }
    return Best;
  }

  std::map<TeamName, std::uint32_t> Shares;
  Resources Total;
  std::map<TeamName, std::deque<Waiting>> Queues;
  std::map<TeamName, Resources> Used;
};

double quantile(std::vector<double> Values, double Fraction) {
  if (Values.empty())
    return 0;
  std::ranges::sort(Values);
  return Values[std::size_t(Fraction * double(Values.size() - 1))];
}

void print(const Policy &Chosen, const PolicyResult &Result) {
  std::printf("%s\n", Chosen.name());
  std::vector<double> All;
  for (const auto &[Class, Waits] : Result.WaitsSeconds) {
    std::printf("  wait %-8s p50 %8.1f s  p99 %8.1f s  (%zu starts)\n",
                Class.c_str(), quantile(Waits, 0.5), quantile(Waits, 0.99),
                Waits.size());
    All.insert(All.end(), Waits.begin(), Waits.end());
  }
  double Sum = 0;
  for (const double Wait : All)
    Sum += Wait;
  std::printf("  wait all      p50 %8.1f s  p99 %8.1f s  mean %.1f s\n",
              quantile(All, 0.5), quantile(All, 0.99),
              Sum / double(All.size()));
  std::printf("  packing %.3f, distance from share %.4f, preemptions %zu\n",
              Result.Packing, Result.Distance, Result.Preemptions);
  std::printf("  lost processor time: beside a reservation %.4f, without one "
              "%.4f, unfitting %.4f, thrown away %.4f\n",
              Result.Lost.Reserved, Result.Lost.Usable, Result.Lost.Unfitting,
              Result.Lost.ThrownAway);
}

void compare(std::uint32_t Seed) {
  const JobList List(Today, Seed);
  ShardPolicy Ours(Today);
  FifoFirstFit Fifo(Today);
  PlainFairShare Fair(Today);
  for (Policy *Chosen : std::initializer_list<Policy *>{&Ours, &Fifo, &Fair}) {
    PolicySimulation Simulation(Today, List.jobs(), sharesOf(Today));
    print(*Chosen, Simulation.run(*Chosen, Begin, End));
  }
}

} // namespace
} // namespace apricotwing::bench

/// Takes the seed of the workload as an optional argument.
int main(int Count, char **Arguments) {
  constexpr std::uint32_t DefaultSeed = 7;
  apricotwing::bench::compare(
      Count > 1 ? std::uint32_t(std::strtoul(Arguments[1], nullptr, 10))
                : DefaultSeed);
  return 0;
}
