/// \file
/// Port: sends HTTP requests of the command line to an instance.
#ifndef APRICOTWING_CLI_TRANSPORT_H
#define APRICOTWING_CLI_TRANSPORT_H

#include "core/time.h"

#include <map>
#include <string>

namespace apricotwing {

/// An HTTP request to one server.
struct ApiRequest {
  std::string Method;
  std::string Url; ///< Includes server, path and query.
  std::map<std::string, std::string> Headers;
  std::string Body;
  Duration Timeout{0};
};

/// An HTTP response with any status.
struct ApiAnswer {
  int Status = 0;
  std::string Body;
};

/// Sends requests of the command line. Used by one thread.
class Transport {
public:
  virtual ~Transport() = default;

  /// Sends \p Request once, never twice, and waits for the whole response,
  /// whatever its status. If there is none, throws Error(UpstreamFailed) with
  /// outcome NotRun if no byte was sent, and with outcome Unknown otherwise.
  /// Not thread-safe.
  virtual ApiAnswer send(const ApiRequest &Request) = 0;
};

} // namespace apricotwing

#endif
