#include "core/error.h"
#include "core/httpserver.h"
#include "httpserver/errorreplysocket.h"
#include "httpserver/exchange.h"

#include <restinio/all.hpp>

#include <sys/resource.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace apricotwing {

namespace {

using namespace std::chrono_literals;

struct ServerTraits : restinio::default_traits_t {
  using stream_socket_t = ErrorReplySocket;                  // NOLINT
  using logger_t = CloseReasonLogger;                        // NOLINT
  static constexpr bool use_connection_count_limiter = true; // NOLINT
};

using RestinioServer = restinio::http_server_t<ServerTraits>;
using RestinioSettings = restinio::server_settings_t<ServerTraits>;

/// Time after which a request counts as abandoned by its handler. It is longer
/// than any valid request takes: interactive requests have deadlines of at most
/// 10 s, and all other calls end with the timeouts of the store.
constexpr auto HandlingTimeout = 60s;

/// A client that takes longer to read its response is disconnected.
constexpr auto WriteTimeout = 20s;

/// Maximum time that the destructor waits for open requests.
constexpr auto StopTimeout = 15s;

/// Duration and maximum number of the event loop runs in which the connections
/// close after all requests have ended.
constexpr auto CloseStep = 10ms;
constexpr int MaxCloseSteps = 200;

/// Time between two searches for overdue requests.
constexpr auto SweepPeriod = 250ms;

constexpr std::size_t MaxUrlBytes = 8192;
constexpr std::size_t MaxHeaderBytes = 16384;
constexpr std::size_t MaxHeaderFields = 100;

/// Limits the connections to a quarter of the process's file descriptors.
/// RESTinio stops accepting permanently once accept() fails because no file
/// descriptor is free, so most of them are left to other uses.
std::size_t connectionLimit(std::size_t Requested) {
  rlimit Files{};
  if (getrlimit(RLIMIT_NOFILE, &Files) != 0 || Files.rlim_cur == RLIM_INFINITY)
    return Requested;
  return std::min<std::size_t>(
      Requested, std::max<std::size_t>(std::size_t(Files.rlim_cur) / 4, 1));
}

std::string toLower(std::string_view Text) {
  std::string Result(Text);
  std::transform(Result.begin(), Result.end(), Result.begin(),
                 [](unsigned char C) { return char(std::tolower(C)); });
  return Result;
}

HttpRequest toHttpRequest(const restinio::request_handle_t &Request) {
  HttpRequest Result;
  const auto &Header = Request->header();
  Result.Method = std::string(Header.method().c_str());
  Result.Path = std::string(Header.path());
  Result.Query = std::string(Header.query());
  Header.for_each_field([&Result](const auto &Field) {
    std::string &Value = Result.Headers[toLower(Field.name())];
    if (!Value.empty())
      Value += ", ";
    Value += Field.value();
  });
  Result.Body = Request->body();
  return Result;
}

struct StatusRow {
  std::uint16_t Code;
  const char *Phrase;
};

constexpr std::array StatusTable = {
    StatusRow{200, "OK"},
    StatusRow{201, "Created"},
    StatusRow{202, "Accepted"},
    StatusRow{204, "No Content"},
    StatusRow{400, "Bad Request"},
    StatusRow{401, "Unauthorized"},
    StatusRow{403, "Forbidden"},
    StatusRow{404, "Not Found"},
    StatusRow{405, "Method Not Allowed"},
    StatusRow{408, "Request Timeout"},
    StatusRow{409, "Conflict"},
    StatusRow{410, "Gone"},
    StatusRow{413, "Payload Too Large"},
    StatusRow{429, "Too Many Requests"},
    StatusRow{500, "Internal Server Error"},
    StatusRow{502, "Bad Gateway"},
    StatusRow{503, "Service Unavailable"},
    StatusRow{504, "Gateway Timeout"},
    StatusRow{507, "Insufficient Storage"},
};

const char *reasonPhrase(int Status) {
  for (const StatusRow &Row : StatusTable)
    if (Row.Code == Status)
      return Row.Phrase;
  return "Status";
}

/// Writes a response to the connection of its request.
void writeResponse(const restinio::request_handle_t &Request,
                   HttpResponse Response, bool Close,
                   std::function<void()> OnWritten) {
  const restinio::http_status_line_t Status{
      restinio::http_status_code_t{std::uint16_t(Response.Status)},
      reasonPhrase(Response.Status)};
  const auto AppendHeaders = [&](auto &Builder) {
    if (!Response.ContentType.empty())
      Builder.append_header("Content-Type", std::move(Response.ContentType));
    for (auto &[Name, Value] : Response.Headers)
      Builder.append_header(Name, Value);
    if (Close)
      Builder.connection_close();
  };
  const auto Done = [OnWritten = std::move(OnWritten)](const auto &) {
    OnWritten();
  };
  if (Request->header().method() == restinio::http_method_head()) {
    auto Builder =
        Request->create_response<restinio::user_controlled_output_t>(Status);
    AppendHeaders(Builder);
    Builder.set_content_length(Response.Body.size());
    Builder.done(Done);
    return;
  }
  auto Builder = Request->create_response(Status);
  AppendHeaders(Builder);
  Builder.set_body(std::move(Response.Body));
  Builder.done(Done);
}

/// The same, for callers that cannot handle exceptions.
void tryWriteResponse(const restinio::request_handle_t &Request,
                      HttpResponse Response, bool Close,
                      const std::function<void()> &OnWritten) noexcept {
  try {
    writeResponse(Request, std::move(Response), Close, OnWritten);
  } catch (const std::exception &) {
    // The connection is closed, so the response cannot be delivered.
    OnWritten();
  }
}

/// Response to a request that is not handed to the handler because too many
/// others wait for their responses there.
HttpResponse tooManyWaiting() {
  HttpResponse Result = errorResponse(
      Error(ErrorKind::Overloaded, "too many requests wait for their responses",
            "send the request again after the time in Retry-After, or to "
            "another instance"));
  Result.Status = 503; // Not 429: this client has not sent too much itself.
  Result.Headers["Retry-After"] = "1";
  return Result;
}

/// HttpServer on RESTinio; see core/httpserver.h. Runs its own I/O threads
/// with asynchronous reads, so that a slow client occupies a connection but no
/// thread.
class Server final : public HttpServer {
public:
  Server(const HttpServerOptions &Options, HttpHandler Handler)
      : Options(Options), Handler(std::move(Handler)),
        Backend(restinio::external_io_context(IoContext), settings()),
        SweepTimer(IoContext) {
    if (Options.Intake) {
      asio::use_service<OpenSockets>(IoContext).setIntake(Options.Intake,
                                                          Options.Part);
      sweep();
    }
    try {
      Backend.open_sync();
    } catch (const std::exception &Failure) {
      throw Error(ErrorKind::BadSettings,
                  "cannot listen on " + Options.Address + ":" +
                      std::to_string(Options.Port) + ": " + Failure.what(),
                  "choose an address of this host and a free port");
    }
    for (std::size_t I = 0; I < std::max<std::size_t>(Options.Threads, 1); ++I)
      Threads.emplace_back([this] { IoContext.run(); });
  }

  ~Server() override {
    stopAccepting();
    Exchanges.waitUntilEmpty(StopTimeout);
    IoContext.stop();
    for (std::thread &Thread : Threads)
      Thread.join();
    Exchanges.abandonAll();
    closeConnections();
    Backend.close_sync();
  }

  std::uint16_t port() const override { return BoundPort; }

  void stopAccepting() override {
    // RESTinio's acceptor may only be used on the I/O threads. Shutting down
    // the listening socket makes its accepts fail and is safe on any thread.
    if (!Stopping.exchange(true))
      ::shutdown(ListenSocket, SHUT_RDWR);
  }

private:
  /// Shuts down all connections and runs their completion handlers on this
  /// thread. Precondition: the I/O threads have been joined.
  void closeConnections() {
    auto &Sockets = asio::use_service<OpenSockets>(IoContext);
    Sockets.shutdownAll();
    IoContext.restart();
    for (int Step = 0; !Sockets.empty() && Step < MaxCloseSteps; ++Step)
      IoContext.run_for(CloseStep);
  }

  /// Closes overdue connections now and after each SweepPeriod.
  void sweep() {
    Options.Intake->closeOverdue(intakeTime());
    SweepTimer.expires_after(SweepPeriod);
    SweepTimer.async_wait([this](const asio::error_code &Code) {
      if (!Code)
        sweep();
    });
  }

  /// With a budget, connections that are being closed leave room for the next
  /// ones: RESTinio accepts nobody while its own limit is reached.
  std::size_t maxConnections() const {
    if (!Options.Intake)
      return connectionLimit(Options.MaxConnections);
    const std::size_t Limit = Options.Intake->maxConnections(Options.Part);
    return Limit + Limit / 8 + 2;
  }

  RestinioSettings settings() {
    const auto ReadTimeout = std::chrono::milliseconds(Options.ReadTimeoutMs);
    RestinioSettings Result;
    Result.address(Options.Address)
        .port(Options.Port)
        .read_next_http_message_timelimit(ReadTimeout)
        .handle_request_timeout(HandlingTimeout)
        .write_http_response_timelimit(WriteTimeout)
        .timer_manager(std::clamp<std::chrono::steady_clock::duration>(
            ReadTimeout / 4, 20ms, 1000ms))
        .max_pipelined_requests(1)
        .max_parallel_connections(maxConnections())
        .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t{}
                                      .max_url_size(MaxUrlBytes)
                                      .max_field_name_size(MaxHeaderBytes)
                                      .max_field_value_size(MaxHeaderBytes)
                                      .max_field_count(MaxHeaderFields)
                                      .max_body_size(Options.MaxBodyBytes))
        .socket_options_setter([](auto &Socket) {
          Socket.set_option(asio::ip::tcp::no_delay(true));
        })
        .acceptor_options_setter([this](auto &Acceptor) {
          Acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
          // Connections inherit the sizes. Set later, they would not limit
          // what has arrived before the connections are accepted.
          if (Options.ReceiveBufferBytes > 0)
            Acceptor.set_option(asio::socket_base::receive_buffer_size(
                int(Options.ReceiveBufferBytes)));
          if (Options.SendBufferBytes > 0)
            Acceptor.set_option(asio::socket_base::send_buffer_size(
                int(Options.SendBufferBytes)));
        })
        .acceptor_post_bind_hook([this](asio::ip::tcp::acceptor &Acceptor) {
          ListenSocket = Acceptor.native_handle();
          BoundPort = Acceptor.local_endpoint().port();
        })
        .request_handler([this](const auto &Request) {
          handle(Request);
          return restinio::request_accepted();
        });
    return Result;
  }

  void handle(const restinio::request_handle_t &Request) {
    auto Pending = Exchanges.add([this,
                                  Request](HttpResponse Response,
                                           std::function<void()> OnWritten) {
      const bool Close = Stopping ||
                         Response.Status == httpStatus(ErrorKind::TooLarge) ||
                         !Request->header().should_keep_alive();
      // RESTinio reads on twice if the response is written before its request
      // handler returns, and discards what it has parsed of the next request.
      if (IoContext.get_executor().running_in_this_thread())
        asio::post(IoContext, [Request, Response = std::move(Response), Close,
                               OnWritten = std::move(OnWritten)]() mutable {
          tryWriteResponse(Request, std::move(Response), Close, OnWritten);
        });
      else
        writeResponse(Request, std::move(Response), Close,
                      std::move(OnWritten));
    });
    if (Options.Intake &&
        !Options.Intake->admitsRequest(Options.Part, Request->body().size())) {
      Pending->respond(tooManyWaiting());
      return;
    }
    try {
      Handler(toHttpRequest(Request), [Pending](HttpResponse Response) {
        Pending->respond(std::move(Response));
      });
    } catch (const Error &Failure) {
      Pending->respond(errorResponse(Failure));
    } catch (const std::exception &Failure) {
      Pending->respond(
          errorResponse(Error(ErrorKind::Internal, Failure.what(),
                              "report this as a bug", Outcome::Unknown)));
    }
  }

  const HttpServerOptions Options;
  HttpHandler Handler;
  OpenExchanges Exchanges;
  std::atomic<bool> Stopping = false;
  int ListenSocket = -1;
  std::uint16_t BoundPort = 0;
  asio::io_context IoContext;
  RestinioServer Backend;
  asio::steady_timer SweepTimer;
  std::vector<std::thread> Threads;
};

} // namespace

std::unique_ptr<HttpServer> startHttpServer(const HttpServerOptions &Options,
                                            HttpHandler Handler) {
  return std::make_unique<Server>(Options, std::move(Handler));
}

} // namespace apricotwing
