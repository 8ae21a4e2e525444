#include "httpclient/httpupstreamclient.h"

namespace apricotwing {

namespace {

constexpr int StatusNoContent = 204;
constexpr int StatusUnavailable = 503;

/// Largest answer of an upstream that is passed on.
constexpr std::size_t MaxAnswerBytes = std::size_t(16) << 20;

/// Why a complete answer must not be passed on; empty if it may be.
std::string defectOf(const HttpResult &Result, const std::string &RequestId) {
  if (Result.header("apricotwing-request-id") != RequestId)
    return "the answer carries another request id";
  if (Result.Status == StatusNoContent)
    return {};
  if (Result.header("content-length") != std::to_string(Result.Body.size()))
    return "the length of the answer is missing or wrong";
  return {};
}

bool saysLeaving(const HttpResult &Result) {
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
    Answer.Detail = "no time is left";
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
  Call.MaxAnswerBytes = MaxAnswerBytes;
  Call.MaySend = Request.MaySend;
  Call.KeepConnection = [&](const HttpResult &Result) {
    return defectOf(Result, Request.RequestId).empty();
  };
  HttpResult Result = Client.perform(Call);
  Answer.Detail = Result.Detail;
  if (Result.State == TransferState::NotSent) {
    Answer.Result = SendResult::NotSent;
    return Answer;
  }
  if (Result.State == TransferState::InDoubt)
    return Answer;
  Answer.Detail = defectOf(Result, Request.RequestId);
  if (!Answer.Detail.empty())
    return Answer;
  Answer.Result = Result.Status == StatusUnavailable ? SendResult::Refused
                                                     : SendResult::Answered;
  Answer.Status = Result.Status;
  Answer.ContentType = Result.header("content-type");
  Answer.Leaving = saysLeaving(Result);
  Answer.Body = std::move(Result.Body);
  return Answer;
}

} // namespace apricotwing
