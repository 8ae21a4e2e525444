/// \file
/// Port: one HTTP exchange between the command line and an instance.
#ifndef APRICOTWING_CLI_TRANSPORT_H
#define APRICOTWING_CLI_TRANSPORT_H

#include "core/time.h"

#include <map>
#include <string>

namespace apricotwing {

struct ApiRequest {
  std::string Method;
  std::string Url; ///< With server, path and query.
  std::map<std::string, std::string> Headers;
  std::string Body;
  Duration Timeout{0};
};

struct ApiAnswer {
  int Status = 0;
  std::string Body;
};

/// Sends requests of the command line. Used by one thread.
class Transport {
public:
  virtual ~Transport() = default;

  /// Sends once and waits for the whole answer, whatever its status. Never
  /// sends twice. Throws Error(UpstreamFailed) with outcome NotRun if no byte
  /// was sent, and with outcome Unknown otherwise. Not thread-safe.
  virtual ApiAnswer send(const ApiRequest &Request) = 0;
};

} // namespace apricotwing

#endif
