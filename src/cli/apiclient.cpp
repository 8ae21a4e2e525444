#include "cli/apiclient.h"

#include "cli/command.h"
#include "wire/errorcodec.h"

#include <cctype>
#include <utility>

namespace apricotwing {

namespace {

constexpr Duration InitialBackoff{500};
constexpr std::uint32_t MaxBackoffDoublings = 4; // Up to 8 s.
constexpr int FirstSuccessStatus = 200;
constexpr int FirstRedirectStatus = 300;

// Returns true if another server, or the same one later, may answer
// differently.
bool isTransient(ErrorKind Kind) {
  switch (Kind) {
  case ErrorKind::NoAuthority:
  case ErrorKind::StoreUnavailable:
  case ErrorKind::StoreUnknownOutcome:
  case ErrorKind::Draining:
  case ErrorKind::UpstreamFailed:
  case ErrorKind::DeadlineExceeded:
    return true;
  default:
    return false;
  }
}

bool mayRetry(const Error &Failure, RetryPolicy Policy) {
  if (!isTransient(Failure.kind()))
    return false;
  return Policy == RetryPolicy::Always || Failure.outcome() == Outcome::NotRun;
}

} // namespace

std::string escapeForUrl(std::string_view Text) {
  constexpr std::string_view Digits = "0123456789ABCDEF";
  std::string Result;
  for (const unsigned char Char : Text) {
    if (std::isalnum(Char) || Char == '-' || Char == '_' || Char == '.') {
      Result += static_cast<char>(Char);
      continue;
    }
    Result += '%';
    Result += Digits[Char >> 4];
    Result += Digits[Char & 15];
  }
  return Result;
}

ApiClient::ApiClient(Transport &Network, Options Settings, PauseFunction Pause)
    : Network(Network), Settings(std::move(Settings)), Pause(std::move(Pause)) {
}

std::string ApiClient::call(const ApiCall &Call) {
  if (Settings.Servers.empty())
    throw UsageError("no server is given",
                     "write --server http://ip:port or set APRICOTWING_SERVER");
  MayHaveRun = false;
  try {
    return callWithRetries(Call);
  } catch (const Error &Failure) {
    if (!MayHaveRun || Failure.outcome() == Outcome::Unknown)
      throw;
    throw Error(Failure.kind(),
                std::string(Failure.what()) +
                    "; an earlier attempt may have run",
                Failure.remedy(), Outcome::Unknown);
  }
}

std::string ApiClient::callWithRetries(const ApiCall &Call) {
  Duration Backoff = InitialBackoff;
  for (std::uint32_t Round = 1; Round < Call.MaxRounds; ++Round) {
    try {
      return callAnyServer(Call);
    } catch (const Error &Failure) {
      if (!mayRetry(Failure, Call.Retry))
        throw;
    }
    Pause(Backoff);
    if (Round <= MaxBackoffDoublings)
      Backoff *= 2;
  }
  return callAnyServer(Call);
}

std::string ApiClient::callAnyServer(const ApiCall &Call) {
  const std::size_t First = Current;
  for (std::size_t Attempt = 1; Attempt < Settings.Servers.size(); ++Attempt) {
    try {
      return callServer(Call, Settings.Servers[Current]);
    } catch (const Error &Failure) {
      if (!mayRetry(Failure, Call.Retry))
        throw;
    }
    Current = (First + Attempt) % Settings.Servers.size();
  }
  return callServer(Call, Settings.Servers[Current]);
}

std::string ApiClient::callServer(const ApiCall &Call,
                                  const std::string &Server) {
  ApiRequest Request{Call.Method, Server + Call.Path, Call.Headers, Call.Body,
                     Settings.Timeout};
  if (!Settings.Key.empty())
    Request.Headers["Authorization"] = "Bearer " + Settings.Key;
  if (!Call.Body.empty())
    Request.Headers.try_emplace("Content-Type", "application/json");
  try {
    ApiAnswer Answer = Network.send(Request);
    if (Answer.Status >= FirstSuccessStatus &&
        Answer.Status < FirstRedirectStatus)
      return std::move(Answer.Body);
    throw decodeError(Answer.Status, Answer.Body);
  } catch (const Error &Failure) {
    MayHaveRun = MayHaveRun || Failure.outcome() != Outcome::NotRun;
    throw;
  }
}

} // namespace apricotwing
