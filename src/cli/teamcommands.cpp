#include "cli/teamcommands.h"

#include "cli/proposal.h"
#include "cli/report.h"

#include <array>
#include <limits>

namespace apricotwing {

namespace {

constexpr std::int64_t MaxShare = 10'000;
constexpr std::int64_t MaxAmount = std::numeric_limits<std::int64_t>::max();
constexpr std::int64_t MaxRequests = std::numeric_limits<std::uint32_t>::max();
constexpr std::int64_t Percent = 100;

constexpr std::array TeamOptions = {
    OptionInfo{"share", "N", "", "weight among teams when the cell is full"},
    OptionInfo{"cpu-millis", "N", "", "limit in thousandths of a core"},
    OptionInfo{"memory-mib", "N", "", "limit in MiB of memory"},
    OptionInfo{"accelerators", "N", "", "limit in accelerators"},
    OptionInfo{"requests", "N", "", "limit of concurrent interactive requests"},
};

constexpr std::span<const OptionInfo> LimitOptions =
    std::span<const OptionInfo>(TeamOptions).subspan(1);

// Returns Team with the values of the given options. Other values stay.
TeamConfig applyOptions(const OptionValues &Options, TeamConfig Team) {
  Resources &Tasks = Team.Limit.Tasks;
  Team.Share = static_cast<std::uint32_t>(
      Options.number("share", 1, MaxShare).value_or(Team.Share));
  Tasks.CpuMillis =
      Options.number("cpu-millis", 0, MaxAmount).value_or(Tasks.CpuMillis);
  Tasks.MemoryMib =
      Options.number("memory-mib", 0, MaxAmount).value_or(Tasks.MemoryMib);
  Tasks.Accelerators =
      Options.number("accelerators", 0, MaxAmount).value_or(Tasks.Accelerators);
  Team.Limit.Requests = static_cast<std::uint32_t>(
      Options.number("requests", 0, MaxRequests).value_or(Team.Limit.Requests));
  return Team;
}

std::vector<Report::Cell> limitCells(const TeamLimit &Limit) {
  return {Limit.Tasks.CpuMillis, Limit.Tasks.MemoryMib,
          Limit.Tasks.Accelerators, std::int64_t(Limit.Requests)};
}

ExitCode listTeams(Invocation &Call) {
  Report Result({"team", "share", "cpu_millis", "memory_mib", "accelerators",
                 "requests"});
  for (const auto &[Name, Team] : readConfig(Call).Teams) {
    std::vector<Report::Cell> Row = {Name, std::int64_t(Team.Share)};
    for (Report::Cell &Cell : limitCells(Team.Limit))
      Row.push_back(std::move(Cell));
    Result.add(std::move(Row));
  }
  Result.print(Call.Out, Call.Json);
  return ExitCode::Success;
}

ExitCode setTeam(Invocation &Call) {
  const Config Current = readConfig(Call);
  const TeamName &Team = Call.Arguments[0];
  const auto Found = Current.Teams.find(Team);
  const TeamConfig Old =
      Found == Current.Teams.end() ? TeamConfig() : Found->second;
  return propose(Call, Current.Version,
                 {SetTeam{Team, applyOptions(Call.Options, Old)}});
}

ExitCode removeTeam(Invocation &Call) {
  const Config Current = readConfig(Call);
  const TeamName &Team = Call.Arguments[0];
  requireTeam(Current, Team);
  // A team can only be removed after its keys have been revoked.
  std::vector<ConfigChange> Changes;
  for (const auto &[Id, Key] : Current.Keys)
    if (Key.Team == Team)
      Changes.emplace_back(RevokeKey{Id});
  Changes.emplace_back(RemoveTeam{Team});
  return propose(Call, Current.Version, Changes);
}

ExitCode listShares(Invocation &Call) {
  const Config Current = readConfig(Call);
  std::int64_t Total = 0;
  for (const auto &[Name, Team] : Current.Teams)
    Total += Team.Share;
  Report Result({"team", "share", "percent"});
  for (const auto &[Name, Team] : Current.Teams)
    Result.add({Name, std::int64_t(Team.Share), Team.Share * Percent / Total});
  Result.print(Call.Out, Call.Json);
  return ExitCode::Success;
}

ExitCode proposeTeam(Invocation &Call, const Config &Current,
                     const OptionValues &Values) {
  const TeamName &Team = Call.Arguments[0];
  return propose(
      Call, Current.Version,
      {SetTeam{Team, applyOptions(Values, requireTeam(Current, Team))}});
}

ExitCode setShare(Invocation &Call) {
  OptionValues Values;
  Values.add("share", Call.Arguments[1]);
  return proposeTeam(Call, readConfig(Call), Values);
}

ExitCode listLimits(Invocation &Call) {
  Report Result(
      {"team", "cpu_millis", "memory_mib", "accelerators", "requests"});
  for (const auto &[Name, Team] : readConfig(Call).Teams) {
    std::vector<Report::Cell> Row = {Name};
    for (Report::Cell &Cell : limitCells(Team.Limit))
      Row.push_back(std::move(Cell));
    Result.add(std::move(Row));
  }
  Result.print(Call.Out, Call.Json);
  return ExitCode::Success;
}

ExitCode setLimits(Invocation &Call) {
  return proposeTeam(Call, readConfig(Call), Call.Options);
}

constexpr std::array Commands = {
    CommandInfo{"teams list", "", "List the teams.", {}, listTeams},
    CommandInfo{"teams set", "TEAM", "Propose a new or changed team.",
                TeamOptions, setTeam},
    CommandInfo{"teams remove",
                "TEAM",
                "Propose to remove a team with its keys.",
                {},
                removeTeam},
    CommandInfo{"shares list", "", "List the shares.", {}, listShares},
    CommandInfo{
        "shares set", "TEAM SHARE", "Propose a team's share.", {}, setShare},
    CommandInfo{"limits list", "", "List the upper limits.", {}, listLimits},
    CommandInfo{"limits set", "TEAM", "Propose a team's upper limits.",
                LimitOptions, setLimits},
};

} // namespace

std::span<const CommandInfo> teamCommands() { return Commands; }

} // namespace apricotwing
