#include "soak/http.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <stdexcept>

namespace apricotwing::soak {

namespace {

sockaddr_in addressOf(const std::string &Ip, int Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(std::uint16_t(Port));
  inet_pton(AF_INET, Ip.c_str(), &Address.sin_addr);
  return Address;
}

bool sendAll(int Fd, const std::string &Text) {
  std::size_t Sent = 0;
  while (Sent < Text.size()) {
    const ssize_t Count =
        send(Fd, Text.data() + Sent, Text.size() - Sent, MSG_NOSIGNAL);
    if (Count <= 0)
      return false;
    Sent += std::size_t(Count);
  }
  return true;
}

/// Reads one message from \p Fd; \p Buffer keeps what follows it.
bool readMessage(int Fd, std::string &Buffer, std::string &FirstLine,
                 std::map<std::string, std::string> &Headers,
                 std::string &Body) {
  char Chunk[16384];
  const auto Fill = [&] {
    const ssize_t Count = recv(Fd, Chunk, sizeof Chunk, 0);
    if (Count > 0)
      Buffer.append(Chunk, std::size_t(Count));
    return Count > 0;
  };
  std::size_t End = 0;
  while ((End = Buffer.find("\r\n\r\n")) == std::string::npos)
    if (!Fill())
      return false;
  const std::string Head = Buffer.substr(0, End + 2);
  Buffer.erase(0, End + 4);
  std::size_t Start = Head.find("\r\n");
  FirstLine = Head.substr(0, Start);
  for (Start += 2; Start < Head.size();) {
    const std::size_t LineEnd = Head.find("\r\n", Start);
    const std::string Line = Head.substr(Start, LineEnd - Start);
    Start = LineEnd + 2;
    const std::size_t Colon = Line.find(':');
    if (Colon == std::string::npos)
      continue;
    std::string Name = Line.substr(0, Colon);
    std::transform(Name.begin(), Name.end(), Name.begin(),
                   [](unsigned char C) { return char(std::tolower(C)); });
    const std::size_t Value = Line.find_first_not_of(' ', Colon + 1);
    Headers[Name] = Value == std::string::npos ? "" : Line.substr(Value);
  }
  const auto Length = Headers.find("content-length");
  const std::size_t Size =
      Length == Headers.end() ? 0 : std::size_t(std::stoul(Length->second));
  while (Buffer.size() < Size)
    if (!Fill())
      return false;
  Body = Buffer.substr(0, Size);
  Buffer.erase(0, Size);
  return true;
}

std::string decode(const std::string &Text) {
  std::string Result;
  for (std::size_t I = 0; I < Text.size(); ++I)
    if (Text[I] == '%' && I + 2 < Text.size()) {
      Result += char(std::strtol(Text.substr(I + 1, 2).c_str(), nullptr, 16));
      I += 2;
    } else {
      Result += Text[I];
    }
  return Result;
}

} // namespace

std::string Request::query(const std::string &Name) const {
  const std::string All = "&" + Query;
  const std::size_t Start = All.find("&" + Name + "=");
  if (Start == std::string::npos)
    return "";
  const std::size_t Value = Start + Name.size() + 2;
  return decode(All.substr(Value, All.find('&', Value) - Value));
}

bool Request::isReset() const {
  char Next = 0;
  return recv(Connection, &Next, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
         errno == ECONNRESET;
}

Server::Server(const std::string &Ip, int Port, Handler Serve)
    : Serve(std::move(Serve)) {
  ListenFd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int One = 1;
  setsockopt(ListenFd, SOL_SOCKET, SO_REUSEADDR, &One, sizeof One);
  const sockaddr_in Address = addressOf(Ip, Port);
  if (bind(ListenFd, reinterpret_cast<const sockaddr *>(&Address),
           sizeof Address) != 0 ||
      listen(ListenFd, 512) != 0)
    throw std::runtime_error("cannot listen on " + Ip + ":" +
                             std::to_string(Port));
  Acceptor = std::thread([this] { acceptLoop(); });
}

void Server::acceptLoop() {
  while (!Closed) {
    const int Fd = accept4(ListenFd, nullptr, nullptr, SOCK_CLOEXEC);
    if (Fd < 0)
      return;
    const int One = 1;
    setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &One, sizeof One);
    const std::lock_guard Lock(Mutex);
    if (Closed) {
      ::close(Fd);
      return;
    }
    Connections.insert(Fd);
    ++Active;
    std::thread([this, Fd] { serveConnection(Fd); }).detach();
  }
}

void Server::serveConnection(int Fd) {
  std::string Buffer;
  while (!Closed) {
    Request Incoming;
    Incoming.Connection = Fd;
    std::string Line;
    if (!readMessage(Fd, Buffer, Line, Incoming.Headers, Incoming.Body))
      break;
    const std::size_t First = Line.find(' ');
    const std::size_t Second = Line.find(' ', First + 1);
    Incoming.Method = Line.substr(0, First);
    std::string Target = Line.substr(First + 1, Second - First - 1);
    const std::size_t Mark = Target.find('?');
    if (Mark != std::string::npos)
      Incoming.Query = Target.substr(Mark + 1);
    Incoming.Path = decode(Target.substr(0, Mark));
    const Response Answer = Serve(Incoming);
    if (Answer.Status == 0 || Closed)
      break;
    if (!sendAll(Fd, "HTTP/1.1 " + std::to_string(Answer.Status) +
                         " X\r\nContent-Type: application/json\r\n"
                         "Content-Length: " +
                         std::to_string(Answer.Body.size()) + "\r\n\r\n" +
                         Answer.Body))
      break;
  }
  {
    const std::lock_guard Lock(Mutex);
    Connections.erase(Fd);
    // A reset, as after the end of a process with unread bytes.
    const linger Hard{1, 0};
    setsockopt(Fd, SOL_SOCKET, SO_LINGER, &Hard, sizeof Hard);
    ::close(Fd);
  }
  --Active;
}

void Server::close() {
  if (Closed.exchange(true))
    return;
  shutdown(ListenFd, SHUT_RDWR);
  Acceptor.join();
  ::close(ListenFd);
  {
    const std::lock_guard Lock(Mutex);
    for (const int Fd : Connections)
      shutdown(Fd, SHUT_RDWR);
  }
  while (Active > 0)
    usleep(1000);
}

Response call(const std::string &Ip, int Port, const std::string &Method,
              const std::string &Path,
              const std::map<std::string, std::string> &Headers,
              const std::string &Body, int TimeoutMs) {
  const int Fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval Limit{TimeoutMs / 1000, (TimeoutMs % 1000) * 1000L};
  setsockopt(Fd, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof Limit);
  setsockopt(Fd, SOL_SOCKET, SO_SNDTIMEO, &Limit, sizeof Limit);
  const sockaddr_in Address = addressOf(Ip, Port);
  Response Answer;
  std::string Text = Method + " " + Path + " HTTP/1.1\r\n";
  for (const auto &[Name, Value] : Headers)
    Text.append(Name).append(": ").append(Value).append("\r\n");
  Text += "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
  std::string Buffer;
  std::string Line;
  std::map<std::string, std::string> Received;
  if (connect(Fd, reinterpret_cast<const sockaddr *>(&Address),
              sizeof Address) == 0 &&
      sendAll(Fd, Text) && readMessage(Fd, Buffer, Line, Received, Answer.Body))
    Answer.Status = std::atoi(Line.substr(Line.find(' ') + 1).c_str());
  ::close(Fd);
  return Answer;
}

} // namespace apricotwing::soak
