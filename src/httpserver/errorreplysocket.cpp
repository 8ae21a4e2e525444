#include "httpserver/errorreplysocket.h"

#include "httpserver/exchange.h"

#include <sys/socket.h>

#include <array>
#include <atomic>
#include <chrono>
#include <string>

namespace apricotwing {

namespace {

constexpr auto LingeringTimeout = std::chrono::seconds(3);

/// Maximum number of concurrent lingering closes; further connections are
/// closed immediately.
constexpr int MaxLingeringCloses = 256;

std::atomic<int> LingeringCount = 0;

thread_local std::optional<ErrorKind> LastCloseReason;

/// Reads and discards the input of a connection until the client closes it or
/// LingeringTimeout expires. The pending operations keep the object alive.
class LingeringClose : public std::enable_shared_from_this<LingeringClose> {
public:
  explicit LingeringClose(asio::ip::tcp::socket From)
      : Socket(std::move(From)),
        Strand(asio::make_strand(Socket.get_executor())),
        Timer(Strand, LingeringTimeout) {
    ++LingeringCount;
  }

  ~LingeringClose() { --LingeringCount; }
  LingeringClose(const LingeringClose &) = delete;
  LingeringClose &operator=(const LingeringClose &) = delete;

  void start() {
    asio::dispatch(Strand, [Self = shared_from_this()] {
      Self->Timer.async_wait([Self](const asio::error_code &) {
        asio::error_code Ignored;
        Self->Socket.close(Ignored);
      });
      Self->read();
    });
  }

private:
  void read() {
    Socket.async_read_some(
        asio::buffer(Bytes),
        asio::bind_executor(Strand, [Self = shared_from_this()](
                                        const asio::error_code &Code, auto) {
          if (Code)
            Self->Timer.cancel();
          else
            Self->read();
        }));
  }

  asio::ip::tcp::socket Socket;
  asio::strand<asio::ip::tcp::socket::executor_type> Strand;
  asio::steady_timer Timer;
  std::array<char, 16384> Bytes{};
};

/// Returns the complete HTTP response, headers and body, as raw bytes.
std::string formatErrorReply(ErrorKind Kind) {
  std::string Phrase = "Bad Request";
  std::string Message = "the request is not valid HTTP";
  std::string Remedy = "send a request that follows HTTP/1.1";
  if (Kind == ErrorKind::TooLarge) {
    Phrase = "Payload Too Large";
    Message = "the body is larger than the limit of this server";
    Remedy = "send a smaller body, or raise max_body_bytes";
  } else if (Kind == ErrorKind::SlowRequest) {
    Phrase = "Request Timeout";
    Message = "the request did not arrive in time";
    Remedy = "send the whole request at once, or raise header_timeout_ms";
  }
  const HttpResponse Body = errorResponse(Error(Kind, Message, Remedy));
  return "HTTP/1.1 " + std::to_string(Body.Status) + " " + Phrase +
         "\r\nConnection: close\r\nContent-Type: " + Body.ContentType +
         "\r\nApricotwing-Outcome: not_run\r\nContent-Length: " +
         std::to_string(Body.Body.size()) + "\r\n\r\n" + Body.Body;
}

} // namespace

void CloseReasonLogger::record(std::string_view Message) {
  const auto Contains = [Message](std::string_view Part) {
    return Message.find(Part) != std::string_view::npos;
  };
  if (!Contains("parser error"))
    LastCloseReason = ErrorKind::Internal;
  else if (Contains("HPE_CB_headers_complete") || Contains("HPE_CB_body"))
    LastCloseReason = ErrorKind::TooLarge;
  else
    LastCloseReason = ErrorKind::BadRequest;
}

std::optional<ErrorKind> CloseReasonLogger::take() {
  return std::exchange(LastCloseReason, std::nullopt);
}

asio::execution_context::id OpenSockets::id;

OpenSockets::OpenSockets(asio::execution_context &Owner)
    : asio::execution_context::service(Owner) {}

void OpenSockets::add(ErrorReplySocket &Socket) {
  const std::lock_guard Lock(Mutex);
  Sockets.insert(&Socket);
}

void OpenSockets::remove(ErrorReplySocket &Socket) {
  const std::lock_guard Lock(Mutex);
  Sockets.erase(&Socket);
}

void OpenSockets::shutdownAll() {
  const std::lock_guard Lock(Mutex);
  for (ErrorReplySocket *Socket : Sockets)
    ::shutdown(Socket->native_handle(), SHUT_RDWR);
}

bool OpenSockets::empty() const {
  const std::lock_guard Lock(Mutex);
  return Sockets.empty();
}

ErrorReplySocket::~ErrorReplySocket() { unregisterSocket(); }

void ErrorReplySocket::registerSocket() {
  if (Registry)
    return;
  Registry = &asio::use_service<OpenSockets>(
      asio::query(get_executor(), asio::execution::context));
  Registry->add(*this);
}

void ErrorReplySocket::unregisterSocket() {
  if (Registry)
    Registry->remove(*this);
  Registry = nullptr;
}

std::optional<ErrorKind> ErrorReplySocket::requiredErrorReply() const {
  const std::optional<ErrorKind> Reason = CloseReasonLogger::take();
  if (Reason == ErrorKind::Internal)
    return std::nullopt;
  if (Reason)
    return Reason;
  // RESTinio logs nothing on a timeout. With a read pending after some input,
  // it is the read of the request that timed out.
  if (ReadPending && InputReceived)
    return ErrorKind::SlowRequest;
  return std::nullopt;
}

void ErrorReplySocket::shutdown(shutdown_type Direction,
                                asio::error_code &Code) {
  const std::optional<ErrorKind> Kind = requiredErrorReply();
  if (!Kind || !is_open()) {
    Base::shutdown(Direction, Code);
    return;
  }
  const std::string Text = formatErrorReply(*Kind);
  // One non-blocking write, which fits if the send buffer is empty. A client
  // that has let the send buffer fill up gets no response.
  ::send(native_handle(), Text.data(), Text.size(),
         MSG_DONTWAIT | MSG_NOSIGNAL);
  Base::shutdown(shutdown_send, Code);
  ErrorReplySent = true;
}

void ErrorReplySocket::close() {
  asio::error_code Ignored;
  if (!ErrorReplySent || LingeringCount >= MaxLingeringCloses) {
    Base::close(Ignored);
    return;
  }
  cancel(Ignored);
  std::make_shared<LingeringClose>(std::move(static_cast<Base &>(*this)))
      ->start();
}

} // namespace apricotwing
