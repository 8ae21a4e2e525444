/// \file
/// Client for the platform's table service over HTTP.
#ifndef APRICOTWING_HTTPCLIENT_HTTPTABLESERVICE_H
#define APRICOTWING_HTTPCLIENT_HTTPTABLESERVICE_H

#include "core/tableservice.h"
#include "httpclient/httpclient.h"

#include <string>

namespace apricotwing {

/// Sends a transaction at most once per call, so that a reported conflict is
/// never caused by an earlier write of the same call. Owned by the daemon.
/// Thread-safe.
class HttpTableService final : public TableService {
public:
  /// \p Url is the base URL of the service, \p Timeout the limit of each call
  /// in milliseconds. \p Client must outlive this object.
  HttpTableService(HttpClient &Client, std::string Url, Duration Timeout);

  /// See TableService. Throws Error(StoreUnavailable) if the service could not
  /// be reached or responded with 503, Error(Internal) if it rejected the
  /// transaction as malformed, and Error(StoreUnknownOutcome) after a timeout
  /// or any other response. Thread-safe.
  CommitResult transact(const Transaction &Change) override;

  /// See TableService. Thread-safe.
  std::optional<Row> read(const std::string &Key) override;

  /// See TableService. Reads as many pages as needed if the pages of the
  /// service are smaller than \p Limit. Thread-safe.
  std::vector<Row> scan(const std::string &Prefix,
                        const std::string &After = {},
                        std::uint32_t Limit = 1000) override;

private:
  HttpCall post(const std::string &Path, std::string Body) const;
  std::string query(const std::string &Path, std::string Body);

  HttpClient &Client;
  std::string Url;
  Duration Timeout;
};

} // namespace apricotwing

#endif
