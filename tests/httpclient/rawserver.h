/// \file
/// A scripted server on a plain socket, for responses that no correct HTTP
/// server sends.
#ifndef APRICOTWING_HTTPCLIENT_RAWSERVER_H
#define APRICOTWING_HTTPCLIENT_RAWSERVER_H

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace apricotwing {

/// An accepted connection. Used only by the thread that serves it.
class RawConnection {
public:
  explicit RawConnection(int Socket) : Socket(Socket) {}

  /// Reads one whole request; empty if the client has closed the connection.
  std::optional<std::string> readRequest();

  /// Sends \p Text to the client as is.
  void write(const std::string &Text) const;

  /// Makes the connection end with a TCP reset when it is closed.
  void resetOnClose() const;

private:
  int Socket;
  std::string Buffered;
};

/// Runs a script for each connection on a thread of its own and counts the
/// executions per request id. A request counts as executed once execute() has
/// read it completely.
class RawServer {
public:
  using ConnectionHandler = std::function<void(RawServer &, RawConnection &)>;

  explicit RawServer(ConnectionHandler Handler);
  ~RawServer();
  RawServer(const RawServer &) = delete;
  RawServer &operator=(const RawServer &) = delete;

  /// "ip:port". Thread-safe.
  std::string address() const;

  /// Reads a request, counts it as executed and returns its id; empty if the
  /// client has closed the connection.
  std::optional<std::string> execute(RawConnection &Connection);

  /// How often the request with \p Id was executed. Thread-safe.
  int executions(const std::string &Id) const;

  /// Number of connections accepted so far. Thread-safe.
  int connections() const { return Connections; }

private:
  void acceptAll();
  void serve(int Socket);

  ConnectionHandler Handler;
  int Listener = -1;
  std::uint16_t Port = 0;
  std::atomic<int> Connections = 0;
  mutable std::mutex Mutex;
  std::map<std::string, int> Executed;
  std::vector<int> Sockets;
  std::vector<std::thread> Threads;
  std::thread Acceptor;
};

/// Returns a valid response that keeps the connection open.
std::string validResponse(const std::string &Id, const std::string &Body);

} // namespace apricotwing

#endif
