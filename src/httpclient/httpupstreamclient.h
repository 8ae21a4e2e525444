/// \file
/// Sends interactive requests to executors over HTTP.
#ifndef APRICOTWING_HTTPCLIENT_HTTPUPSTREAMCLIENT_H
#define APRICOTWING_HTTPCLIENT_HTTPUPSTREAMCLIENT_H

#include "core/platform.h"
#include "httpclient/httpclient.h"

#include <functional>

namespace apricotwing {

/// Sends each request at most once. A non-idempotent request gets a new
/// connection that is closed afterwards, because libcurl sends a POST a second
/// time when a reused connection closes without a response. An idempotent
/// request may use an idle connection, but is not sent twice either. Owned by
/// the daemon. Thread-safe.
class HttpUpstreamClient final : public UpstreamClient {
public:
  /// \p Client must outlive this object.
  explicit HttpUpstreamClient(HttpClient &Client);

  /// See UpstreamClient. The result is Answered or, for status 503, Refused
  /// only if the header Apricotwing-Request-Id holds the request's id and the
  /// Content-Length matches the body. Every other response is InDoubt, and its
  /// connection is closed. Thread-safe.
  UpstreamAnswer send(const UpstreamRequest &Request) override;

private:
  HttpClient &Client;
};

} // namespace apricotwing

#endif
