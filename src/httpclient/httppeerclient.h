/// \file
/// Calls to other entry instances over HTTP.
#ifndef APRICOTWING_HTTPCLIENT_HTTPPEERCLIENT_H
#define APRICOTWING_HTTPCLIENT_HTTPPEERCLIENT_H

#include "core/platform.h"
#include "httpclient/httpclient.h"
#include "wire/runcodec.h"

#include <optional>
#include <string>

namespace apricotwing {

/// A peer that gives no usable answer counts as unreachable. Owned by the
/// daemon; thread-safe.
class HttpPeerClient final : public PeerClient {
public:
  /// \p Timeout is the limit in milliseconds for each call. \p Client must
  /// outlive this object.
  HttpPeerClient(HttpClient &Client, Duration Timeout);

  /// See PeerClient. Does not throw. Thread-safe.
  std::optional<PeerPromise> requestPromise(const std::string &PeerAddress,
                                            const InstanceId &From,
                                            Epoch SessionEpoch) override;

  /// See PeerClient. Does not throw. Thread-safe.
  void notify(const std::string &PeerAddress, const ShardId &Shard) override;

  /// The shard owner's present view of a run; empty if the peer cannot be
  /// reached or does not own the run. Does not throw. Thread-safe.
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
