/// \file
/// Measures JobScheduler::decide() while many steps wait that cannot start:
/// gangs without room, gangs and tasks of an account at its limit, and a mix of
/// both with tasks for which there is no room. Usage: round_latency [WORKERS]
/// [STEPS] [ROUNDS].
#include "jobs/jobscheduler.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

namespace {

using namespace apricotwing;
using namespace apricotwing::jobs;

enum class Load { Gangs, AccountAtLimit, Mixed };

constexpr NameTable<Load, 3> LoadNames = {{
    {Load::Gangs, "gangs without room"},
    {Load::AccountAtLimit, "account at its limit"},
    {Load::Mixed, "mixed"},
}};

ClusterPolicy policy() {
  ClusterPolicy Result;
  Result.Version = 1;
  Queue Batch;
  Batch.Name = "batch";
  Batch.Upstream = "service";
  Batch.MaxAttempts = 3;
  Batch.SlackFactor = 4;
  Batch.LatencyTarget = Duration{600'000};
  Result.Queues = {Batch};
  Result.Accounts = {{"limited", {"k"}, 10, {8000, 0, 0}},
                     {"other", {"l"}, 10, {}}};
  Result.Upstreams = {{"service", false, false}};
  return Result;
}

class WaitingCell {
public:
  explicit WaitingCell(int WorkerCount) : Scheduler(1) {
    Scheduler.setPolicy(policy());
    for (int Number = 0; Number < WorkerCount; ++Number) {
      WorkerInfo Info;
      Info.Incarnation = {"w" + std::to_string(Number), 1};
      Info.Upstream = "service";
      Info.Capacity = {32'000, 65'536, 0};
      Scheduler.updateWorker(Info, Now);
      Scheduler.syncWorker(Info.Incarnation, {}, {}, Now);
    }
    // Leaves two cores free on each worker.
    add(WorkerCount, 30'000, false, "other");
    add(1, 8000, false, "limited");
    for (int Round = 0; Round < 10; ++Round)
      decideUs();
  }

  void addWaiting(Load Kind, int Number) {
    const bool IsLimited = Kind == Load::AccountAtLimit ||
                           (Kind == Load::Mixed && Number % 3 == 0);
    const bool IsGang = Kind == Load::Gangs || Number % 2 == 0;
    add(4 + Number % 5, IsLimited ? 1000 : 16'000, IsGang,
        IsLimited ? "limited" : "other");
  }

  double decideUs() {
    Now += Duration{10};
    const auto Begin = std::chrono::steady_clock::now();
    Scheduler.decide(Now, {4, 500});
    return std::chrono::duration<double, std::micro>(
               std::chrono::steady_clock::now() - Begin)
        .count();
  }

private:
  void add(int Count, std::int64_t CpuMillis, bool Gang,
           const std::string &Account) {
    JobSpec Spec;
    Spec.Id = "job" + std::to_string(++LastJob);
    Spec.Queue = "batch";
    Spec.Account = Account;
    StepSpec Step;
    Step.Count = Count;
    Step.Request = {CpuMillis, 256, 0};
    Step.Estimate = Duration{1000};
    Step.Gang = Gang;
    Spec.Steps = {Step};
    Scheduler.add(Spec, false, Now);
  }

  JobScheduler Scheduler;
  TimePoint Now{Duration{1'000'000}};
  int LastJob = 0;
};

int argument(int Count, char **Values, int Place, int Default) {
  return Count > Place ? std::atoi(Values[Place]) : Default;
}

} // namespace

int main(int Count, char **Values) {
  const int Workers = argument(Count, Values, 1, 300);
  const int Steps = argument(Count, Values, 2, 4000);
  const int Rounds = argument(Count, Values, 3, 2000);
  std::printf("%d workers, %d waiting steps, %d rounds\n", Workers, Steps,
              Rounds);
  for (const Load Kind : {Load::Gangs, Load::AccountAtLimit, Load::Mixed}) {
    WaitingCell Cell(Workers);
    for (int Number = 0; Number < Steps; ++Number)
      Cell.addWaiting(Kind, Number);
    std::vector<double> Samples;
    Samples.reserve(std::size_t(Rounds));
    for (int Round = 0; Round < Rounds; ++Round)
      Samples.push_back(Cell.decideUs());
    std::sort(Samples.begin(), Samples.end());
    std::printf("%s: p50 %.0f us, p99 %.0f us\n",
                std::string(enumName(LoadNames, Kind)).c_str(),
                Samples[Samples.size() / 2],
                Samples[Samples.size() * 99 / 100]);
  }
  return 0;
}
