/// \file
/// Load of a whole cell in virtual time: the nodes' code on the emulated
/// platform, with the mixture of work of a full cluster. Prints processor
/// seconds per second of virtual time, mail and commits, and how long jobs
/// took. Usage: cell_load [SECONDS] [WORKERS] [INSTANCES] [JOBS_PER_S].
#include "emulator/emulatedcell.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace {

using namespace apricotwing;
using namespace apricotwing::emulator;

/// One kind of job: its queue, its part of the jobs and its size.
struct Kind {
  std::string Queue;
  double Part;
  double Tasks;
  Resources Request;
  Duration Work;
  bool Gang;
  std::size_t PayloadBytes;
};

jobs::Queue queueOf(const std::string &Name, int Priority, double Slack,
                    Duration Target, jobs::AdviceSettings Advice) {
  jobs::Queue Result;
  Result.Name = Name;
  Result.Host = "cell.example";
  Result.PathPrefix = "/" + Name + "/";
  Result.Upstream = "service";
  Result.Priority = Priority;
  Result.MaxAttempts = 3;
  Result.SlackFactor = Slack;
  Result.LatencyTarget = Target;
  Result.Advice = Advice;
  return Result;
}

double processorSeconds() {
  timespec Time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Time);
  return double(Time.tv_sec) + double(Time.tv_nsec) * 1e-9;
}

int argument(int Count, char **Values, int Place, int Default) {
  return Count > Place ? std::atoi(Values[Place]) : Default;
}

} // namespace

int main(int Count, char **Values) {
  const int Seconds = argument(Count, Values, 1, 10);
  const int WorkerCount = argument(Count, Values, 2, 350);
  const int InstanceCount = argument(Count, Values, 3, 33);
  const int JobsPerSecond = argument(Count, Values, 4, 136);
  const std::vector<Kind> Kinds = {
      {"/gang/", 0.026, 20, {9000, 17000, 0}, Duration{6200}, true, 150},
      {"/batch/", 0.053, 25, {3500, 3600, 0}, Duration{3400}, false, 500},
      {"/quick/", 0.921, 3, {5000, 9100, 0}, Duration{640}, false, 1200},
  };
  std::vector<double> Shares;
  Shares.reserve(std::size_t(InstanceCount));
  for (int Number = 0; Number < InstanceCount; ++Number)
    Shares.push_back(Number % 6 == 0 ? 0.5 : 0.12);
  EmulatedCell Cell(1, Shares, WorkerCount);
  Cell.putQueues(
      {queueOf("gang", 1, 2.2, Duration{1000}, {540, 7.7, Duration{2000}}),
       queueOf("batch", 2, 4, Duration{3000}, {130, 1.8, Duration{2000}}),
       queueOf("quick", 0, 1.5, Duration{300}, {7.2, 0.1, Duration{2000}})},
      2);
  Cell.run(Duration{5000});
  std::mt19937_64 Random(1);
  std::exponential_distribution<double> Size(1.0);
  std::uniform_real_distribution<double> Uniform(0, 1);
  const double Before = processorSeconds();
  const std::vector<std::string> Names = Cell.names();
  std::map<std::string, int> Handed;
  for (int Tick = 0; Tick < Seconds * JobsPerSecond; ++Tick) {
    double Draw = Uniform(Random);
    const Kind *Chosen = &Kinds.back();
    for (const Kind &Entry : Kinds) {
      if (Draw < Entry.Part) {
        Chosen = &Entry;
        break;
      }
      Draw -= Entry.Part;
    }
    jobs::StepSpec Step;
    Step.Count = std::max(1, int(Chosen->Tasks * Size(Random)));
    Step.Request = Chosen->Request;
    Step.Estimate = Chosen->Work;
    Step.Gang = Chosen->Gang;
    ++Handed[Chosen->Queue];
    Cell.submit(Names[std::size_t(Tick) % Names.size()], Step, Chosen->Queue,
                std::string(Chosen->PayloadBytes, 'x'));
    Cell.run(Duration{1000 / JobsPerSecond});
  }
  const double Used = processorSeconds() - Before;
  std::printf("virtual seconds %d, processor seconds %.2f (%.3f per second)\n",
              Seconds, Used, Used / Seconds);
  std::printf("jobs %d, runs done %d, active %d\n", Seconds * JobsPerSecond,
              Cell.workers().doneRuns(), Cell.workers().activeRuns());
  const cell::Node &Leading = Cell.node(Cell.leader());
  std::printf("leader %s: commits %llu, rows %llu, jobs left %zu, %s\n",
              Cell.leader().c_str(),
              (unsigned long long)Leading.leader()->journal().commits(),
              (unsigned long long)Leading.leader()->journal().rowsWritten(),
              Leading.leader()->scheduler().activeJobs(),
              Leading.leader()->scheduler().summary().c_str());
  return Cell.workers().violations().empty() ? 0 : 1;
}
