#include "httpclient/httpworkerclient.h"

#include "core/error.h"
#include "wire/errorcodec.h"
#include "wire/platformcodec.h"

namespace apricotwing {

namespace {

constexpr int StatusBadRequest = 400;
constexpr int StatusConflict = 409;
constexpr int StatusNoCapacity = 507;

bool isSuccess(int Status) { return Status >= 200 && Status < 300; }

Error makeCallError(const std::string &Address, const std::string &Reason,
                    Outcome Result) {
  return {ErrorKind::UpstreamFailed, "worker " + Address + ": " + Reason,
          "the call is retried; check the worker if this goes on", Result};
}

Error makeRefusedError(const std::string &Address, const HttpResult &Result) {
  const Error Answer = decodeError(Result.Status, Result.Body);
  const std::string Message = "worker " + Address + ": " + Answer.what();
  if (Result.Status == StatusNoCapacity)
    return {ErrorKind::LimitReached, Message, Answer.remedy()};
  if (Answer.kind() == ErrorKind::StaleEpoch)
    return {ErrorKind::StaleEpoch, Message, Answer.remedy()};
  const bool Refused =
      Result.Status == StatusConflict || Result.Status == StatusBadRequest;
  return makeCallError(Address, Answer.what(),
                       Refused ? Outcome::NotRun : Answer.outcome());
}

} // namespace

HttpWorkerClient::HttpWorkerClient(HttpClient &Client, Duration Timeout)
    : Client(Client), Timeout(Timeout) {}

LeaseAnswer HttpWorkerClient::renew(const std::string &Address,
                                    const LeaseRenewal &Renewal) {
  const std::string Body =
      post(Address, "/v1/lease", encodeLeaseRenewal(Renewal));
  try {
    return decodeLeaseAnswer(Body);
  } catch (const Error &Failure) {
    throw makeCallError(Address,
                        std::string("malformed response: ") + Failure.what(),
                        Outcome::Unknown);
  }
}

void HttpWorkerClient::start(const std::string &Address,
                             const TaskStart &Start) {
  post(Address, "/v1/tasks", encodeTaskStart(Start));
}

void HttpWorkerClient::stop(const std::string &Address, const TaskStop &Stop) {
  post(Address, "/v1/tasks/stop", encodeTaskStop(Stop));
}

std::string HttpWorkerClient::post(const std::string &Address,
                                   const std::string &Path, std::string Body) {
  HttpCall Call;
  Call.Method = "POST";
  Call.Url = "http://" + Address + Path;
  Call.Headers["Content-Type"] = "application/json";
  Call.Body = std::move(Body);
  Call.Timeout = Timeout;
  Call.MayResend = true;
  HttpResult Result = Client.perform(Call);
  if (Result.State != TransferState::Complete)
    throw makeCallError(Address, Result.Detail,
                        Result.State == TransferState::NotSent
                            ? Outcome::NotRun
                            : Outcome::Unknown);
  if (!isSuccess(Result.Status))
    throw makeRefusedError(Address, Result);
  return std::move(Result.Body);
}

} // namespace apricotwing
