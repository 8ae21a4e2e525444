/// \file
/// The platform's list of instances over HTTP.
#ifndef APRICOTWING_HTTPCLIENT_HTTPINSTANCELIST_H
#define APRICOTWING_HTTPCLIENT_HTTPINSTANCELIST_H

#include "core/platform.h"
#include "httpclient/httpclient.h"

#include <string>

namespace apricotwing {

/// Reads the list anew with each call. Owned by the daemon; thread-safe.
class HttpInstanceList final : public InstanceList {
public:
  /// \p Url is the list's base URL, \p Timeout the limit in milliseconds for
  /// each call. \p Client must outlive this object.
  HttpInstanceList(HttpClient &Client, std::string Url, Duration Timeout);

  /// See InstanceList. Throws Error(StoreUnavailable) also for a malformed
  /// list. Thread-safe.
  InstanceSnapshot read() override;

private:
  HttpClient &Client;
  std::string Url;
  Duration Timeout;
};

} // namespace apricotwing

#endif
