#include "httpclient/httppeerclient.h"

#include "core/error.h"
#include "wire/peercodec.h"

namespace apricotwing {

namespace {

constexpr int StatusOk = 200;

} // namespace

HttpPeerClient::HttpPeerClient(HttpClient &Client, Duration Timeout)
    : Client(Client), Timeout(Timeout) {}

std::optional<PeerPromise>
HttpPeerClient::requestPromise(const std::string &PeerAddress,
                               const InstanceId &From, Epoch SessionEpoch) {
  const std::optional<std::string> Body =
      perform("POST", PeerAddress, "/peer/v1/promise",
              encodePromiseRequest({From, SessionEpoch}));
  if (!Body)
    return std::nullopt;
  try {
    return decodePromise(*Body);
  } catch (const Error &) {
    return std::nullopt;
  }
}

void HttpPeerClient::notify(const std::string &PeerAddress,
                            const ShardId &Shard) {
  (void)perform("POST", PeerAddress, "/peer/v1/notify", encodeNotify(Shard));
}

std::optional<RunView> HttpPeerClient::runView(const std::string &PeerAddress,
                                               const TeamName &Team,
                                               const RunId &Run) {
  const std::string Path =
      "/peer/v1/runs/" + escapePath(Team) + "/" + escapePath(Run);
  const std::optional<std::string> Body = perform("GET", PeerAddress, Path, {});
  if (!Body)
    return std::nullopt;
  try {
    return decodeRunView(*Body);
  } catch (const Error &) {
    return std::nullopt;
  }
}

std::optional<std::string>
HttpPeerClient::perform(const std::string &Method,
                        const std::string &PeerAddress, const std::string &Path,
                        std::string Body) {
  HttpCall Call;
  Call.Method = Method;
  Call.Url = "http://" + PeerAddress + Path;
  if (Method == "POST")
    Call.Headers["Content-Type"] = "application/json";
  Call.Body = std::move(Body);
  Call.Timeout = Timeout;
  Call.MayResend = true;
  HttpResult Result = Client.perform(Call);
  if (Result.State != TransferState::Complete || Result.Status != StatusOk)
    return std::nullopt;
  return std::move(Result.Body);
}

} // namespace apricotwing
