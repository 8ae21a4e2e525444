/// \file
/// Sends interactive requests to executors over HTTP.
#ifndef APRICOTWING_HTTPCLIENT_HTTPUPSTREAMCLIENT_H
#define APRICOTWING_HTTPCLIENT_HTTPUPSTREAMCLIENT_H

#include "core/platform.h"
#include "httpclient/httpclient.h"

#include <functional>

namespace apricotwing {

/// Writes each request to at most one connection. A non-idempotent request
/// gets a new connection that is closed after it, because libcurl writes a
/// POST a second time when a reused connection closes without an answer; an
/// idempotent one may use an idle connection, but is not written twice either.
/// Owned by the daemon; thread-safe.
class HttpUpstreamClient final : public UpstreamClient {
public:
  /// \p Client must outlive this object.
  explicit HttpUpstreamClient(HttpClient &Client);

  /// See UpstreamClient. Answered needs a Content-Length that matches the
  /// body and the request's id in Apricotwing-Request-Id; Refused needs a 503
  /// with that id. Every other answer is InDoubt and its connection is
  /// closed. Thread-safe.
  UpstreamAnswer send(const UpstreamRequest &Request) override;

private:
  HttpClient &Client;
};

} // namespace apricotwing

#endif
