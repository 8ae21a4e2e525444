/// \file
/// Typed errors. Every error that reaches a caller or an operator has a kind
/// with a stable code, a message and a remedy.
#ifndef APRICOTWING_CORE_ERROR_H
#define APRICOTWING_CORE_ERROR_H

#include <stdexcept>
#include <string>
#include <string_view>

namespace apricotwing {

/// What kind of failure an Error stands for; its code is errorCode().
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

/// Whether the work of a failed request ran.
enum class Outcome {
  Done,    ///< It ran and its answer is known.
  NotRun,  ///< It certainly did not run and will not run.
  Unknown, ///< It may have run or may still run.
};

/// Stable code of \p Kind for JSON bodies and logs, for example
/// "config_conflict". Thread-safe.
std::string_view errorCode(ErrorKind Kind);

/// HTTP status that goes with \p Kind. Thread-safe.
int httpStatus(ErrorKind Kind);

/// Kind for a stable code; Internal if the code is unknown. Thread-safe.
ErrorKind errorKindFromCode(std::string_view Code);

/// "done", "not_run" or "unknown". Thread-safe.
std::string_view outcomeName(Outcome Value);

/// Outcome for a name; Unknown if the name is unknown. Thread-safe.
Outcome outcomeFromName(std::string_view Name);

/// The exception that all parts throw. Immutable, so const access is
/// thread-safe.
class Error : public std::runtime_error {
public:
  /// \p Message says what happened, \p Remedy what the reader can do.
  Error(ErrorKind Kind, const std::string &Message, std::string Remedy,
        Outcome Result = Outcome::NotRun);

  /// Kind of this failure. Thread-safe.
  ErrorKind kind() const { return Kind; }

  /// What the reader can do about it. Thread-safe.
  const std::string &remedy() const { return Remedy; }

  /// Whether the request ran. Thread-safe.
  Outcome outcome() const { return Result; }

private:
  ErrorKind Kind;
  std::string Remedy;
  Outcome Result;
};

} // namespace apricotwing

#endif
