/// \file
/// Client for workers over HTTP.
#ifndef APRICOTWING_HTTPCLIENT_HTTPWORKERCLIENT_H
#define APRICOTWING_HTTPCLIENT_HTTPWORKERCLIENT_H

#include "core/platform.h"
#include "httpclient/httpclient.h"

#include <string>

namespace apricotwing {

/// All calls to workers are idempotent, so they may be resent: lease renewals
/// have absolute deadlines, and starts and stops name their attempt. Owned by
/// the daemon. Thread-safe.
class HttpWorkerClient final : public WorkerClient {
public:
  /// \p Timeout is the limit of each call in milliseconds. \p Client must
  /// outlive this object.
  HttpWorkerClient(HttpClient &Client, Duration Timeout);

  /// See WorkerClient. Thread-safe.
  LeaseAnswer renew(const std::string &Address,
                    const LeaseRenewal &Renewal) override;

  /// See WorkerClient. If the worker has no valid lease, throws
  /// Error(UpstreamFailed) with outcome NotRun. Thread-safe.
  void start(const std::string &Address, const TaskStart &Start) override;

  /// See WorkerClient. Thread-safe.
  void stop(const std::string &Address, const TaskStop &Stop) override;

private:
  std::string post(const std::string &Address, const std::string &Path,
                   std::string Body);

  HttpClient &Client;
  Duration Timeout;
};

} // namespace apricotwing

#endif
