#include "cli/commandline.h"

#include "cli/clustercommands.h"
#include "cli/configcommands.h"
#include "cli/keycommands.h"
#include "cli/keyfile.h"
#include "cli/labelcommands.h"
#include "cli/requestcommands.h"
#include "cli/runcommands.h"
#include "cli/teamcommands.h"
#include "core/secret.h"

#include <boost/program_options/cmdline.hpp>
#include <boost/program_options/errors.hpp>
#include <boost/program_options/options_description.hpp>
#include <boost/program_options/parsers.hpp>
#include <boost/program_options/positional_options.hpp>

#include <algorithm>
#include <array>
#include <iomanip>
#include <optional>
#include <sstream>
#include <utility>

namespace apricotwing {

namespace {

namespace po = boost::program_options;

constexpr const char *PositionalOption = "words";
constexpr int CommandColumnWidth = 30;
constexpr int OptionColumnWidth = 28;
constexpr std::int64_t MaxTimeoutMs = 600'000;

constexpr std::array CommonOptionRows = {
    OptionInfo{"server", "URLS", "",
               "http://ip:port of an instance, or several separated by commas; "
               "else APRICOTWING_SERVER"},
    OptionInfo{"key-file", "FILE", "",
               "file with the key of the team or owner; else APRICOTWING_KEY"},
    OptionInfo{"timeout-ms", "N", "15000", "time for one answer"},
    OptionInfo{"json", "", "", "output for programs"},
    OptionInfo{"help", "", "", "show the help of the command"},
    OptionInfo{"version", "", "", "show the version"},
};

std::vector<std::string> splitWords(std::string_view Text) {
  std::istringstream Input{std::string(Text)};
  std::vector<std::string> Result;
  for (std::string Word; Input >> Word;)
    Result.push_back(Word);
  return Result;
}

std::vector<std::string> splitServers(const std::string &Text) {
  std::istringstream Input(Text);
  std::vector<std::string> Result;
  for (std::string Server; std::getline(Input, Server, ',');) {
    if (Server.ends_with('/'))
      Server.pop_back();
    if (!Server.starts_with("http://"))
      throw UsageError("'" + Server + "' is not the address of a server",
                       "write http://ip:port, several separated by commas");
    Result.push_back(Server);
  }
  return Result;
}

const OptionInfo *findOption(std::span<const OptionInfo> Options,
                             std::string_view Name) {
  const auto Found =
      std::find_if(Options.begin(), Options.end(),
                   [&](const OptionInfo &Info) { return Info.Name == Name; });
  return Found == Options.end() ? nullptr : &*Found;
}

/// The command that an argument list names, and the remaining arguments.
struct CommandMatch {
  const CommandInfo *Command = nullptr;
  std::vector<std::string> Rest;
};

// Returns the position of the command's name in the argument list. Options of
// all commands may precede it; one that needs a value consumes the next
// argument too.
std::size_t commandPosition(const std::vector<std::string> &Arguments) {
  std::size_t Position = 0;
  while (Position < Arguments.size() && Arguments[Position].starts_with("--")) {
    const std::string Name = Arguments[Position].substr(2);
    const OptionInfo *Info = findOption(CommonOptionRows, Name);
    Position += Info && !Info->Value.empty() ? 2 : 1;
  }
  return std::min(Position, Arguments.size());
}

bool isCommandAt(const CommandInfo &Command,
                 const std::vector<std::string> &Arguments, std::size_t First) {
  const std::vector<std::string> Name = splitWords(Command.Name);
  return First + Name.size() <= Arguments.size() &&
         std::equal(Name.begin(), Name.end(),
                    Arguments.begin() + static_cast<std::ptrdiff_t>(First));
}

CommandMatch findCommand(const std::vector<CommandInfo> &Table,
                         const std::vector<std::string> &Arguments) {
  const std::size_t First = commandPosition(Arguments);
  for (const CommandInfo &Command : Table) {
    if (!isCommandAt(Command, Arguments, First))
      continue;
    CommandMatch Result{&Command, Arguments};
    const auto Begin = Result.Rest.begin() + static_cast<std::ptrdiff_t>(First);
    const auto Words =
        static_cast<std::ptrdiff_t>(splitWords(Command.Name).size());
    Result.Rest.erase(Begin, Begin + Words);
    return Result;
  }
  return {nullptr, Arguments};
}

void addOptions(po::options_description &Target,
                std::span<const OptionInfo> Options) {
  for (const OptionInfo &Info : Options) {
    const std::string Name(Info.Name);
    const std::string Help(Info.Help);
    if (Info.Value.empty())
      Target.add_options()(Name.c_str(), Help.c_str());
    else
      Target.add_options()(Name.c_str(), po::value<std::string>(),
                           Help.c_str());
  }
}

/// Positional arguments and options of one command.
struct ParsedArguments {
  std::vector<std::string> Positional;
  OptionValues Options;
};

void addDefaults(OptionValues &Target, std::span<const OptionInfo> Options) {
  for (const OptionInfo &Info : Options)
    if (!Info.Default.empty() && !Target.has(std::string(Info.Name)))
      Target.add(std::string(Info.Name), std::string(Info.Default));
}

po::parsed_options parseOptions(const std::vector<std::string> &Arguments,
                                std::span<const OptionInfo> Options) {
  po::options_description Known;
  addOptions(Known, CommonOptionRows);
  addOptions(Known, Options);
  Known.add_options()(PositionalOption, po::value<std::string>());
  po::positional_options_description Positions;
  Positions.add(PositionalOption, -1);
  // Abbreviated option names are rejected, since the meaning of one could
  // change when an option is added.
  constexpr int Style = po::command_line_style::unix_style &
                        ~po::command_line_style::allow_guessing;
  return po::command_line_parser(Arguments)
      .options(Known)
      .positional(Positions)
      .style(Style)
      .run();
}

ParsedArguments parseArguments(const std::vector<std::string> &Arguments,
                               std::span<const OptionInfo> Options) {
  ParsedArguments Result;
  try {
    for (const po::option &Option : parseOptions(Arguments, Options).options) {
      const std::string Value =
          Option.value.empty() ? std::string() : Option.value.front();
      if (Option.string_key == PositionalOption)
        Result.Positional.push_back(Value);
      else
        Result.Options.add(Option.string_key, Value);
    }
  } catch (const po::error &Failure) {
    throw UsageError(Failure.what(), "see the command's --help; keys come from "
                                     "--key-file or APRICOTWING_KEY");
  }
  addDefaults(Result.Options, CommonOptionRows);
  addDefaults(Result.Options, Options);
  return Result;
}

void checkArgumentCount(const CommandInfo &Command,
                        const std::vector<std::string> &Positional) {
  const std::vector<std::string> Synopsis = splitWords(Command.Arguments);
  const auto Required =
      std::count_if(Synopsis.begin(), Synopsis.end(),
                    [](const std::string &Word) { return Word[0] != '['; });
  if (Positional.size() >= static_cast<std::size_t>(Required) &&
      Positional.size() <= Synopsis.size())
    return;
  throw UsageError("wrong number of arguments for '" +
                       std::string(Command.Name) + "'",
                   "write: apricotwing " + std::string(Command.Name) + " " +
                       std::string(Command.Arguments));
}

ApiClient makeClient(const OptionValues &Options,
                     const CommandLineContext &Context) {
  const std::string Servers =
      Options.has("server") ? Options.value("server") : Context.ServerVariable;
  ApiClient::Options Settings;
  Settings.Servers = splitServers(Servers);
  const std::string File = Options.value("key-file");
  Settings.Key =
      File.empty() ? checkedKey(Context.KeyVariable) : readKeyFile(File);
  Settings.Timeout =
      Duration(Options.number("timeout-ms", 1, MaxTimeoutMs).value());
  return {Context.Network, std::move(Settings), Context.Pause};
}

ExitCode runCommand(const CommandMatch &Found,
                    const CommandLineContext &Context) {
  const CommandInfo &Command = *Found.Command;
  ParsedArguments Parsed = parseArguments(Found.Rest, Command.Options);
  if (Parsed.Options.has("help")) {
    Context.Out << commandHelp(Command);
    return ExitCode::Success;
  }
  checkArgumentCount(Command, Parsed.Positional);
  ApiClient Client = makeClient(Parsed.Options, Context);
  const bool Json = Parsed.Options.has("json");
  Invocation Call{std::move(Parsed.Positional),
                  std::move(Parsed.Options),
                  Json,
                  Client,
                  Context.Pause,
                  Context.In,
                  Context.Out,
                  Context.Err};
  return Command.Run(Call);
}

ExitCode runWithoutCommand(const std::vector<std::string> &Arguments,
                           const CommandLineContext &Context) {
  const ParsedArguments Parsed = parseArguments(Arguments, {});
  if (Parsed.Options.has("version")) {
    Context.Out << "apricotwing " << APRICOTWING_VERSION << "\n";
    return ExitCode::Success;
  }
  if (Parsed.Options.has("help")) {
    Context.Out << commandLineHelp();
    return ExitCode::Success;
  }
  const std::string Problem =
      Parsed.Positional.empty()
          ? "no command is given"
          : "unknown command '" + Parsed.Positional.front() + "'";
  throw UsageError(Problem, "apricotwing --help lists the commands");
}

ExitCode reportFailure(const CommandLineContext &Context,
                       const std::string &Message, const std::string &Remedy,
                       ExitCode Code) {
  Context.Err << "apricotwing: " << redactSecrets(Message) << "\n"
              << "remedy: " << redactSecrets(Remedy) << "\n";
  return Code;
}

void printOptions(std::ostream &Out, std::span<const OptionInfo> Options) {
  for (const OptionInfo &Info : Options) {
    std::string Name = "  --" + std::string(Info.Name);
    if (!Info.Value.empty())
      Name += " " + std::string(Info.Value);
    Out << std::left << std::setw(OptionColumnWidth) << Name << " "
        << Info.Help;
    if (!Info.Default.empty())
      Out << " (default " << Info.Default << ")";
    Out << "\n";
  }
}

} // namespace

std::vector<CommandInfo> commandTable() {
  std::vector<CommandInfo> Result;
  for (const auto Group :
       {runCommands(), requestCommands(), configCommands(), teamCommands(),
        keyCommands(), labelCommands(), clusterCommands()})
    Result.insert(Result.end(), Group.begin(), Group.end());
  return Result;
}

std::span<const OptionInfo> commonOptions() { return CommonOptionRows; }

std::string commandLineHelp() {
  std::ostringstream Out;
  Out << "usage: apricotwing COMMAND [ARGUMENTS] [OPTIONS]\n\ncommands:\n";
  for (const CommandInfo &Command : commandTable()) {
    const std::string Synopsis =
        std::string(Command.Name) + " " + std::string(Command.Arguments);
    Out << "  " << std::left << std::setw(CommandColumnWidth) << Synopsis << " "
        << Command.Summary << "\n";
  }
  Out << "\noptions of all commands:\n";
  printOptions(Out, CommonOptionRows);
  Out << "\nexit code: 0 success, 1 the request failed, 2 bad usage\n";
  return Out.str();
}

std::string commandHelp(const CommandInfo &Command) {
  std::ostringstream Out;
  Out << "usage: apricotwing " << Command.Name;
  if (!Command.Arguments.empty())
    Out << " " << Command.Arguments;
  Out << " [OPTIONS]\n\n" << Command.Summary << "\n";
  if (!Command.Options.empty()) {
    Out << "\noptions:\n";
    printOptions(Out, Command.Options);
  }
  Out << "\noptions of all commands:\n";
  printOptions(Out, CommonOptionRows);
  return Out.str();
}

ExitCode runCommandLine(const std::vector<std::string> &Arguments,
                        const CommandLineContext &Context) {
  try {
    const std::vector<CommandInfo> Table = commandTable();
    const CommandMatch Found = findCommand(Table, Arguments);
    return Found.Command ? runCommand(Found, Context)
                         : runWithoutCommand(Arguments, Context);
  } catch (const UsageError &Failure) {
    return reportFailure(Context, Failure.what(), Failure.remedy(),
                         ExitCode::BadUsage);
  } catch (const Error &Failure) {
    const std::string Message = std::string(errorCode(Failure.kind())) + " (" +
                                std::string(outcomeName(Failure.outcome())) +
                                "): " + Failure.what();
    return reportFailure(Context, Message, Failure.remedy(), ExitCode::Failed);
  } catch (const std::exception &Failure) {
    return reportFailure(Context, Failure.what(),
                         "report this fault with the command that caused it",
                         ExitCode::Failed);
  }
}

} // namespace apricotwing
