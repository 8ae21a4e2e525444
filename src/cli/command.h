/// \file
/// A command of the command line and what it is given when it runs.
#ifndef APRICOTWING_CLI_COMMAND_H
#define APRICOTWING_CLI_COMMAND_H

#include "cli/apiclient.h"

#include <cstdint>
#include <map>
#include <optional>
#include <ostream>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace apricotwing {

/// The command line itself is wrong: exit code 2. Immutable.
class UsageError : public std::runtime_error {
public:
  /// \p Problem says what is wrong, \p Remedy what to write instead.
  UsageError(const std::string &Problem, std::string Remedy);

  /// What to write instead. Thread-safe.
  const std::string &remedy() const { return Remedy; }

private:
  std::string Remedy;
};

/// Exit codes of the program.
enum class ExitCode { Success = 0, Failed = 1, BadUsage = 2 };

/// An option of one command or of all commands.
struct OptionInfo {
  std::string_view Name;    ///< Without the dashes.
  std::string_view Value;   ///< Name of its value; empty: a flag.
  std::string_view Default; ///< Empty: none.
  std::string_view Help;
};

/// Values of the options that were given or have a default. A value type.
class OptionValues {
public:
  /// Adds a value; an option may have several. Not thread-safe.
  void add(const std::string &Name, const std::string &Value);

  /// True if the option was given or has a default. Thread-safe.
  bool has(const std::string &Name) const;

  /// The last value, or an empty text. Thread-safe.
  std::string text(const std::string &Name) const;

  /// All values in their order. Thread-safe.
  std::vector<std::string> texts(const std::string &Name) const;

  /// The last value as a whole number; empty if there is none. Throws
  /// UsageError if it is no number within \p Least and \p Most. Thread-safe.
  std::optional<std::int64_t>
  number(const std::string &Name, std::int64_t Least, std::int64_t Most) const;

private:
  std::map<std::string, std::vector<std::string>> Values;
};

/// What a command is given when it runs. Lives as long as the command.
struct Invocation {
  std::vector<std::string> Arguments;
  OptionValues Options;
  bool Json = false;
  ApiClient &Client;
  PauseFunction Pause;
  std::istream &In;
  std::ostream &Out;
  std::ostream &Err;
};

/// One row of the command table, which serves the parser, the help text and
/// the test of the documentation.
struct CommandInfo {
  std::string_view Name;      ///< One or two words.
  std::string_view Arguments; ///< As in a synopsis; "[X]" may be left out.
  std::string_view Summary;
  std::span<const OptionInfo> Options;
  ExitCode (*Run)(Invocation &Call);
};

} // namespace apricotwing

#endif
