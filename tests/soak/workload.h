/// \file
/// The queues, accounts and jobs of the soak's deployment.
#ifndef APRICOTWING_SOAK_WORKLOAD_H
#define APRICOTWING_SOAK_WORKLOAD_H

#include "soak/store.h"

#include <array>
#include <random>

namespace apricotwing::soak {

inline constexpr int WorkerCount = 48;
inline constexpr std::int64_t WorkerCpu = 32'000;    ///< Thousandths of a core.
inline constexpr std::int64_t WorkerMemory = 65'536; ///< MB.
inline constexpr int AccountCount = 6;
/// What an account may use, relative to an equal share of all workers.
inline constexpr double CapOfShare = 1.9;

/// Zone of a worker, from 0 on.
inline constexpr int ZoneCount = 3;
constexpr int zoneOf(int Worker) { return Worker * ZoneCount / WorkerCount; }

/// A lognormal quantity with a mean, cut at its ends.
struct Spread {
  double Mean, Sigma, Min, Max;
};

/// A queue: its policy, its jobs and the advice about it.
struct QueueKind {
  const char *Name;
  double JobsPerSecond;
  int Priority, MaxAttempts, TargetMs;
  double SlackFactor;
  double FailedRuns;   ///< Share of the runs that end as failed.
  double HopelessJobs; ///< Share of the jobs with a task that always fails.
  double Gangs;        ///< Share of the steps that are gangs.
  Spread Steps, Width, Cpu, Memory, WorkMs;
  double Uneven; ///< Largest deviation of a task's work from its step's.
  double AdviceMs, AdvicePerWorkerMs;
  std::int64_t AdviceValidMs;
  double Approved; ///< Share of the workers that may run a step.
};

extern const std::array<QueueKind, 3> QueueKinds;

struct StepPlan {
  bool Gang = false;
  std::int64_t Cpu = 0, Memory = 0, EstimateMs = 0;
  std::vector<std::int64_t> WorkMs; ///< Of each task.
};

/// Each step follows the one before it.
struct JobPlan {
  std::string Id;
  const QueueKind *Queue = nullptr;
  int Account = 0;
  bool Hopeless = false; ///< The runs of the first task of step 0 fail.
  std::vector<StepPlan> Steps;

  std::string path() const;
  Json submission() const;
};

JobPlan drawJob(std::mt19937_64 &Random, const QueueKind &Queue, int Number);

/// Makes the tasks of a job take longer than the caller expects.
void lengthen(JobPlan &Job, std::mt19937_64 &Random);

std::string accountKey(int Account);

/// The operator's row; versions differ in a timeout.
Json policy(int Version);

/// A number from 0 to 1 that depends on \p Text only.
double hashShare(const std::string &Text);

} // namespace apricotwing::soak

#endif
