#include "httpclient/httpupstreamclient.h"

namespace apricotwing {

namespace {

constexpr int StatusNoContent = 204;
constexpr int StatusUnavailable = 503;

/// Maximum size of an upstream's response body.
constexpr std::size_t MaxResponseBytes = std::size_t(16) << 20;

/// Returns why a complete response must not be passed on; empty if it is
/// valid.
std::string findDefect(const HttpResult &Result, const std::string &RequestId) {
  if (Result.header("apricotwing-request-id") != RequestId)
    return "the response has a different request id";
  if (Result.Status == StatusNoContent)
    return {};
  if (Result.header("content-length") != std::to_string(Result.Body.size()))
    return "the Content-Length of the response is missing or wrong";
  return {};
}

bool isLeaving(const HttpResult &Result) {
  const std::string_view Leaving = Result.header("apricotwing-leaving");
  if (!Leaving.empty())
    return Leaving != "false";
  const std::string_view Connection = Result.header("connection");
  return Result.Status == StatusUnavailable &&
         (Connection == "close" || Connection == "Close");
}

} // namespace

HttpUpstreamClient::HttpUpstreamClient(HttpClient &Client) : Client(Client) {}

UpstreamAnswer HttpUpstreamClient::send(const UpstreamRequest &Request) {
  UpstreamAnswer Answer;
  if (Request.Timeout <= Duration(0)) {
    Answer.Result = SendResult::NotSent;
    Answer.Detail = "the deadline has passed";
    return Answer;
  }
  HttpCall Call;
  Call.Method = "POST";
  Call.Url = "http://" + Request.Address + "/";
  Call.Headers["Apricotwing-Request-Id"] = Request.RequestId;
  Call.Headers["Content-Type"] = Request.ContentType;
  Call.Body = Request.Body;
  Call.Timeout = Request.Timeout;
  Call.Connections =
      Request.Idempotent ? ConnectionUse::Reused : ConnectionUse::Fresh;
  Call.MaxResponseBytes = MaxResponseBytes;
  Call.MaySend = Request.MaySend;
  Call.KeepConnection = [&](const HttpResult &Result) {
    return findDefect(Result, Request.RequestId).empty();
  };
  HttpResult Result = Client.perform(Call);
  Answer.Detail = Result.Detail;
  if (Result.State == TransferState::NotSent) {
    Answer.Result = SendResult::NotSent;
    return Answer;
  }
  if (Result.State == TransferState::InDoubt)
    return Answer;
  Answer.Detail = findDefect(Result, Request.RequestId);
  if (!Answer.Detail.empty())
    return Answer;
  Answer.Result = Result.Status == StatusUnavailable ? SendResult::Refused
                                                     : SendResult::Answered;
  Answer.Status = Result.Status;
  Answer.ContentType = Result.header("content-type");
  Answer.Leaving = isLeaving(Result);
  Answer.Body = std::move(Result.Body);
  return Answer;
}

} // namespace apricotwing
