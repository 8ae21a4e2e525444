/// \file
/// Blocking HTTP calls on libcurl.
#ifndef APRICOTWING_HTTPCLIENT_HTTPCLIENT_H
#define APRICOTWING_HTTPCLIENT_HTTPCLIENT_H

#include "core/time.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>

namespace apricotwing {

/// How one call ended.
enum class TransferState {
  Complete, ///< The whole answer arrived.
  NotSent,  ///< No byte of the request was written.
  InDoubt,  ///< The request may have arrived; there is no whole answer.
};

/// Whether a call may use a connection again, before or after it.
enum class ConnectionUse { Reused, Fresh };

/// What came back. Header names are in lower case.
struct HttpResult {
  TransferState State = TransferState::InDoubt;
  int Status = 0;
  std::map<std::string, std::string> Headers;
  std::string Body;
  std::string Detail; ///< Why the answer is missing; for logs and errors.
  bool ConnectionRefused =
      false; ///< If NotSent: the host answered that nobody listens.

  /// Value of the header with the lower-case name \p Name; empty if absent.
  /// Thread-safe.
  std::string_view header(const std::string &Name) const;
};

/// One request.
struct HttpCall {
  std::string Method = "GET"; ///< GET, POST, PUT or DELETE.
  std::string Url;            ///< Absolute, scheme http.
  std::map<std::string, std::string> Headers;
  std::string Body;
  Duration ConnectTimeout{1000};
  Duration Timeout{2000}; ///< For the whole call, connecting included.
  ConnectionUse Connections = ConnectionUse::Reused;

  /// Whether the request may be written again within this call, which
  /// libcurl does when a reused connection closes without an answer.
  bool MayResend = false;
  std::size_t MaxAnswerBytes = std::size_t(64) << 20;

  /// Asked once the connection is open, right before the first byte is
  /// written; false ends the call as NotSent. May be empty.
  std::function<bool()> MaySend;

  /// Asked about a complete answer; if it returns false, the connection is
  /// closed. May be empty.
  std::function<bool(const HttpResult &)> KeepConnection;
};

/// Bytes on the wire as libcurl counts them, headers included.
struct HttpTraffic {
  std::uint64_t BytesSent = 0;
  std::uint64_t BytesReceived = 0;
  std::uint64_t Calls = 0;
};

/// Performs HTTP calls, each in the thread of its caller. Keeps idle
/// connections per address, at most as many as there were calls to that
/// address at the same time. Redirects and proxies are never used. Owned by
/// the daemon and shared by all adapters; thread-safe.
class HttpClient {
public:
  /// Initialises libcurl once per process.
  HttpClient();
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// Performs \p Call and blocks for at most its timeout. Does not throw;
  /// every failure is in the result. Thread-safe.
  HttpResult perform(const HttpCall &Call);

  /// Sums over all calls so far. Thread-safe.
  HttpTraffic traffic() const;

private:
  /// An idle libcurl handle with at most one open connection.
  struct IdleHandle {
    std::string Address;
    void *Handle = nullptr;
  };

  void *takeHandle(const std::string &Address);
  void returnHandle(const std::string &Address, void *Handle);
  void countTraffic(void *Handle);

  std::mutex Mutex;
  std::list<IdleHandle> Idle; ///< Most recently used first.
  std::atomic<std::uint64_t> BytesSent{0};
  std::atomic<std::uint64_t> BytesReceived{0};
  std::atomic<std::uint64_t> Calls{0};
};

/// \p Text with every byte escaped that has a meaning in a URL's path, except
/// the slash. Thread-safe.
std::string escapePath(const std::string &Text);

} // namespace apricotwing

#endif
