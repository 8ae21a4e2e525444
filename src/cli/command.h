/// \file
/// Commands of the command line, their options and their context at run time.
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

/// An error in the command line itself; the program exits with code 2.
/// Immutable.
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
  std::string_view Name;    ///< Without the leading dashes.
  std::string_view Value;   ///< Placeholder of the value; empty: a flag.
  std::string_view Default; ///< Default value; empty: none.
  std::string_view Help;
};

/// Values of the options that were given or have a default. A value type.
class OptionValues {
public:
  /// Adds a value of an option, which may have several. Not thread-safe.
  void add(const std::string &Name, const std::string &Value);

  /// Returns true if the option was given or has a default. Thread-safe.
  bool has(const std::string &Name) const;

  /// Returns the last value, or an empty string. Thread-safe.
  std::string value(const std::string &Name) const;

  /// Returns all values in the order given. Thread-safe.
  std::vector<std::string> values(const std::string &Name) const;

  /// Parses the last value as an integer; returns std::nullopt if there is no
  /// value. Throws UsageError if it is not an integer from \p Min to \p Max.
  /// Thread-safe.
  std::optional<std::int64_t> number(const std::string &Name, std::int64_t Min,
                                     std::int64_t Max) const;

private:
  std::map<std::string, std::vector<std::string>> Values;
};

/// Arguments and environment of a command. Exists while the command runs.
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

/// An entry of the command table. The parser, the help text and the test of
/// the documentation use this table.
struct CommandInfo {
  std::string_view Name;      ///< One or two words.
  std::string_view Arguments; ///< Synopsis; "[X]" is an optional argument.
  std::string_view Summary;
  std::span<const OptionInfo> Options;
  ExitCode (*Run)(Invocation &Call);
};

} // namespace apricotwing

#endif
