#include "httpserver/errorreplysocket.h"

#include "httpserver/exchange.h"

#include <sys/socket.h>

#include <array>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <string>

namespace apricotwing {

namespace {

constexpr auto LingeringTimeout = std::chrono::seconds(3);

/// Maximum number of concurrent lingering closes; further connections are
/// closed immediately.
constexpr std::size_t MaxLingeringCloses = 256;

std::atomic<std::size_t> LingeringCount = 0;

/// Largest part of the input that is discarded at a time.
constexpr std::size_t DiscardBytes = 16384;

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
  // Waits for input instead of reading into a buffer of its own, which would
  // cost memory for each connection.
  void read() {
    Socket.async_wait(
        asio::socket_base::wait_read,
        asio::bind_executor(
            Strand, [Self = shared_from_this()](const asio::error_code &Code) {
              if (Code || !Self->discard())
                Self->Timer.cancel();
              else
                Self->read();
            }));
  }

  /// Returns false at the end of the input.
  bool discard() {
    std::array<char, DiscardBytes> Bytes;
    const ssize_t Count = ::recv(Socket.native_handle(), Bytes.data(),
                                 Bytes.size(), MSG_DONTWAIT);
    return Count > 0 || (Count < 0 && (errno == EAGAIN || errno == EINTR));
  }

  asio::ip::tcp::socket Socket;
  asio::strand<asio::ip::tcp::socket::executor_type> Strand;
  asio::steady_timer Timer;
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
  } else if (Kind == ErrorKind::Overloaded) {
    Phrase = "Service Unavailable";
    Message = "unfinished requests use up the memory or connections for them";
    Remedy = "send the whole request at once, later or to another instance";
  }
  HttpResponse Body = errorResponse(Error(Kind, Message, Remedy));
  // Not 429: this client has not necessarily sent too much itself.
  if (Kind == ErrorKind::Overloaded)
    Body.Status = 503;
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

TimePoint intakeTime() {
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
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

void ErrorReplySocket::registerSocket(const Poster &Post) {
  if (Registry)
    return;
  Registry = &asio::use_service<OpenSockets>(
      asio::query(get_executor(), asio::execution::context));
  Registry->add(*this);
  if (!Registry->intake())
    return;
  Target = std::make_shared<IntakeTarget>();
  Target->Socket = this;
  asio::error_code Ignored;
  const std::string Address = remote_endpoint(Ignored).address().to_string();
  Account =
      Registry->intake()->open(Registry->part(), Address, intakeTime(),
                               [Post, Target = Target](IntakeRefusal Reason) {
                                 Post([Target, Reason] {
                                   const std::lock_guard Lock(Target->Mutex);
                                   if (Target->Socket)
                                     Target->Socket->refuse(Reason);
                                 });
                               });
}

void ErrorReplySocket::unregisterSocket() {
  if (Target) {
    {
      const std::lock_guard Lock(Target->Mutex);
      Target->Socket = nullptr;
    }
    Registry->intake()->remove(Account);
  }
  Target.reset();
  if (Registry)
    Registry->remove(*this);
  Registry = nullptr;
}

void ErrorReplySocket::refuse(IntakeRefusal Reason) {
  if (!ReadPending && !WritePending) {
    Registry->intake()->keep(Account);
    return;
  }
  Refusal = Reason;
  asio::error_code Ignored;
  cancel(Ignored);
}

void ErrorReplySocket::reportInput(asio::mutable_buffer Input,
                                   std::size_t Length) {
  if (Target && Length > 0)
    Registry->intake()->received(
        Account, intakeCost({static_cast<const char *>(Input.data()), Length}),
        intakeTime());
}

void ErrorReplySocket::reportHandedOver() {
  if (Target && is_open())
    Registry->intake()->handedOver(Account);
}

void ErrorReplySocket::reportOutput(std::size_t Length) {
  if (Target)
    Registry->intake()->writing(Account, Length, intakeTime());
}

void ErrorReplySocket::reportWritten() {
  if (Target)
    Registry->intake()->idle(Account, intakeTime());
}

std::optional<ErrorKind> ErrorReplySocket::requiredErrorReply() const {
  const std::optional<ErrorKind> Reason = CloseReasonLogger::take();
  if (Refusal) {
    // A response was being written, or nothing of a request has arrived.
    if (!InputReceived)
      return std::nullopt;
    return Refusal == IntakeRefusal::Slow ? ErrorKind::SlowRequest
                                          : ErrorKind::Overloaded;
  }
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
  const std::size_t MaxLingering =
      Registry && Registry->intake() ? Registry->intake()->maxLingeringCloses()
                                     : MaxLingeringCloses;
  if (!ErrorReplySent || LingeringCount >= MaxLingering) {
    Base::close(Ignored);
    return;
  }
  cancel(Ignored);
  std::make_shared<LingeringClose>(std::move(static_cast<Base &>(*this)))
      ->start();
}

} // namespace apricotwing
