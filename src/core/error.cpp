#include "core/error.h"

#include <array>
#include <utility>

namespace apricotwing {

namespace {

struct ErrorKindRow {
  ErrorKind Kind;
  std::string_view Code;
  int Status;
};

constexpr std::array ErrorKinds = {
    ErrorKindRow{ErrorKind::BadRequest, "bad_request", 400},
    ErrorKindRow{ErrorKind::UnknownKey, "unknown_key", 401},
    ErrorKindRow{ErrorKind::Forbidden, "forbidden", 403},
    ErrorKindRow{ErrorKind::SameOwner, "same_owner", 403},
    ErrorKindRow{ErrorKind::NotFound, "not_found", 404},
    ErrorKindRow{ErrorKind::ConfigConflict, "config_conflict", 409},
    ErrorKindRow{ErrorKind::IdempotencyConflict, "idempotency_conflict", 409},
    ErrorKindRow{ErrorKind::TooLarge, "too_large", 413},
    ErrorKindRow{ErrorKind::SlowRequest, "slow_request", 408},
    ErrorKindRow{ErrorKind::Overloaded, "overloaded", 429},
    ErrorKindRow{ErrorKind::LimitReached, "limit_reached", 429},
    ErrorKindRow{ErrorKind::UpstreamFailed, "upstream_failed", 502},
    ErrorKindRow{ErrorKind::NoAuthority, "no_authority", 503},
    ErrorKindRow{ErrorKind::StoreUnavailable, "store_unavailable", 503},
    ErrorKindRow{ErrorKind::StoreConflict, "store_conflict", 409},
    ErrorKindRow{ErrorKind::StoreUnknownOutcome, "store_unknown_outcome", 503},
    ErrorKindRow{ErrorKind::Draining, "draining", 503},
    ErrorKindRow{ErrorKind::DeadlineExceeded, "deadline_exceeded", 504},
    ErrorKindRow{ErrorKind::StaleEpoch, "stale_epoch", 409},
    ErrorKindRow{ErrorKind::BadSettings, "bad_settings", 500},
    ErrorKindRow{ErrorKind::Internal, "internal", 500},
};

constexpr std::array<std::pair<Outcome, std::string_view>, 3> OutcomeNames = {{
    {Outcome::Done, "done"},
    {Outcome::NotRun, "not_run"},
    {Outcome::Unknown, "unknown"},
}};

const ErrorKindRow &rowOf(ErrorKind Kind) {
  for (const ErrorKindRow &Row : ErrorKinds)
    if (Row.Kind == Kind)
      return Row;
  return ErrorKinds.back();
}

} // namespace

std::string_view errorCode(ErrorKind Kind) { return rowOf(Kind).Code; }

int httpStatus(ErrorKind Kind) { return rowOf(Kind).Status; }

ErrorKind errorKindFromCode(std::string_view Code) {
  for (const ErrorKindRow &Row : ErrorKinds)
    if (Row.Code == Code)
      return Row.Kind;
  return ErrorKind::Internal;
}

std::string_view outcomeName(Outcome Value) {
  for (const auto &[Known, Name] : OutcomeNames)
    if (Known == Value)
      return Name;
  return "unknown";
}

Outcome outcomeFromName(std::string_view Name) {
  for (const auto &[Known, KnownName] : OutcomeNames)
    if (KnownName == Name)
      return Known;
  return Outcome::Unknown;
}

Error::Error(ErrorKind Kind, const std::string &Message, std::string Remedy,
             Outcome Result)
    : std::runtime_error(Message), Kind(Kind), Remedy(std::move(Remedy)),
      Result(Result) {}

} // namespace apricotwing
