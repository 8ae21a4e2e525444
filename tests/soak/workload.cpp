#include "soak/workload.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace apricotwing::soak {

namespace {

constexpr std::int64_t MinLongMs = 9000;
constexpr std::int64_t MaxLongMs = 12'500;

double draw(std::mt19937_64 &Random, const Spread &Of) {
  std::normal_distribution<double> Normal;
  const double Value =
      Of.Mean * std::exp(Of.Sigma * Normal(Random) - Of.Sigma * Of.Sigma / 2);
  return std::clamp(Value, Of.Min, Of.Max);
}

} // namespace

const std::array<QueueKind, 3> QueueKinds = {{{"sorting",
                                               1.45,
                                               1,
                                               4,
                                               1000,
                                               2.2,
                                               0.02,
                                               0.01,
                                               1.0,
                                               {1.2, 0.4, 1, 3},
                                               {8, 0.8, 1, 48},
                                               {9000, 0.4, 500, 15'000},
                                               {9000, 0.5, 100, 18'000},
                                               {5000, 0.5, 500, 12'000},
                                               0.15,
                                               520.0,
                                               7.4,
                                               1500,
                                               0.3},
                                              {"restock",
                                               4.35,
                                               2,
                                               2,
                                               3000,
                                               4.0,
                                               0.02,
                                               0.03,
                                               0.0,
                                               {1.5, 0.4, 1, 3.8},
                                               {10, 0.8, 1, 60},
                                               {2000, 0.45, 100, 5900},
                                               {2000, 0.6, 100, 6000},
                                               {3400, 0.5, 300, 8400},
                                               0.3,
                                               82.0,
                                               1.2,
                                               1500,
                                               0.45},
                                              {"counter",
                                               30.8,
                                               0,
                                               3,
                                               250,
                                               1.5,
                                               0.05,
                                               0.01,
                                               0.3,
                                               {1, 0, 1, 1},
                                               {2, 0.8, 1, 12},
                                               {2800, 0.45, 100, 8400},
                                               {4000, 0.6, 100, 12'000},
                                               {1000, 0.5, 100, 2500},
                                               0.3,
                                               12.0,
                                               0.17,
                                               1500,
                                               0.7}}};

std::string JobPlan::path() const {
  return "/" + std::string(Queue->Name) + "/" + Id;
}

Json JobPlan::submission() const {
  Json Result{{"spec", "soak"}, {"steps", Json::array()}};
  for (const StepPlan &Step : Steps) {
    Json One{{"count", Step.WorkMs.size()},
             {"cpu", Step.Cpu},
             {"mem_mb", Step.Memory},
             {"estimated_duration_ms", Step.EstimateMs}};
    if (Step.Gang)
      One["gang_scheduled"] = true;
    if (!Result["steps"].empty())
      One["after"] = {Result["steps"].size() - 1};
    Result["steps"].push_back(std::move(One));
  }
  return Result;
}

JobPlan drawJob(std::mt19937_64 &Random, const QueueKind &Queue, int Number) {
  std::uniform_real_distribution<double> Share(0, 1);
  JobPlan Job;
  char Id[32];
  std::snprintf(Id, sizeof Id, "%08x%08x", unsigned(Random()),
                unsigned(Number));
  Job.Id = Id;
  Job.Queue = &Queue;
  Job.Account = int(Random() % AccountCount);
  Job.Hopeless = Share(Random) < Queue.HopelessJobs;
  const auto Steps = std::size_t(std::lround(draw(Random, Queue.Steps)));
  while (Job.Steps.size() < Steps) {
    StepPlan Step;
    Step.Gang = Share(Random) < Queue.Gangs;
    Step.Cpu = std::int64_t(draw(Random, Queue.Cpu));
    Step.Memory = std::int64_t(draw(Random, Queue.Memory));
    const double Work = draw(Random, Queue.WorkMs);
    Step.EstimateMs = std::int64_t(Work * (0.5 + Share(Random)));
    const auto Width = std::size_t(std::lround(draw(Random, Queue.Width)));
    while (Step.WorkMs.size() < Width)
      Step.WorkMs.push_back(
          std::int64_t(Work * (1 + Queue.Uneven * (2 * Share(Random) - 1))));
    Job.Steps.push_back(std::move(Step));
  }
  return Job;
}

void lengthen(JobPlan &Job, std::mt19937_64 &Random) {
  std::uniform_int_distribution<std::int64_t> Work(MinLongMs, MaxLongMs);
  for (StepPlan &Step : Job.Steps)
    for (std::int64_t &WorkMs : Step.WorkMs)
      WorkMs = Work(Random);
}

std::string accountKey(int Account) {
  return "soak-key-" + std::to_string(Account);
}

Json policy(int Version) {
  Json Routes = Json::array();
  for (const QueueKind &Queue : QueueKinds)
    Routes.push_back({{"name", Queue.Name},
                      {"host", "soak.example"},
                      {"path_prefix", "/" + std::string(Queue.Name) + "/"},
                      {"kind", "non_idempotent"},
                      {"timeout_ms", 3000 + Version % 7},
                      {"target_latency_ms", Queue.TargetMs},
                      {"priority", Queue.Priority},
                      {"service", "planner"},
                      {"max_attempts", Queue.MaxAttempts},
                      {"slack_factor", Queue.SlackFactor},
                      {"public", false},
                      {"recommendation",
                       {{"decision_timeout_ms", Queue.AdviceMs},
                        {"per_worker_ms", Queue.AdvicePerWorkerMs},
                        {"validity_ms", Queue.AdviceValidMs}}}});
  const double Share = CapOfShare * WorkerCount / AccountCount;
  Json Accounts = Json::array();
  for (int Account = 0; Account < AccountCount; ++Account)
    Accounts.push_back({{"name", "account-" + std::to_string(Account)},
                        {"api_keys", {accountKey(Account)}},
                        {"priority", 1},
                        {"weight", 12},
                        {"cap",
                         {{"cpu", std::int64_t(Share * WorkerCpu)},
                          {"mem_mb", std::int64_t(Share * WorkerMemory)},
                          {"gpu", 0}}}});
  return {{"version", Version},
          {"routes", Routes},
          {"services",
           {{{"name", "planner"},
             {"health_path", "/health"},
             {"connection_limit", 64},
             {"protocol", "h1"},
             {"tls", false},
             {"rejects_overload", false},
             {"standby", false}}}},
          {"limits",
           {{"max_header_bytes", 16'384},
            {"max_body_bytes", 262'144},
            {"header_timeout_ms", 3000},
            {"idle_timeout_ms", 15'000}}},
          {"tenants", Accounts}};
}

double hashShare(const std::string &Text) {
  std::uint64_t Hash = 1469598103934665603U;
  for (const char Letter : Text)
    Hash = (Hash ^ std::uint8_t(Letter)) * 1099511628211U;
  // FNV-1a spreads the last letters over the low bits only.
  Hash ^= Hash >> 33U;
  Hash *= 0xff51afd7ed558ccdU;
  Hash ^= Hash >> 33U;
  return double(Hash >> 11U) / double(1ULL << 53U);
}

} // namespace apricotwing::soak
