#include "httpclient/httpinstancelist.h"

#include "core/error.h"
#include "wire/platformcodec.h"

namespace apricotwing {

namespace {

constexpr int StatusOk = 200;

Error makeUnavailableError(const std::string &Reason) {
  return {ErrorKind::StoreUnavailable, "instance list: " + Reason,
          "try again later; check the instance list and [list] url"};
}

} // namespace

HttpInstanceList::HttpInstanceList(HttpClient &Client, std::string Url,
                                   Duration Timeout)
    : Client(Client), Url(std::move(Url)), Timeout(Timeout) {
  while (this->Url.ends_with('/'))
    this->Url.pop_back();
}

InstanceSnapshot HttpInstanceList::read() {
  HttpCall Call;
  Call.Url = Url + "/v1/instances";
  Call.Timeout = Timeout;
  Call.MayResend = true;
  const HttpResult Result = Client.perform(Call);
  if (Result.State != TransferState::Complete)
    throw makeUnavailableError(Result.Detail);
  if (Result.Status != StatusOk)
    throw makeUnavailableError("status " + std::to_string(Result.Status));
  try {
    return decodeInstanceSnapshot(Result.Body);
  } catch (const Error &Failure) {
    throw makeUnavailableError(std::string("malformed response: ") +
                               Failure.what());
  }
}

} // namespace apricotwing
