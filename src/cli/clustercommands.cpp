#include "cli/clustercommands.h"

#include "cli/proposal.h"
#include "cli/report.h"
#include "cli/statedump.h"
#include "wire/instancecodec.h"

#include <array>

namespace apricotwing {

namespace {

std::string join(const std::vector<std::string> &Words) {
  std::string Result;
  for (const std::string &Word : Words)
    Result.append(Result.empty() ? "" : ",").append(Word);
  return Result;
}

std::string fraction(std::int64_t Used, std::int64_t Total) {
  return std::to_string(Used) + "/" + std::to_string(Total);
}

ExitCode instances(Invocation &Call) {
  const std::string Body =
      Call.Client.call({.Path = "/v1/instances", .Retry = RetryPolicy::Always});
  Report Result({"instance", "epoch", "state", "zone", "address",
                 "peer_address", "shards"});
  for (const InstanceStatus &Status : decodeInstances(Body))
    Result.add({Status.Id.Instance,
                static_cast<std::int64_t>(Status.Id.SessionEpoch),
                std::string(sessionStateName(Status.State)), Status.Zone,
                Status.Address, Status.PeerAddress, join(Status.Shards)});
  Result.print(Call.Out, Call.Json);
  return ExitCode::Success;
}

std::string conditionOf(const WorkerStatus &Status) {
  if (Status.Quarantined)
    return "quarantined";
  if (Status.Drained)
    return "drained";
  return std::string(listedStateName(Status.Worker.State));
}

ExitCode workers(Invocation &Call) {
  const std::string Body =
      Call.Client.call({.Path = "/v1/workers", .Retry = RetryPolicy::Always});
  Report Result({"worker", "condition", "zone", "rack", "tasks", "cpu_millis",
                 "memory_mib", "accelerators", "silent_ms"});
  for (const WorkerStatus &Status : decodeWorkers(Body)) {
    const Resources &Capacity = Status.Worker.Capacity;
    Result.add({Status.Worker.Id, conditionOf(Status), Status.Worker.Zone,
                Status.Worker.Rack, std::int64_t(Status.Tasks),
                fraction(Status.Reserved.CpuMillis, Capacity.CpuMillis),
                fraction(Status.Reserved.MemoryMib, Capacity.MemoryMib),
                fraction(Status.Reserved.Accelerators, Capacity.Accelerators),
                Status.SinceLastAnswerMs});
  }
  Result.print(Call.Out, Call.Json);
  return ExitCode::Success;
}

ExitCode drain(Invocation &Call) {
  return propose(Call, readConfig(Call).Version,
                 {DrainWorker{Call.Arguments[0]}});
}

ExitCode undrain(Invocation &Call) {
  return propose(Call, readConfig(Call).Version,
                 {UndrainWorker{Call.Arguments[0]}});
}

ExitCode state(Invocation &Call) {
  const std::string Body =
      Call.Client.call({.Path = "/statez", .Retry = RetryPolicy::Always});
  if (Call.Json)
    Call.Out << Body << "\n";
  else
    Call.Out << formatStateDump(Body);
  return ExitCode::Success;
}

constexpr std::array Commands = {
    CommandInfo{"instances", "", "List the instances.", {}, instances},
    CommandInfo{
        "workers", "", "List the workers and what they hold.", {}, workers},
    CommandInfo{
        "drain", "WORKER", "Propose to give a worker no new tasks.", {}, drain},
    CommandInfo{"undrain", "WORKER", "Propose to end a drain.", {}, undrain},
    CommandInfo{"state", "", "Show the state dump of one instance.", {}, state},
};

} // namespace

std::span<const CommandInfo> clusterCommands() { return Commands; }

} // namespace apricotwing
