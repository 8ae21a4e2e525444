/// \file
/// Error type of the project. Every error that reaches a caller or an operator
/// has a kind with a stable code, a message and a remedy.
#ifndef APRICOTWING_CORE_ERROR_H
#define APRICOTWING_CORE_ERROR_H

#include <stdexcept>
#include <string>
#include <string_view>

namespace apricotwing {

/// Category of a failure; errorCode() returns its stable code.
enum class ErrorKind {
  BadRequest,
  UnknownKey,
  Forbidden,
  SameOwner,
  NotFound,
  ConfigConflict,
  IdempotencyConflict,
  TooLarge,
  SlowRequest,
  Overloaded,
  LimitReached,
  UpstreamFailed,
  NoAuthority,
  StoreUnavailable,
  StoreConflict,
  StoreUnknownOutcome,
  Draining,
  DeadlineExceeded,
  StaleEpoch,
  BadSettings,
  Internal,
};

/// Whether a request was executed.
enum class Outcome {
  Done,    ///< It ran and its response is known.
  NotRun,  ///< It did not run and will not run.
  Unknown, ///< It may have run or may still run.
};

/// Returns the stable code of \p Kind for JSON bodies and logs, for example
/// "config_conflict". Thread-safe.
std::string_view errorCode(ErrorKind Kind);

/// Returns the HTTP status code for \p Kind. Thread-safe.
int httpStatus(ErrorKind Kind);

/// Returns the kind for a stable code, or Internal if the code is unknown.
/// Thread-safe.
ErrorKind errorKindFromCode(std::string_view Code);

/// Returns "done", "not_run" or "unknown". Thread-safe.
std::string_view outcomeName(Outcome Value);

/// Returns the outcome for a name, or Unknown if the name is unknown.
/// Thread-safe.
Outcome outcomeFromName(std::string_view Name);

/// The exception type that all components throw. Immutable, so const access is
/// thread-safe.
class Error : public std::runtime_error {
public:
  /// \p Message describes the failure and \p Remedy what the reader can do
  /// about it.
  Error(ErrorKind Kind, const std::string &Message, std::string Remedy,
        Outcome Result = Outcome::NotRun);

  /// Returns the kind of failure. Thread-safe.
  ErrorKind kind() const { return Kind; }

  /// Returns what the reader can do about the failure. Thread-safe.
  const std::string &remedy() const { return Remedy; }

  /// Returns whether the request ran. Thread-safe.
  Outcome outcome() const { return Result; }

private:
  ErrorKind Kind;
  std::string Remedy;
  Outcome Result;
};

} // namespace apricotwing

#endif
