#include "cli/proposal.h"

#include "cli/report.h"
#include "wire/configcodec.h"

#include <optional>

namespace apricotwing {

namespace {

std::string valueChange(const std::string &Name, std::int64_t Old,
                        std::int64_t New) {
  if (Old == New)
    return "";
  return ", " + Name + " " + std::to_string(Old) + " -> " + std::to_string(New);
}

std::string orUnset(const std::string &Text) {
  return Text.empty() ? "(unset)" : Text;
}

/// Describes one change and the old values in the configuration in force.
class ChangeDescriber {
public:
  explicit ChangeDescriber(const Config &Current) : Current(Current) {}

  std::string operator()(const SetTeam &Change) const {
    const auto Found = Current.Teams.find(Change.Team);
    const bool IsNew = Found == Current.Teams.end();
    const TeamConfig Old = IsNew ? TeamConfig{0, {}} : Found->second;
    const TeamConfig &New = Change.Value;
    const std::string Values =
        valueChange("share", Old.Share, New.Share) +
        valueChange("cpu_millis", Old.Limit.Tasks.CpuMillis,
                    New.Limit.Tasks.CpuMillis) +
        valueChange("memory_mib", Old.Limit.Tasks.MemoryMib,
                    New.Limit.Tasks.MemoryMib) +
        valueChange("accelerators", Old.Limit.Tasks.Accelerators,
                    New.Limit.Tasks.Accelerators) +
        valueChange("requests", Old.Limit.Requests, New.Limit.Requests);
    return (IsNew ? "add team " : "change team ") + Change.Team +
           (Values.empty() ? ", no difference" : Values);
  }

  std::string operator()(const RemoveTeam &Change) const {
    return "remove team " + Change.Team;
  }

  std::string operator()(const AddKey &Change) const {
    return "add key " + Change.Key + " of team " + Change.Value.Team;
  }

  std::string operator()(const RevokeKey &Change) const {
    const auto Found = Current.Keys.find(Change.Key);
    return "revoke key " + Change.Key +
           (Found == Current.Keys.end() ? ", which does not exist"
                                        : " of team " + Found->second.Team);
  }

  std::string operator()(const SetLabel &Change) const {
    return "label worker " + Change.Worker + ", " + Change.Label + " " +
           orUnset(label(Change.Worker, Change.Label)) + " -> " + Change.Value;
  }

  std::string operator()(const RemoveLabel &Change) const {
    return "label worker " + Change.Worker + ", " + Change.Label + " " +
           orUnset(label(Change.Worker, Change.Label)) + " -> (unset)";
  }

  std::string operator()(const SetUpstream &Change) const {
    const auto Found = Current.Upstreams.find(Change.Upstream);
    const bool IsNew = Found == Current.Upstreams.end();
    const UpstreamConfig Old = IsNew ? UpstreamConfig{0, 0} : Found->second;
    return (IsNew ? "add upstream " : "change upstream ") + Change.Upstream +
           valueChange("slots", Old.Slots, Change.Value.Slots) +
           valueChange("connections", Old.Connections,
                       Change.Value.Connections);
  }

  std::string operator()(const RemoveUpstream &Change) const {
    return "remove upstream " + Change.Upstream;
  }

  std::string operator()(const SetPolicy &Change) const {
    const auto Found = Current.Policies.find(Change.Kind);
    const auto Old =
        Found == Current.Policies.end() ? 0 : Found->second.MaxWaitSeconds;
    return "change policy " + std::string(runKindName(Change.Kind)) +
           valueChange("max_wait_seconds", Old, Change.Value.MaxWaitSeconds);
  }

  std::string operator()(const DrainWorker &Change) const {
    return "drain worker " + Change.Worker;
  }

  std::string operator()(const UndrainWorker &Change) const {
    return "end the drain of worker " + Change.Worker;
  }

private:
  std::string label(const WorkerId &Worker, const std::string &Label) const {
    const auto Found = Current.WorkerLabels.find(Worker);
    if (Found == Current.WorkerLabels.end())
      return {};
    const auto Value = Found->second.find(Label);
    return Value == Found->second.end() ? std::string() : Value->second;
  }

  const Config &Current;
};

} // namespace

Config readConfig(Invocation &Call) {
  return decodeConfigView(
      Call.Client.call({.Path = "/v1/config", .Retry = RetryPolicy::Always}));
}

ExitCode propose(Invocation &Call, std::uint64_t Base,
                 const std::vector<ConfigChange> &Changes) {
  // Not retried after an unknown outcome, which could create a second proposal.
  const std::string Id = decodeProposalCreated(
      Call.Client.call({.Method = "POST",
                        .Path = "/v1/config/proposals",
                        .Body = encodeProposalRequest({Base, Changes})}));
  if (Call.Json) {
    Report Result({"proposal", "base"});
    Result.add({Id, static_cast<std::int64_t>(Base)});
    Result.printSingle(Call.Out, true);
    return ExitCode::Success;
  }
  Call.Out << "proposal " << Id << " on version " << Base << "\n"
           << "It takes effect when the other co-owner signs it:\n"
           << "  apricotwing config diff " << Id << "\n"
           << "  apricotwing config sign " << Id << "\n";
  return ExitCode::Success;
}

std::string describeChange(const Config &Current, const ConfigChange &Change) {
  return std::visit(ChangeDescriber(Current), Change);
}

const TeamConfig &requireTeam(const Config &Current, const TeamName &Team) {
  const auto Found = Current.Teams.find(Team);
  if (Found == Current.Teams.end())
    throw Error(ErrorKind::NotFound, "there is no team '" + Team + "'",
                "`apricotwing teams list` shows the teams");
  return Found->second;
}

} // namespace apricotwing
