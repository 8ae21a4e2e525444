#include "cli/labelcommands.h"

#include "cli/proposal.h"
#include "cli/report.h"

#include <array>

namespace apricotwing {

namespace {

ExitCode listLabels(Invocation &Call) {
  Report Result({"worker", "label", "value"});
  for (const auto &[Worker, OwnLabels] : readConfig(Call).WorkerLabels)
    for (const auto &[Label, Value] : OwnLabels)
      Result.add({Worker, Label, Value});
  Result.print(Call.Out, Call.Json);
  return ExitCode::Success;
}

ExitCode setLabel(Invocation &Call) {
  return propose(
      Call, readConfig(Call).Version,
      {SetLabel{Call.Arguments[0], Call.Arguments[1], Call.Arguments[2]}});
}

ExitCode removeLabel(Invocation &Call) {
  return propose(Call, readConfig(Call).Version,
                 {RemoveLabel{Call.Arguments[0], Call.Arguments[1]}});
}

constexpr std::array Commands = {
    CommandInfo{
        "labels list", "", "List the labels of workers.", {}, listLabels},
    CommandInfo{"labels set",
                "WORKER LABEL VALUE",
                "Propose a label of a worker.",
                {},
                setLabel},
    CommandInfo{"labels remove",
                "WORKER LABEL",
                "Propose to remove a label of a worker.",
                {},
                removeLabel},
};

} // namespace

std::span<const CommandInfo> labelCommands() { return Commands; }

} // namespace apricotwing
