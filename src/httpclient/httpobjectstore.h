/// \file
/// Client for the platform's object store over HTTP.
#ifndef APRICOTWING_HTTPCLIENT_HTTPOBJECTSTORE_H
#define APRICOTWING_HTTPCLIENT_HTTPOBJECTSTORE_H

#include "core/platform.h"
#include "httpclient/httpclient.h"

#include <string>

namespace apricotwing {

/// Each call writes, reads or deletes one whole object and is idempotent.
/// Owned by the daemon. Thread-safe.
class HttpObjectStore final : public ObjectStore {
public:
  /// \p Url is the base URL of the store, \p Timeout the limit of each call in
  /// milliseconds. \p Client must outlive this object.
  HttpObjectStore(HttpClient &Client, std::string Url, Duration Timeout);

  /// See ObjectStore. After an error the object may have the old or the new
  /// content. Thread-safe.
  void put(const std::string &Name, const std::string &Content) override;

  /// See ObjectStore. Thread-safe.
  std::optional<std::string> read(const std::string &Name) override;

  /// See ObjectStore. Thread-safe.
  void remove(const std::string &Name) override;

private:
  HttpResult perform(const std::string &Method, const std::string &Name,
                     const std::string &Content = {});

  HttpClient &Client;
  std::string Url;
  Duration Timeout;
};

} // namespace apricotwing

#endif
