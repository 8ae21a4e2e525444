#include "cli/configcommands.h"

#include "cli/proposal.h"
#include "cli/report.h"
#include "wire/configcodec.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <iterator>

namespace apricotwing {

namespace {

constexpr std::array DiffOptions = {
    OptionInfo{"file", "FILE", "", "compare the changes in a file instead"},
};

std::int64_t toSigned(std::uint64_t Value) {
  return static_cast<std::int64_t>(Value);
}

std::string readInput(const Invocation &Call, const std::string &Path) {
  if (Path == "-")
    return {std::istreambuf_iterator(Call.In), {}};
  std::ifstream Input(Path, std::ios::binary);
  if (!Input)
    throw UsageError("cannot read " + Path,
                     "give the path of a file with a JSON list of changes");
  return {std::istreambuf_iterator(Input), {}};
}

std::vector<ConfigChange> readChanges(const Invocation &Call,
                                      const std::string &Path) {
  try {
    return decodeChanges(readInput(Call, Path));
  } catch (const Error &Failure) {
    throw UsageError(Path + ": " + Failure.what(), Failure.remedy());
  }
}

std::vector<ProposalRecord> readProposals(Invocation &Call) {
  return decodeProposals(Call.Client.call(
      {.Path = "/v1/config/proposals", .Retry = RetryPolicy::Always}));
}

std::string summaryOf(const Config &Current,
                      const std::vector<ConfigChange> &Changes) {
  std::string Result;
  for (const ConfigChange &Change : Changes) {
    if (!Result.empty())
      Result += "; ";
    Result += describeChange(Current, Change);
  }
  return Result;
}

void addTeamEntries(Report &Entries, const Config &Current) {
  for (const auto &[Name, Team] : Current.Teams)
    Entries.add({"team", Name, "share " + std::to_string(Team.Share)});
  for (const auto &[Id, Key] : Current.Keys)
    Entries.add({"key", Id, "team " + Key.Team});
  for (const auto &[Kind, Policy] : Current.Policies)
    Entries.add({"policy", std::string(runKindName(Kind)),
                 "max_wait_seconds " + std::to_string(Policy.MaxWaitSeconds)});
}

void addClusterEntries(Report &Entries, const Config &Current) {
  for (const auto &[Name, Upstream] : Current.Upstreams)
    Entries.add({"upstream", Name,
                 "slots " + std::to_string(Upstream.Slots) + ", connections " +
                     std::to_string(Upstream.Connections)});
  for (const auto &[Worker, OwnLabels] : Current.WorkerLabels)
    for (const auto &[Label, Value] : OwnLabels)
      Entries.add(
          {"label", Worker, std::string(Label).append("=").append(Value)});
  for (const auto &[Worker, IsDrained] : Current.DrainedWorkers)
    if (IsDrained)
      Entries.add({"drained worker", Worker, ""});
}

ExitCode show(Invocation &Call) {
  const std::string Body =
      Call.Client.call({.Path = "/v1/config", .Retry = RetryPolicy::Always});
  if (Call.Json) {
    Call.Out << Body << "\n";
    return ExitCode::Success;
  }
  const Config Current = decodeConfigView(Body);
  Call.Out << "version " << Current.Version << "\n";
  Report Entries({"what", "name", "value"});
  addTeamEntries(Entries, Current);
  addClusterEntries(Entries, Current);
  Entries.print(Call.Out, false);
  return ExitCode::Success;
}

void addDifferences(Report &Result, const Config &Current,
                    const std::string &Proposal, std::uint64_t Base,
                    const std::vector<ConfigChange> &Changes) {
  for (const ConfigChange &Change : Changes)
    Result.add({Proposal, toSigned(Base), Base == Current.Version,
                describeChange(Current, Change)});
}

ExitCode diff(Invocation &Call) {
  const Config Current = readConfig(Call);
  Report Result({"proposal", "base", "can_be_signed", "change"});
  if (Call.Options.has("file")) {
    const std::string File = Call.Options.value("file");
    addDifferences(Result, Current, File, Current.Version,
                   readChanges(Call, File));
    Result.print(Call.Out, Call.Json);
    return ExitCode::Success;
  }
  const std::string ProposalId =
      Call.Arguments.empty() ? "" : Call.Arguments[0];
  bool IsFound = ProposalId.empty();
  for (const ProposalRecord &Proposal : readProposals(Call)) {
    if (!ProposalId.empty() && Proposal.Id != ProposalId)
      continue;
    IsFound = true;
    addDifferences(Result, Current, Proposal.Id, Proposal.BaseVersion,
                   Proposal.Changes);
  }
  if (!IsFound)
    throw Error(ErrorKind::NotFound, "no open proposal '" + ProposalId + "'",
                "`apricotwing config proposals` lists the open ones");
  Result.print(Call.Out, Call.Json);
  return ExitCode::Success;
}

ExitCode proposals(Invocation &Call) {
  const Config Current = readConfig(Call);
  Report Result(
      {"proposal", "base", "can_be_signed", "proposed_by", "changes"});
  for (const ProposalRecord &Proposal : readProposals(Call))
    Result.add({Proposal.Id, toSigned(Proposal.BaseVersion),
                Proposal.BaseVersion == Current.Version, Proposal.ProposedBy,
                summaryOf(Current, Proposal.Changes)});
  Result.print(Call.Out, Call.Json);
  return ExitCode::Success;
}

ExitCode proposeFile(Invocation &Call) {
  const auto Changes = readChanges(Call, Call.Arguments[0]);
  return propose(Call, readConfig(Call).Version, Changes);
}

std::string decisionPath(const Invocation &Call, const std::string &Decision) {
  return "/v1/config/proposals/" + escapeForUrl(Call.Arguments[0]) + "/" +
         Decision;
}

// Not retried after an unknown outcome: if the first attempt has succeeded, the
// second one would report a conflict with it.
std::string decide(Invocation &Call, const std::string &Decision) {
  try {
    return Call.Client.call(
        {.Method = "POST", .Path = decisionPath(Call, Decision)});
  } catch (const Error &Failure) {
    if (Failure.outcome() != Outcome::Unknown)
      throw;
    throw Error(Failure.kind(), Failure.what(),
                "`apricotwing config proposals` and `apricotwing config "
                "history` show whether it took effect",
                Outcome::Unknown);
  }
}

ExitCode sign(Invocation &Call) {
  const std::uint64_t Version = decodeConfigVersion(decide(Call, "sign"));
  Report Result({"proposal", "state", "version"});
  Result.add({Call.Arguments[0], "signed", toSigned(Version)});
  Result.printSingle(Call.Out, Call.Json);
  return ExitCode::Success;
}

ExitCode reject(Invocation &Call) {
  decide(Call, "reject");
  Report Result({"proposal", "state"});
  Result.add({Call.Arguments[0], "rejected"});
  Result.printSingle(Call.Out, Call.Json);
  return ExitCode::Success;
}

ExitCode history(Invocation &Call) {
  const auto Versions = decodeHistory(Call.Client.call(
      {.Path = "/v1/config/history", .Retry = RetryPolicy::Always}));
  Report Result({"version", "proposal", "proposed_by", "signed_by", "changes"});
  for (const HistoryRecord &Entry : Versions)
    Result.add({toSigned(Entry.Version), Entry.Proposal, Entry.ProposedBy,
                Entry.SignedBy, toSigned(Entry.Changes.size())});
  Result.print(Call.Out, Call.Json);
  return ExitCode::Success;
}

constexpr std::array Commands = {
    CommandInfo{
        "config show", "", "Show the configuration in force.", {}, show},
    CommandInfo{"config diff", "[PROPOSAL]", "Show what open proposals change.",
                DiffOptions, diff},
    CommandInfo{
        "config proposals", "", "List the open proposals.", {}, proposals},
    CommandInfo{"config propose",
                "FILE",
                "Propose the changes in a file; - for standard input.",
                {},
                proposeFile},
    CommandInfo{"config sign",
                "PROPOSAL",
                "Sign a proposal of the other co-owner.",
                {},
                sign},
    CommandInfo{"config reject", "PROPOSAL", "Reject a proposal.", {}, reject},
    CommandInfo{"config history",
                "",
                "List the versions and their signers.",
                {},
                history},
};

} // namespace

std::span<const CommandInfo> configCommands() { return Commands; }

} // namespace apricotwing
