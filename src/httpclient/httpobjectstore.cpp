#include "httpclient/httpobjectstore.h"

#include "core/error.h"

namespace apricotwing {

namespace {

constexpr int StatusNotFound = 404;

bool isSuccess(int Status) { return Status >= 200 && Status < 300; }

Error makeUnavailableError(const std::string &Reason) {
  return {ErrorKind::StoreUnavailable, "object store: " + Reason,
          "try again later; check the object store and [objects] url"};
}

} // namespace

HttpObjectStore::HttpObjectStore(HttpClient &Client, std::string Url,
                                 Duration Timeout)
    : Client(Client), Url(std::move(Url)), Timeout(Timeout) {
  while (this->Url.ends_with('/'))
    this->Url.pop_back();
}

void HttpObjectStore::put(const std::string &Name, const std::string &Content) {
  const HttpResult Result = perform("PUT", Name, Content);
  if (!isSuccess(Result.Status))
    throw makeUnavailableError("status " + std::to_string(Result.Status));
}

std::optional<std::string> HttpObjectStore::read(const std::string &Name) {
  HttpResult Result = perform("GET", Name);
  if (Result.Status == StatusNotFound)
    return std::nullopt;
  if (!isSuccess(Result.Status))
    throw makeUnavailableError("status " + std::to_string(Result.Status));
  return std::move(Result.Body);
}

void HttpObjectStore::remove(const std::string &Name) {
  const HttpResult Result = perform("DELETE", Name);
  if (!isSuccess(Result.Status) && Result.Status != StatusNotFound)
    throw makeUnavailableError("status " + std::to_string(Result.Status));
}

HttpResult HttpObjectStore::perform(const std::string &Method,
                                    const std::string &Name,
                                    const std::string &Content) {
  HttpCall Call;
  Call.Method = Method;
  Call.Url = Url + "/v1/objects/" + escapePath(Name);
  Call.Body = Content;
  Call.Timeout = Timeout;
  Call.MayResend = true;
  if (Method == "PUT")
    Call.Headers["Content-Type"] = "application/octet-stream";
  HttpResult Result = Client.perform(Call);
  if (Result.State != TransferState::Complete)
    throw makeUnavailableError(Result.Detail);
  return Result;
}

} // namespace apricotwing
