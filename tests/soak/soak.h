/// \file
/// One soak: the deployment, its callers, the faults and the checks.
#ifndef APRICOTWING_SOAK_SOAK_H
#define APRICOTWING_SOAK_SOAK_H

#include "soak/entries.h"
#include "soak/platform.h"
#include "soak/restartseries.h"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <vector>

namespace apricotwing::soak {

struct Options {
  std::string Program, Folder, Faults = "none";
  std::uint64_t Seed = 1;
  int TrafficSeconds = 40;
  int FaultsAtSecond = 8; ///< Of the traffic.
  int QuietSeconds = 28;  ///< At most, after the traffic.
  double Load = 1;
  bool Throttle = false;
  int Rounds = 3; ///< Of restarts and cuts.
  bool OnlyStarts = false;
};

/// Runs the deployment, its callers and the faults of one seed.
class Soak {
public:
  explicit Soak(const Options &Chosen);
  /// Returns the exit code.
  int run();

private:
  using Fault = void (Soak::*)(std::mt19937_64 &);

  void note(const std::string &Text);
  void configure();
  int leader() { return std::max(0, Entries::indexOf(Registry.leader())); }

  void produceTraffic();
  void submitJobs();
  void submit(const JobPlan &Plan, std::mt19937_64 &Draw);
  std::string readState(const std::string &Id);

  void planFaults();
  void playFaults();
  void crashSeries(std::mt19937_64 &);
  void crashLong(std::mt19937_64 &);
  void failRuns(std::mt19937_64 &);
  void refuseStarts(std::mt19937_64 &);
  void burstOfGangs(std::mt19937_64 &);
  void hangWorkers(std::mt19937_64 &);
  void killLeader(std::mt19937_64 &);
  void killAll(std::mt19937_64 &);
  void cutStore(std::mt19937_64 &);
  void cutLeader(std::mt19937_64 &);
  void freezeLeader(std::mt19937_64 &);
  void recut(std::mt19937_64 &);
  void recutAndKill(std::mt19937_64 &);
  void recutDrawn(std::mt19937_64 &);
  void playSeries(const RestartSeries &Series, bool KillsLeader);
  void delayCalls(std::mt19937_64 &);
  void rollEntries(std::mt19937_64 &);
  void changePolicies(std::mt19937_64 &);
  void slowAdvice(std::mt19937_64 &);
  void failAdvice(std::mt19937_64 &);
  void failAdviceOfZone(std::mt19937_64 &);
  void silentAdvice(std::mt19937_64 &);
  void setAllAdvice(AdviceMode Mode);

  int report();
  int reportRepeatedTasks();

  const Options Chosen;
  std::mt19937_64 Random;
  const std::string Network;
  Store Registry;
  Platform Site;
  Entries Instances;
  /// Faults that are played one after the other; the lists side by side.
  std::vector<std::vector<Fault>> Lanes;
  int PolicyVersion = 0;
  std::int64_t TrafficStart = 0;
  std::int64_t CheckFrom = 0; ///< From here on a standstill is a finding.
  std::mutex Mutex;
  std::condition_variable Arrived;
  std::deque<JobPlan> Queue;
  bool TrafficEnded = false;
  std::atomic<int> LongTasks = 0; ///< Faults that make tasks long.
  std::map<int, int> Statuses;    ///< Of submissions, by HTTP status.
};

} // namespace apricotwing::soak

#endif
