#include "cli/requestcommands.h"

#include <array>
#include <fstream>
#include <iterator>

namespace apricotwing {

namespace {

constexpr std::int64_t MaxDeadlineMs = 10'000;

constexpr std::array RequestOptions = {
    OptionInfo{"data", "TEXT", "", "body of the request"},
    OptionInfo{"data-file", "FILE", "",
               "file with the body; - for standard input"},
    OptionInfo{"content-type", "TYPE", "application/json", "type of the body"},
    OptionInfo{"deadline-ms", "N", "2000", "time for the answer"},
    OptionInfo{"idempotent", "", "",
               "the request may run more than once; allows retries"},
};

std::string readBody(const Invocation &Call) {
  if (!Call.Options.has("data-file"))
    return Call.Options.value("data");
  if (Call.Options.has("data"))
    throw UsageError("--data and --data-file exclude each other",
                     "give one of them");
  const std::string Path = Call.Options.value("data-file");
  if (Path == "-")
    return {std::istreambuf_iterator(Call.In), {}};
  std::ifstream Input(Path, std::ios::binary);
  if (!Input)
    throw UsageError("cannot read " + Path,
                     "give the path of a file that can be read");
  return {std::istreambuf_iterator(Input), {}};
}

ExitCode request(Invocation &Call) {
  const bool IsIdempotent = Call.Options.has("idempotent");
  const auto Deadline =
      Call.Options.number("deadline-ms", 1, MaxDeadlineMs).value();
  const std::string Answer = Call.Client.call(
      {.Method = "POST",
       .Path = "/v1/request/" + escapeForUrl(Call.Arguments[0]),
       .Body = readBody(Call),
       .Headers = {{"Content-Type", Call.Options.value("content-type")},
                   {"Apricotwing-Idempotent", IsIdempotent ? "true" : "false"},
                   {"Apricotwing-Deadline-Ms", std::to_string(Deadline)}},
       .Retry = IsIdempotent ? RetryPolicy::Always : RetryPolicy::IfNotRun});
  // The answer comes from the upstream and is printed unchanged.
  Call.Out << Answer;
  return ExitCode::Success;
}

constexpr std::array Commands = {
    CommandInfo{"request", "UPSTREAM",
                "Send an interactive request and print its answer.",
                RequestOptions, request},
};

} // namespace

std::span<const CommandInfo> requestCommands() { return Commands; }

} // namespace apricotwing
