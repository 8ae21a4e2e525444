/// \file
/// Calls to the API of the instances, with a choice among several servers.
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

/// When a failed call may be sent again, to this or to the next server.
enum class RepeatPolicy {
  IfNotRun, ///< Only if it certainly did not run.
  Always,   ///< Also if it may have run: it has the same effect twice.
};

struct ApiCall {
  std::string Method = "GET";
  std::string Path; ///< With the query.
  std::string Body = {};
  std::map<std::string, std::string> Headers = {};
  RepeatPolicy Repeat = RepeatPolicy::IfNotRun;
  std::uint32_t Rounds = 1; ///< Times that all servers are tried.
};

/// \p Text as one segment of a path or one value of a query. Thread-safe.
std::string escapeForUrl(std::string_view Text);

/// Waits for a time; tests replace it.
using PauseFunction = std::function<void(Duration)>;

/// Sends calls to the first server that answers. A failure that another
/// server does not share (no connection, no authority, draining, store
/// unavailable) leads to the next server if the policy of the call allows it.
/// Owned by one run of the command line; not thread-safe.
class ApiClient {
public:
  struct Options {
    std::vector<std::string> Servers; ///< "http://ip:port" each.
    std::string Key;                  ///< Empty: no Authorization header.
    Duration Timeout{0};              ///< Of one exchange.
  };

  /// \p Network must outlive this object.
  ApiClient(Transport &Network, Options Settings, PauseFunction Pause);

  /// Body of a successful answer. Throws UsageError if there is no server, and
  /// the Error of the last server that was tried; its outcome is NotRun only if
  /// no attempt can have run. Not
  /// thread-safe.
  std::string call(const ApiCall &Call);

private:
  std::string callRounds(const ApiCall &Call);
  std::string callRound(const ApiCall &Call);
  std::string callServer(const ApiCall &Call, const std::string &Server);

  Transport &Network;
  const Options Settings;
  const PauseFunction Pause;
  std::size_t Current = 0; ///< The server that answered last.
  bool MayHaveRun = false; ///< An attempt of the present call has no outcome.
};

} // namespace apricotwing

#endif
