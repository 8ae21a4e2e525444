/// \file
/// Port to the HTTP server, which is implemented in src/httpserver.
#ifndef APRICOTWING_CORE_HTTPSERVER_H
#define APRICOTWING_CORE_HTTPSERVER_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace apricotwing {

/// A complete HTTP request. Header names are in lower case.
struct HttpRequest {
  std::string Method;
  std::string Path;  ///< Without the query.
  std::string Query; ///< Without the question mark.
  std::map<std::string, std::string> Headers;
  std::string Body;
};

struct HttpResponse {
  int Status = 200;
  std::string ContentType = "application/json";
  std::map<std::string, std::string> Headers;
  std::string Body;
};

/// Sends the response of one request. May be called from any thread, at most
/// once; later calls are ignored.
using Responder = std::function<void(HttpResponse)>;

/// Handles a request and calls the responder, either before it returns or
/// later. It is called on the server's threads, so it must be thread-safe and
/// must not block for long.
using HttpHandler = std::function<void(HttpRequest, Responder)>;

class IntakeBudget;
enum class IntakePart;

struct HttpServerOptions {
  std::string Address = "127.0.0.1";
  std::uint16_t Port = 0; ///< 0 selects any free port.
  std::size_t Threads = 2;
  std::size_t MaxBodyBytes = std::size_t(1) << 20;
  std::uint32_t ReadTimeoutMs = 5000; ///< For receiving a complete request.
  std::size_t MaxConnections = 2048;
  /// Size of the kernel's buffer for input that the server has not read, which
  /// it leaves there while a request of the connection is with its handler. The
  /// kernel may store twice as much. 0: the kernel's default.
  std::size_t ReceiveBufferBytes = 0;
  /// The same for responses that the client has not read.
  std::size_t SendBufferBytes = 0;
  /// Shared by the servers of a process; see httpserver/intakebudget.h. With
  /// it, a connection beyond the limit of its part replaces an older one.
  /// Empty: only the limits above hold.
  std::shared_ptr<IntakeBudget> Intake;
  IntakePart Part{}; ///< Of Intake.
};

/// A running server; the destructor stops it.
class HttpServer {
public:
  virtual ~HttpServer() = default;

  /// The port that the server is bound to. Thread-safe.
  virtual std::uint16_t port() const = 0;

  /// Stops accepting connections; open connections stay open. Thread-safe.
  virtual void stopAccepting() = 0;
};

/// Starts a RESTinio server. Throws Error(BadSettings) if the address cannot
/// be bound. Defined in src/httpserver.
std::unique_ptr<HttpServer> startHttpServer(const HttpServerOptions &Options,
                                            HttpHandler Handler);

} // namespace apricotwing

#endif
