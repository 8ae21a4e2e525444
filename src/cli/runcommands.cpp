#include "cli/runcommands.h"

#include "cli/report.h"
#include "httpclient/crypto.h"
#include "wire/runcodec.h"

#include <array>
#include <fstream>
#include <iterator>
#include <utility>

namespace apricotwing {

namespace {

constexpr std::uint32_t SubmitRounds = 6;
constexpr std::int64_t MaxPageLimit = 1000;
constexpr std::int64_t MaxAttemptsLimit = 100;
constexpr std::int64_t MaxWaitSeconds = 30LL * 86400;
constexpr std::int64_t MinIntervalMs = 100;
constexpr std::int64_t MaxIntervalMs = 60'000;

// While no server can be reached, `wait` polls for this long before it fails.
constexpr Duration MaxUnreachableTime{60'000};

constexpr std::array SubmitOptions = {
    OptionInfo{"kind", "KIND", "batch", "batch, gang or service"},
    OptionInfo{"tasks", "N", "1", "number of tasks"},
    OptionInfo{"cpu-millis", "N", "1000", "thousandths of a core per task"},
    OptionInfo{"memory-mib", "N", "256", "MiB of memory per task"},
    OptionInfo{"accelerators", "N", "0", "accelerators per task"},
    OptionInfo{"estimate-seconds", "N", "60", "expected run time of a task"},
    OptionInfo{"priority", "NAME", "normal", "normal or urgent"},
    OptionInfo{"selector", "LABEL=VALUE", "",
               "label that a worker must have; may be repeated"},
    OptionInfo{"max-attempts", "N", "3", "attempts per task"},
    OptionInfo{"on-lost", "NAME", "restart",
               "restart or fail a task whose outcome is lost"},
    OptionInfo{"checkpointable", "", "", "tasks can continue a checkpoint"},
    OptionInfo{"idempotency-key", "TEXT", "",
               "the same key never starts a second run; else generated"},
    OptionInfo{"payload", "TEXT", "", "text for the worker"},
    OptionInfo{"payload-file", "FILE", "", "file with the text for the worker"},
};

constexpr std::array ListOptions = {
    OptionInfo{"after", "RUN", "", "only runs after this one"},
    OptionInfo{"limit", "N", "100", "at most so many runs"},
};

constexpr std::array WaitOptions = {
    OptionInfo{"interval-ms", "N", "1000", "time between two looks"},
    OptionInfo{"timeout-seconds", "N", "", "give up after this time"},
};

void addSelector(RunSpec &Spec, const std::string &Term) {
  const std::size_t Equals = Term.find('=');
  if (Equals == std::string::npos || Equals == 0)
    throw UsageError("--selector " + Term + " is not accepted",
                     "write LABEL=VALUE");
  Spec.Selector[Term.substr(0, Equals)] = Term.substr(Equals + 1);
}

std::string readPayload(const OptionValues &Options) {
  if (!Options.has("payload-file"))
    return Options.value("payload");
  if (Options.has("payload"))
    throw UsageError("--payload and --payload-file exclude each other",
                     "give one of them");
  std::ifstream Input(Options.value("payload-file"), std::ios::binary);
  if (!Input)
    throw UsageError("cannot read " + Options.value("payload-file"),
                     "give the path of a file that can be read");
  return {std::istreambuf_iterator(Input), {}};
}

template <typename Number>
Number numberOption(const OptionValues &Options, const std::string &Name,
                    std::int64_t Min, std::int64_t Max) {
  return static_cast<Number>(Options.number(Name, Min, Max).value_or(Min));
}

// Parses an option whose value is the name of an enumerator. An unknown name is
// an error in the command line.
template <typename Parser>
auto enumOption(const OptionValues &Options, const std::string &Name,
                Parser Parse) {
  try {
    return Parse(Options.value(Name));
  } catch (const Error &Failure) {
    throw UsageError("--" + Name + ": " + Failure.what(), Failure.remedy());
  }
}

RunSpec parseRunSpec(const OptionValues &Options) {
  RunSpec Spec;
  Spec.Kind = enumOption(Options, "kind", parseRunKind);
  Spec.Urgency = enumOption(Options, "priority", parsePriority);
  Spec.OnLost = enumOption(Options, "on-lost", parseLostPolicy);
  Spec.Tasks = numberOption<std::uint32_t>(Options, "tasks", 1, MaxTasksPerRun);
  Spec.PerTask = {
      numberOption<std::int64_t>(Options, "cpu-millis", 0, MaxCpuMillisPerTask),
      numberOption<std::int64_t>(Options, "memory-mib", 0, MaxMemoryMibPerTask),
      numberOption<std::int64_t>(Options, "accelerators", 0,
                                 MaxAcceleratorsPerTask)};
  Spec.EstimateSeconds = numberOption<std::uint32_t>(
      Options, "estimate-seconds", 0, MaxEstimateSeconds);
  Spec.MaxAttempts =
      numberOption<std::uint32_t>(Options, "max-attempts", 1, MaxAttemptsLimit);
  Spec.Checkpointable = Options.has("checkpointable");
  Spec.IdempotencyKey = Options.value("idempotency-key");
  for (const std::string &Term : Options.values("selector"))
    addSelector(Spec, Term);
  Spec.Payload = readPayload(Options);
  return Spec;
}

// After an unknown outcome, replaces the server's remedy by one that contains
// the idempotency key, which may be generated.
[[noreturn]] void failSubmission(const Error &Failure, const RunSpec &Spec) {
  const std::string Remedy = Failure.outcome() == Outcome::Unknown
                                 ? "repeat with --idempotency-key " +
                                       Spec.IdempotencyKey +
                                       "; it cannot start a second run"
                                 : Failure.remedy();
  throw Error(Failure.kind(), Failure.what(), Remedy, Failure.outcome());
}

RunAccepted sendSubmission(Invocation &Call, const RunSpec &Spec) {
  try {
    return decodeRunAccepted(Call.Client.call({.Method = "POST",
                                               .Path = "/v1/runs",
                                               .Body = encodeRunSpec(Spec),
                                               .Retry = RetryPolicy::Always,
                                               .MaxRounds = SubmitRounds}));
  } catch (const Error &Failure) {
    failSubmission(Failure, Spec);
  }
}

ExitCode submit(Invocation &Call) {
  RunSpec Spec = parseRunSpec(Call.Options);
  if (Spec.IdempotencyKey.empty())
    Spec.IdempotencyKey = "cli-" + randomId();
  validate(Spec);
  // Printed before the call, so that the user can repeat an interrupted command
  // with the same key.
  Call.Err << "idempotency key: " << Spec.IdempotencyKey << "\n";
  const RunAccepted Answer = sendSubmission(Call, Spec);
  if (!Call.Json) {
    Call.Out << Answer.Run << "\n";
    return ExitCode::Success;
  }
  Report Result({"run", "state", "idempotency_key"});
  Result.add({Answer.Run, std::string(runStateName(Answer.State)),
              Spec.IdempotencyKey});
  Result.printSingle(Call.Out, true);
  return ExitCode::Success;
}

RunView readRun(Invocation &Call, const RunId &Run) {
  return decodeRunView(Call.Client.call(
      {.Path = "/v1/runs/" + escapeForUrl(Run), .Retry = RetryPolicy::Always}));
}

std::int64_t toSigned(std::uint32_t Value) { return Value; }

ExitCode status(Invocation &Call) {
  const RunView View = readRun(Call, Call.Arguments[0]);
  const RunRecord &Run = View.Record;
  Report Result({"run", "team", "kind", "priority", "state", "tasks", "pending",
                 "running", "succeeded", "failed", "reason", "why_pending"});
  Result.add({Run.Id, Run.Team, std::string(runKindName(Run.Spec.Kind)),
              std::string(priorityName(Run.Spec.Urgency)),
              std::string(runStateName(Run.State)), toSigned(Run.Spec.Tasks),
              toSigned(View.PendingTasks), toSigned(Run.Running),
              toSigned(Run.Succeeded), toSigned(Run.Failed), Run.Reason,
              View.PendingReason});
  Result.printSingle(Call.Out, Call.Json);
  return ExitCode::Success;
}

ExitCode list(Invocation &Call) {
  const auto Limit =
      numberOption<std::int64_t>(Call.Options, "limit", 1, MaxPageLimit);
  std::string Path = "/v1/runs?limit=" + std::to_string(Limit);
  if (Call.Options.has("after"))
    Path += "&after=" + escapeForUrl(Call.Options.value("after"));
  const RunPage Page = decodeRunPage(
      Call.Client.call({.Path = Path, .Retry = RetryPolicy::Always}));
  Report Result({"run", "kind", "state", "tasks", "pending", "running",
                 "succeeded", "failed"});
  for (const RunView &View : Page.Runs)
    Result.add({View.Record.Id, std::string(runKindName(View.Record.Spec.Kind)),
                std::string(runStateName(View.Record.State)),
                toSigned(View.Record.Spec.Tasks), toSigned(View.PendingTasks),
                toSigned(View.Record.Running), toSigned(View.Record.Succeeded),
                toSigned(View.Record.Failed)});
  Result.print(Call.Out, Call.Json);
  if (Page.HasMore && !Page.Runs.empty())
    Call.Err << "more runs: --after " << Page.Runs.back().Record.Id << "\n";
  return ExitCode::Success;
}

std::string describeProgress(const RunView &View) {
  const RunRecord &Run = View.Record;
  std::string Line = std::string(runStateName(Run.State)) + ": " +
                     std::to_string(Run.Succeeded) + " of " +
                     std::to_string(Run.Spec.Tasks) + " tasks succeeded, " +
                     std::to_string(Run.Running) + " running, " +
                     std::to_string(View.PendingTasks) + " waiting, " +
                     std::to_string(Run.Failed) + " failed";
  const std::string &Reason =
      Run.Reason.empty() ? View.PendingReason : Run.Reason;
  return Reason.empty() ? Line : Line + " (" + Reason + ")";
}

bool isWorthRetrying(const Error &Failure) {
  switch (Failure.kind()) {
  case ErrorKind::BadRequest:
  case ErrorKind::UnknownKey:
  case ErrorKind::Forbidden:
  case ErrorKind::NotFound:
    return false;
  default:
    return true;
  }
}

/// Polls one run until it reaches a final state. Used by one `wait` command.
class RunPoller {
public:
  RunPoller(Invocation &Call, RunId Run)
      : Call(Call), Run(std::move(Run)),
        Interval(numberOption<std::int64_t>(Call.Options, "interval-ms",
                                            MinIntervalMs, MaxIntervalMs)) {
    if (const auto Limit =
            Call.Options.number("timeout-seconds", 1, MaxWaitSeconds))
      Timeout = std::chrono::seconds(*Limit);
  }

  RunView waitForEnd() {
    while (true) {
      poll();
      if (isFinal(LatestView.Record.State))
        return LatestView;
      if (Elapsed >= Timeout)
        throw Error(ErrorKind::DeadlineExceeded,
                    "run " + Run + " has not ended within the time given",
                    "wait again; the run goes on", Outcome::Unknown);
      Call.Pause(Interval);
      Elapsed += Interval;
    }
  }

private:
  void poll() {
    try {
      LatestView = readRun(Call, Run);
      LastAnswerAt = Elapsed;
    } catch (const Error &Failure) {
      if (!isWorthRetrying(Failure) ||
          Elapsed - LastAnswerAt >= MaxUnreachableTime)
        throw;
      showProgress(std::string("no answer: ") + Failure.what());
      return;
    }
    showProgress(describeProgress(LatestView));
  }

  void showProgress(const std::string &Line) {
    if (Line != LastProgress)
      Call.Err << Line << "\n" << std::flush;
    LastProgress = Line;
  }

  Invocation &Call;
  const RunId Run;
  const Duration Interval;
  Duration Timeout = Duration::max();
  Duration Elapsed{0}; ///< Sum of the pauses; excludes the calls themselves.
  Duration LastAnswerAt{0};
  RunView LatestView;
  std::string LastProgress;
};

ExitCode wait(Invocation &Call) {
  const RunView View = RunPoller(Call, Call.Arguments[0]).waitForEnd();
  const RunRecord &Run = View.Record;
  Report Result({"run", "state", "succeeded", "failed", "reason"});
  Result.add({Run.Id, std::string(runStateName(Run.State)),
              toSigned(Run.Succeeded), toSigned(Run.Failed), Run.Reason});
  Result.printSingle(Call.Out, Call.Json);
  return Run.State == RunState::Succeeded ? ExitCode::Success
                                          : ExitCode::Failed;
}

ExitCode cancel(Invocation &Call) {
  const RunId &Run = Call.Arguments[0];
  Call.Client.call({.Method = "POST",
                    .Path = "/v1/runs/" + escapeForUrl(Run) + "/cancel",
                    .Retry = RetryPolicy::Always,
                    .MaxRounds = SubmitRounds});
  Report Result({"run", "cancellation"});
  Result.add({Run, "requested"});
  Result.printSingle(Call.Out, Call.Json);
  return ExitCode::Success;
}

constexpr std::array Commands = {
    CommandInfo{"submit", "", "Submit a run and print its id.", SubmitOptions,
                submit},
    CommandInfo{"status", "RUN", "Show a run and why it waits.", {}, status},
    CommandInfo{"list", "", "List the runs of the team.", ListOptions, list},
    CommandInfo{"wait", "RUN", "Wait for the end of a run, with its progress.",
                WaitOptions, wait},
    CommandInfo{"cancel", "RUN", "Cancel a run.", {}, cancel},
};

} // namespace

std::span<const CommandInfo> runCommands() { return Commands; }

} // namespace apricotwing
