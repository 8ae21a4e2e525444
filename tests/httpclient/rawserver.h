/// \file
/// A scripted server on a plain socket, for answers that no correct server
/// gives.
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

/// One accepted connection, used by the thread that serves it.
class RawConnection {
public:
  explicit RawConnection(int Socket) : Socket(Socket) {}

  /// Reads one whole request; empty when the client has closed.
  std::optional<std::string> readRequest();

  /// Writes \p Text.
  void write(const std::string &Text) const;

  /// Makes the close send a reset.
  void resetOnClose() const;

private:
  int Socket;
  std::string Buffered;
};

/// Serves each connection with \p Script in a thread of its own and counts
/// the executions of each request id: what was read whole was executed.
class RawServer {
public:
  using Script = std::function<void(RawServer &, RawConnection &)>;

  explicit RawServer(Script Behaviour);
  ~RawServer();
  RawServer(const RawServer &) = delete;
  RawServer &operator=(const RawServer &) = delete;

  /// "ip:port". Thread-safe.
  std::string address() const;

  /// Reads a request, counts it and returns its id; empty at the end.
  std::optional<std::string> execute(RawConnection &Connection);

  /// How often the request with \p Id was executed. Thread-safe.
  int executions(const std::string &Id) const;

  /// Number of connections so far. Thread-safe.
  int connections() const { return Connections; }

private:
  void acceptAll();
  void serve(int Socket);

  Script Behaviour;
  int Listener = -1;
  std::uint16_t Port = 0;
  std::atomic<int> Connections = 0;
  mutable std::mutex Mutex;
  std::map<std::string, int> Executed;
  std::vector<int> Sockets;
  std::vector<std::thread> Threads;
  std::thread Acceptor;
};

/// A correct answer that keeps the connection open.
std::string goodAnswer(const std::string &Id, const std::string &Body);

} // namespace apricotwing

#endif
