/// \file
/// The platform's table service over HTTP.
#ifndef APRICOTWING_HTTPCLIENT_HTTPTABLESERVICE_H
#define APRICOTWING_HTTPCLIENT_HTTPTABLESERVICE_H

#include "core/tableservice.h"
#include "httpclient/httpclient.h"

#include <string>

namespace apricotwing {

/// Sends each transaction at most once per call, so that a conflict is never
/// the echo of a write that the same call had made. Owned by the daemon;
/// thread-safe.
class HttpTableService final : public TableService {
public:
  /// \p Url is the service's base URL, \p Timeout the limit in milliseconds
  /// for each call. \p Client must outlive this object.
  HttpTableService(HttpClient &Client, std::string Url, Duration Timeout);

  /// See TableService. Throws Error(StoreUnavailable) if the service could
  /// not be reached or answered 503, Error(Internal) if it rejected the
  /// transaction as malformed, and Error(StoreUnknownOutcome) for a timeout
  /// or an answer that cannot be used. Thread-safe.
  CommitResult transact(const Transaction &Change) override;

  /// See TableService. Thread-safe.
  std::optional<Row> read(const std::string &Key) override;

  /// See TableService; reads several pages if the service's pages are
  /// smaller than \p Limit. Thread-safe.
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
