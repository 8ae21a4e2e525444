/// \file
/// A small blocking HTTP/1.1 server and client for the soak's stand-ins. One
/// thread serves each connection.
#ifndef APRICOTWING_SOAK_HTTP_H
#define APRICOTWING_SOAK_HTTP_H

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace apricotwing::soak {

struct Request {
  std::string Method, Path, Query, Body;
  std::map<std::string, std::string> Headers;
  int Connection = -1; ///< Open while the request is being served.
  /// Whether the caller has reset the connection. One that was closed in the
  /// usual way, or by a caller that gave up, has not been.
  bool isReset() const;
  std::string query(const std::string &Name) const;
};

struct Response {
  int Status = 0; ///< 0: no answer, the connection is closed.
  std::string Body;
};

/// Listens on one address. close() ends the listener and all connections at
/// once, as the end of a process does.
class Server {
public:
  using Handler = std::function<Response(const Request &)>;
  Server(const std::string &Ip, int Port, Handler Serve);
  ~Server() { close(); }
  void close();

private:
  void acceptLoop();
  void serveConnection(int Fd);

  Handler Serve;
  int ListenFd = -1;
  std::atomic<bool> Closed = false;
  std::mutex Mutex;
  std::set<int> Connections;
  std::atomic<int> Active = 0;
  std::thread Acceptor;
};

/// Sends one request on a connection of its own. The status is 0 if no complete
/// answer arrived within \p TimeoutMs.
Response call(const std::string &Ip, int Port, const std::string &Method,
              const std::string &Path,
              const std::map<std::string, std::string> &Headers,
              const std::string &Body, int TimeoutMs);

} // namespace apricotwing::soak

#endif
