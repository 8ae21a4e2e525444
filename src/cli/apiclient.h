/// \file
/// Client for the API of the instances, with failover between servers.
#ifndef APRICOTWING_CLI_APICLIENT_H
#define APRICOTWING_CLI_APICLIENT_H

#include "cli/transport.h"
#include "core/error.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace apricotwing {

/// When a failed call may be sent again, to the same or to another server.
enum class RetryPolicy {
  IfNotRun, ///< Only if the call certainly did not run.
  Always,   ///< Also if it may have run. For idempotent calls only.
};

/// A call of the API, without the server that it is sent to.
struct ApiCall {
  std::string Method = "GET";
  std::string Path; ///< Includes the query.
  std::string Body = {};
  std::map<std::string, std::string> Headers = {};
  RetryPolicy Retry = RetryPolicy::IfNotRun;
  /// How often the whole list of servers is tried.
  std::uint32_t MaxRounds = 1;
};

/// Percent-encodes \p Text for a path segment or a query value. Thread-safe.
std::string escapeForUrl(std::string_view Text);

/// Sleeps for a duration; tests replace it.
using PauseFunction = std::function<void(Duration)>;

/// Sends each call to one server after the other until one answers it. The next
/// server is tried only after a failure that it may not share (no connection,
/// no authority, draining, store unavailable), and only if the call's retry
/// policy allows it. Starts with the server that answered last. Owned by one
/// run of the command line; not thread-safe.
class ApiClient {
public:
  struct Options {
    std::vector<std::string> Servers; ///< "http://ip:port" each.
    std::string Key;                  ///< Empty: no Authorization header.
    Duration Timeout{0};              ///< For one request and its response.
  };

  /// \p Network must outlive this object.
  ApiClient(Transport &Network, Options Settings, PauseFunction Pause);

  /// Sends \p Call and returns the body of the successful response. Throws
  /// UsageError if no server is configured. If all attempts fail, throws the
  /// Error of the last one; its outcome is NotRun only if no attempt can have
  /// run. Not thread-safe.
  std::string call(const ApiCall &Call);

private:
  std::string callWithRetries(const ApiCall &Call);
  std::string callAnyServer(const ApiCall &Call);
  std::string callServer(const ApiCall &Call, const std::string &Server);

  Transport &Network;
  const Options Settings;
  const PauseFunction Pause;
  std::size_t Current = 0; ///< Index of the server to try first.
  bool MayHaveRun = false; ///< An attempt of the current call may have run.
};

} // namespace apricotwing

#endif
