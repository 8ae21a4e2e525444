#include "httpclient/rawserver.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdlib>
#include <cstring>

namespace apricotwing {

namespace {

/// Returns the value of a header in the head of a request; empty if the header
/// is absent.
std::string headerValue(const std::string &Head, const std::string &Name) {
  const std::size_t Position = Head.find(Name + ": ");
  if (Position == std::string::npos)
    return {};
  const std::size_t Start = Position + Name.size() + 2;
  return Head.substr(Start, Head.find("\r\n", Start) - Start);
}

} // namespace

std::optional<std::string> RawConnection::readRequest() {
  while (true) {
    const std::size_t End = Buffered.find("\r\n\r\n");
    if (End != std::string::npos) {
      const std::string Length = headerValue(Buffered, "Content-Length");
      const std::size_t RequestSize =
          End + 4 + std::strtoul(Length.c_str(), nullptr, 10);
      if (Buffered.size() >= RequestSize) {
        std::string Request = Buffered.substr(0, RequestSize);
        Buffered.erase(0, RequestSize);
        return Request;
      }
    }
    std::array<char, 4096> Chunk{};
    const ssize_t Size = ::recv(Socket, Chunk.data(), Chunk.size(), 0);
    if (Size <= 0)
      return std::nullopt;
    Buffered.append(Chunk.data(), std::size_t(Size));
  }
}

void RawConnection::write(const std::string &Text) const {
  (void)::send(Socket, Text.data(), Text.size(), MSG_NOSIGNAL);
}

void RawConnection::resetOnClose() const {
  const linger Immediately{1, 0};
  ::setsockopt(Socket, SOL_SOCKET, SO_LINGER, &Immediately,
               sizeof(Immediately));
}

RawServer::RawServer(ConnectionHandler Handler) : Handler(std::move(Handler)) {
  Listener = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t Size = sizeof(Address);
  auto *SocketAddress = reinterpret_cast<sockaddr *>(&Address);
  if (::bind(Listener, SocketAddress, Size) != 0 ||
      ::listen(Listener, 64) != 0 ||
      ::getsockname(Listener, SocketAddress, &Size) != 0)
    std::abort();
  Port = ntohs(Address.sin_port);
  Acceptor = std::thread([this] { acceptAll(); });
}

RawServer::~RawServer() {
  ::shutdown(Listener, SHUT_RDWR);
  Acceptor.join();
  ::close(Listener);
  {
    const std::lock_guard Lock(Mutex);
    for (const int Socket : Sockets)
      ::shutdown(Socket, SHUT_RDWR);
  }
  for (std::thread &Thread : Threads)
    Thread.join();
}

std::string RawServer::address() const {
  return "127.0.0.1:" + std::to_string(Port);
}

std::optional<std::string> RawServer::execute(RawConnection &Connection) {
  const std::optional<std::string> Request = Connection.readRequest();
  if (!Request)
    return std::nullopt;
  const std::string Id = headerValue(*Request, "Apricotwing-Request-Id");
  const std::lock_guard Lock(Mutex);
  ++Executed[Id];
  return Id;
}

int RawServer::executions(const std::string &Id) const {
  const std::lock_guard Lock(Mutex);
  const auto Found = Executed.find(Id);
  return Found == Executed.end() ? 0 : Found->second;
}

void RawServer::acceptAll() {
  while (true) {
    const int Socket = ::accept(Listener, nullptr, nullptr);
    if (Socket < 0)
      return;
    ++Connections;
    const std::lock_guard Lock(Mutex);
    Sockets.push_back(Socket);
    Threads.emplace_back([this, Socket] { serve(Socket); });
  }
}

void RawServer::serve(int Socket) {
  RawConnection Connection(Socket);
  Handler(*this, Connection);
  const std::lock_guard Lock(Mutex);
  std::erase(Sockets, Socket);
  ::close(Socket);
}

std::string validResponse(const std::string &Id, const std::string &Body) {
  return "HTTP/1.1 200 OK\r\nApricotwing-Request-Id: " + Id +
         "\r\nContent-Type: text/plain\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

} // namespace apricotwing
