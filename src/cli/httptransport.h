/// \file
/// The command line's transport over the HTTP client.
#ifndef APRICOTWING_CLI_HTTPTRANSPORT_H
#define APRICOTWING_CLI_HTTPTRANSPORT_H

#include "cli/transport.h"
#include "httpclient/httpclient.h"

namespace apricotwing {

/// Sends each request once, on a new connection: on a reused connection,
/// libcurl could send the request a second time. Created by main().
class HttpTransport final : public Transport {
public:
  /// See Transport. Not thread-safe.
  ApiAnswer send(const ApiRequest &Request) override;

private:
  HttpClient Client;
};

} // namespace apricotwing

#endif
