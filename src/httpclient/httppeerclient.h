/// \file
/// Client for other entry instances over HTTP.
#ifndef APRICOTWING_HTTPCLIENT_HTTPPEERCLIENT_H
#define APRICOTWING_HTTPCLIENT_HTTPPEERCLIENT_H

#include "core/platform.h"
#include "httpclient/httpclient.h"
#include "wire/runcodec.h"

#include <optional>
#include <string>

namespace apricotwing {

/// A peer whose response is missing or malformed counts as unreachable. Owned
/// by the daemon. Thread-safe.
class HttpPeerClient final : public PeerClient {
public:
  /// \p Timeout is the limit of each call in milliseconds. \p Client must
  /// outlive this object.
  HttpPeerClient(HttpClient &Client, Duration Timeout);

  /// See PeerClient. Does not throw. Thread-safe.
  std::optional<PeerPromise> requestPromise(const std::string &PeerAddress,
                                            const InstanceId &From,
                                            Epoch SessionEpoch) override;

  /// See PeerClient. Does not throw. Thread-safe.
  void notify(const std::string &PeerAddress, const ShardId &Shard) override;

  /// Fetches the current view of a run from the owner of its shard; empty if
  /// the peer cannot be reached or does not schedule the run. Does not throw.
  /// Thread-safe.
  std::optional<RunView> runView(const std::string &PeerAddress,
                                 const TeamName &Team, const RunId &Run);

private:
  std::optional<std::string> perform(const std::string &Method,
                                     const std::string &PeerAddress,
                                     const std::string &Path, std::string Body);

  HttpClient &Client;
  Duration Timeout;
};

} // namespace apricotwing

#endif
