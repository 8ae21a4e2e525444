/// \file
/// Whether each member of a gang that counts as placed is at work or being
/// stopped, whatever becomes of its start, its stop and its worker. Plays fixed
/// seeds, or those of RC_PARAMS.
#include "jobs/jobschedulertest.h"
#include "support/fixedseeds.h"

#include <iterator>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace apricotwing::jobs {
namespace {

/// Workers that get some of the orders, lose others, restart and go silent.
class UnreliableWorkers : public JobSchedulerTest {
public:
  explicit UnreliableWorkers(std::uint64_t Seed) : Random(Seed) {
    for (int Number = 0; Number < 5; ++Number)
      Hosts["w" + std::to_string(Number)].Incarnation =
          addWorker("w" + std::to_string(Number));
  }

  /// Plays \p Count random events. Returns the first inconsistency.
  std::string play(int Count) {
    for (int Number = 0; Number < Count; ++Number) {
      Now += Duration{between(1, 300)};
      playEvent(between(0, 11));
      const std::string Wrong = findInconsistency();
      if (!Wrong.empty())
        return "event " + std::to_string(Number) + ": " + Wrong;
    }
    return {};
  }

private:
  /// What a worker does, which the scheduler learns from its lists only.
  struct Host {
    WorkerIncarnation Incarnation;
    std::map<std::string, std::int64_t> Running;
    std::vector<EndedRun> Ended; ///< Not reported yet.
    bool IsSilent = false;
  };

  void TestBody() override {}

  int between(int Low, int High) {
    return std::uniform_int_distribution<int>(Low, High)(Random);
  }

  Host &anyHost() {
    return std::next(Hosts.begin(), between(0, int(Hosts.size()) - 1))->second;
  }

  void playEvent(int Kind) {
    Host &Any = anyHost();
    switch (Kind) {
    case 0:
    case 1:
      submit();
      break;
    case 2:
    case 3:
    case 4:
      carryOut(decide());
      break;
    case 5:
    case 6:
      endAnyRun(Any);
      break;
    case 7: // The lists are read again.
      Scheduler.markUnsynced(Any.Incarnation);
      sync(Any);
      break;
    case 8: // A new process under the same id.
      Any.Running.clear();
      Any.Ended.clear();
      Any.IsSilent = false;
      restart(Any);
      break;
    case 9: // The lease expires as far as the leader knows.
      Any.IsSilent = true;
      Scheduler.setReachable(Any.Incarnation, false);
      Scheduler.loseRuns(Any.Incarnation, WorkerLoss::LeaseExpired, Now);
      break;
    case 10:
      for (auto &[Id, Entry] : Hosts)
        if (Entry.IsSilent)
          sync(Entry);
      break;
    default:
      if (!Ids.empty())
        Scheduler.cancel(Ids[std::size_t(between(0, int(Ids.size()) - 1))],
                         Now);
      break;
    }
  }

  void submit() {
    StepSpec Step = step(between(1, 5), std::int64_t(1000) * between(2, 16));
    Step.Gang = between(0, 3) > 0;
    Ids.push_back(addJob("batch", Step));
  }

  void carryOut(const Decisions &Made) {
    for (const StartCommand &Order : Made.Starts) {
      if (!Scheduler.isCurrent(Order) || between(0, 7) == 0) {
        Scheduler.startRefused(Order.Worker, Order.Task, Order.Run,
                               StartRefusal(between(0, 4)), Now);
        continue;
      }
      Scheduler.markDispatched(Order);
      Host &To = Hosts.at(Order.Worker.Id);
      if (between(0, 7) > 0)
        To.Running[Order.Task] = Order.Run;
      else
        sync(To); // The order is lost, and the lists show it.
    }
    for (const StopCommand &Order : Made.Stops) {
      Host &To = Hosts.at(Order.Worker.Id);
      const auto Found = To.Running.find(Order.Task);
      if (between(0, 3) > 0 && Found != To.Running.end() &&
          Found->second == Order.Run)
        endRun(To, Found->first, EndKind::Stopped);
    }
  }

  void endAnyRun(Host &Any) {
    if (Any.Running.empty())
      return;
    const auto Run =
        std::next(Any.Running.begin(), between(0, int(Any.Running.size()) - 1));
    endRun(Any, Run->first,
           between(0, 2) == 0 ? EndKind::Failed : EndKind::Done);
  }

  void endRun(Host &On, const std::string &Task, EndKind Kind) {
    const EndedRun End{++LastEnd, Task, On.Running.at(Task), Kind, ""};
    On.Running.erase(Task);
    if (On.IsSilent || between(0, 2) == 0)
      On.Ended.push_back(End); // Listed later.
    else
      Scheduler.runEnded(On.Incarnation, End, Now);
  }

  void sync(Host &On) {
    On.IsSilent = false;
    std::vector<ActiveRun> Running;
    for (const auto &[Task, Run] : On.Running)
      Running.push_back({Task, Run, "", 0});
    Scheduler.syncWorker(On.Incarnation, Running, std::exchange(On.Ended, {}),
                         Now);
  }

  void restart(Host &On) {
    ++On.Incarnation.StartedUnixMs;
    WorkerInfo Info;
    Info.Incarnation = On.Incarnation;
    Info.Upstream = "service";
    Info.Capacity = {32'000, 65'536, 0};
    Scheduler.updateWorker(Info, Now);
    Scheduler.syncWorker(On.Incarnation, {}, {}, Now);
  }

  bool isAllocated(const WorkerIncarnation &On, const std::string &Task,
                   std::int64_t Run) const {
    const Worker *Known = Scheduler.worker(On.Id);
    if (!Known || Known->info().Incarnation != On)
      return false;
    const auto Found = Known->runs().find(Task);
    return Found != Known->runs().end() && Found->second.Run == Run;
  }

  std::string findInconsistency() const {
    for (const auto &[Order, Progress] : Scheduler.runsToStop())
      if (!isAllocated(Order.Worker, Order.Task, Order.Run))
        return Order.Task + " is stopped where it has no resources";
    for (const auto &[Id, Known] : Scheduler.workers()) {
      Resources Used;
      for (const auto &[Task, Run] : Known.runs())
        Used += Run.Request;
      if (Known.freeResources() != Known.info().Capacity - Used)
        return Id + " has other free resources than its runs leave";
    }
    for (const std::string &Id : Ids) {
      const Job *Known = Scheduler.find(Id);
      if (!Known || Known->Phase != JobPhase::Active)
        continue;
      std::string Wrong = findInconsistency(*Known);
      if (!Wrong.empty())
        return Wrong;
    }
    return {};
  }

  std::string findInconsistency(const Job &Known) const {
    const StepState &State = Known.Steps.front();
    int Ready = 0;
    for (const TaskState &Task : State.Tasks)
      Ready += Task.Phase == TaskPhase::Ready ? 1 : 0;
    if (Ready != State.ReadyCount)
      return Known.Spec.Id + " counts other ready tasks than it has";
    if (Ready > 0 && !State.Rank)
      return Known.Spec.Id + " has ready tasks and does not wait";
    for (std::size_t Index = 0; Index < State.Tasks.size(); ++Index) {
      const TaskState &Task = State.Tasks[Index];
      const std::string Name = TaskId{Known.Spec.Id, 0, 0, int(Index)}.text();
      if (Task.Phase != TaskPhase::Placed)
        continue;
      if (!isAllocated(Task.Worker, Name, Task.Run))
        return Name + " is placed where it has no resources";
      if (Known.Spec.Steps.front().Gang && Ready > 0 &&
          !Scheduler.runsToStop().contains({Task.Worker, Name, Task.Run}))
        return Name + " waits for good for the others of its gang";
    }
    return {};
  }

  std::mt19937_64 Random;
  std::map<std::string, Host> Hosts;
  std::vector<std::string> Ids;
};

// Guards against members that only seem to be at work, so that their gang waits
// for good.
TEST(PlacementConsistencyTest, EachPlacedMemberIsAtWorkOrBeingStopped) {
  checkWithFixedSeeds(
      [] {
        const auto Seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
        const int Events = *rc::gen::inRange(1, 400);
        RC_ASSERT(UnreliableWorkers(Seed).play(Events) == "");
      },
      50);
}

} // namespace
} // namespace apricotwing::jobs
