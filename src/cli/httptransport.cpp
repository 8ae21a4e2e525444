#include "cli/httptransport.h"

#include "core/error.h"

#include <utility>

namespace apricotwing {

ApiAnswer HttpTransport::send(const ApiRequest &Request) {
  HttpCall Call;
  Call.Method = Request.Method;
  Call.Url = Request.Url;
  Call.Headers = Request.Headers;
  Call.Body = Request.Body;
  Call.Timeout = Request.Timeout;
  Call.Connections = ConnectionUse::Fresh;
  HttpResult Result = Client.perform(Call);
  if (Result.State == TransferState::Complete)
    return {Result.Status, std::move(Result.Body)};
  const bool NotSent = Result.State == TransferState::NotSent;
  throw Error(ErrorKind::UpstreamFailed,
              "no answer from " + Request.Url + ": " + Result.Detail,
              NotSent ? "check the address, or add another one to --server"
                      : "look at the state before you repeat the command; "
                        "it may have taken effect",
              NotSent ? Outcome::NotRun : Outcome::Unknown);
}

} // namespace apricotwing
