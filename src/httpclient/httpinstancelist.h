/// \file
/// Client for the platform's instance list over HTTP.
#ifndef APRICOTWING_HTTPCLIENT_HTTPINSTANCELIST_H
#define APRICOTWING_HTTPCLIENT_HTTPINSTANCELIST_H

#include "core/platform.h"
#include "httpclient/httpclient.h"

#include <string>

namespace apricotwing {

/// Fetches the list on every call, without a cache. Owned by the daemon.
/// Thread-safe.
class HttpInstanceList final : public InstanceList {
public:
  /// \p Url is the base URL of the instance list, \p Timeout the limit of each
  /// call in milliseconds. \p Client must outlive this object.
  HttpInstanceList(HttpClient &Client, std::string Url, Duration Timeout);

  /// See InstanceList. A malformed list also throws Error(StoreUnavailable).
  /// Thread-safe.
  InstanceSnapshot read() override;

private:
  HttpClient &Client;
  std::string Url;
  Duration Timeout;
};

} // namespace apricotwing

#endif
