/// \file
/// Adapter of the command line's transport to the HTTP client.
#ifndef APRICOTWING_CLI_HTTPTRANSPORT_H
#define APRICOTWING_CLI_HTTPTRANSPORT_H

#include "cli/transport.h"
#include "httpclient/httpclient.h"

namespace apricotwing {

/// Sends each request once, over a connection of its own: on a reused one,
/// libcurl could send a request a second time. Created by main().
class HttpTransport final : public Transport {
public:
  /// See Transport. Not thread-safe.
  ApiAnswer send(const ApiRequest &Request) override;

private:
  HttpClient Client;
};

} // namespace apricotwing

#endif
