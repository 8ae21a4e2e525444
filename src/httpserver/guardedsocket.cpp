#include "httpserver/guardedsocket.h"

#include "httpserver/exchange.h"

#include <sys/socket.h>

#include <array>
#include <atomic>
#include <chrono>
#include <string>

namespace apricotwing {

namespace {

constexpr auto DiscardTime = std::chrono::seconds(3);

/// Connections that discard input at the same time; above this they are
/// closed at once.
constexpr int MaxDiscards = 256;

std::atomic<int> Discards = 0;

thread_local std::optional<ErrorKind> LastReason;

/// Reads and drops the input of a connection until it ends or DiscardTime is
/// over. Keeps itself alive by its pending operations.
class Discard : public std::enable_shared_from_this<Discard> {
public:
  explicit Discard(asio::ip::tcp::socket From)
      : Socket(std::move(From)),
        Strand(asio::make_strand(Socket.get_executor())),
        Timer(Strand, DiscardTime) {
    ++Discards;
  }

  ~Discard() { --Discards; }
  Discard(const Discard &) = delete;
  Discard &operator=(const Discard &) = delete;

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

/// The whole answer as it goes over the wire.
std::string rejection(ErrorKind Kind) {
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

void CloseReason::note(std::string_view Message) {
  const auto Has = [Message](std::string_view Part) {
    return Message.find(Part) != std::string_view::npos;
  };
  if (!Has("parser error"))
    LastReason = ErrorKind::Internal;
  else if (Has("HPE_CB_headers_complete") || Has("HPE_CB_body"))
    LastReason = ErrorKind::TooLarge;
  else
    LastReason = ErrorKind::BadRequest;
}

std::optional<ErrorKind> CloseReason::take() {
  return std::exchange(LastReason, std::nullopt);
}

asio::execution_context::id OpenSockets::id;

OpenSockets::OpenSockets(asio::execution_context &Owner)
    : asio::execution_context::service(Owner) {}

void OpenSockets::add(GuardedSocket &Socket) {
  const std::lock_guard Lock(Mutex);
  Sockets.insert(&Socket);
}

void OpenSockets::remove(GuardedSocket &Socket) {
  const std::lock_guard Lock(Mutex);
  Sockets.erase(&Socket);
}

void OpenSockets::shutdownAll() {
  const std::lock_guard Lock(Mutex);
  for (GuardedSocket *Socket : Sockets)
    ::shutdown(Socket->native_handle(), SHUT_RDWR);
}

bool OpenSockets::empty() const {
  const std::lock_guard Lock(Mutex);
  return Sockets.empty();
}

GuardedSocket::~GuardedSocket() { withdraw(); }

void GuardedSocket::enroll() {
  if (Registry)
    return;
  Registry = &asio::use_service<OpenSockets>(
      asio::query(get_executor(), asio::execution::context));
  Registry->add(*this);
}

void GuardedSocket::withdraw() {
  if (Registry)
    Registry->remove(*this);
  Registry = nullptr;
}

std::optional<ErrorKind> GuardedSocket::owedAnswer() const {
  const std::optional<ErrorKind> Reason = CloseReason::take();
  if (Reason == ErrorKind::Internal)
    return std::nullopt;
  if (Reason)
    return Reason;
  // Without a message it is a timeout, of the request if input is awaited.
  if (ReadPending && Received)
    return ErrorKind::SlowRequest;
  return std::nullopt;
}

void GuardedSocket::shutdown(shutdown_type What, asio::error_code &Code) {
  const std::optional<ErrorKind> Kind = owedAnswer();
  if (!Kind || !is_open()) {
    Base::shutdown(What, Code);
    return;
  }
  const std::string Text = rejection(*Kind);
  // One small write into an empty send buffer; a caller that has filled it
  // gets no answer.
  ::send(native_handle(), Text.data(), Text.size(),
         MSG_DONTWAIT | MSG_NOSIGNAL);
  Base::shutdown(shutdown_send, Code);
  Rejected = true;
}

void GuardedSocket::close() {
  asio::error_code Ignored;
  if (!Rejected || Discards >= MaxDiscards) {
    Base::close(Ignored);
    return;
  }
  cancel(Ignored);
  std::make_shared<Discard>(std::move(static_cast<Base &>(*this)))->start();
}

} // namespace apricotwing
