#include "intake/hostileclient.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace apricotwing::intake {

Client::Client(const std::string &Ip, int Port)
    : Fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(std::uint16_t(Port));
  inet_pton(AF_INET, Ip.c_str(), &Address.sin_addr);
  const timeval Limit{2, 0};
  setsockopt(Fd, SOL_SOCKET, SO_SNDTIMEO, &Limit, sizeof Limit);
  (void)connect(Fd, reinterpret_cast<const sockaddr *>(&Address),
                sizeof Address);
}

Client::~Client() { close(Fd); }

bool Client::send(std::string_view Text) {
  while (!Text.empty()) {
    const ssize_t Sent = ::send(Fd, Text.data(), Text.size(), MSG_NOSIGNAL);
    if (Sent <= 0)
      return false;
    Text.remove_prefix(std::size_t(Sent));
  }
  return true;
}

std::size_t Client::sendAvailable(std::string_view Text) {
  std::size_t Total = 0;
  while (Total < Text.size()) {
    const ssize_t Sent = ::send(Fd, Text.data() + Total, Text.size() - Total,
                                MSG_NOSIGNAL | MSG_DONTWAIT);
    if (Sent <= 0)
      break;
    Total += std::size_t(Sent);
  }
  return Total;
}

std::string Client::receive() {
  pollfd Wait{Fd, POLLIN, 0};
  char Bytes[512];
  if (poll(&Wait, 1, AnswerTimeoutMs) <= 0)
    return "";
  const ssize_t Count = recv(Fd, Bytes, sizeof Bytes, 0);
  return std::string(Bytes, std::size_t(std::max<ssize_t>(Count, 0)));
}

std::string head(const std::string &Path) {
  return "POST " + Path +
         " HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string chunks(std::size_t Count, std::size_t Size) {
  char Digits[32];
  std::snprintf(Digits, sizeof Digits, "%zx\r\n", Size);
  const std::string One = Digits + std::string(Size, 'x') + "\r\n";
  std::string Result;
  for (std::size_t Index = 0; Index < Count; ++Index)
    Result += One;
  return Result;
}

std::string request(const std::string &Method, const std::string &Path,
                    const std::string &Headers, const std::string &Body) {
  return Method + " " + Path + " HTTP/1.1\r\n" + Headers +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

std::string listOf(const std::string &Start, const std::string &Item,
                   const std::string &End, std::size_t Bytes) {
  std::string Result = Start + Item;
  while (Result.size() + Item.size() + 1 + End.size() <= Bytes)
    Result += "," + Item;
  return Result + End;
}

int peakMemoryMb(int Pid) {
  std::ifstream Status("/proc/" + std::to_string(Pid) + "/status");
  for (std::string Line; std::getline(Status, Line);)
    if (Line.starts_with("VmHWM:"))
      return std::atoi(Line.c_str() + 6) / 1024;
  return 0;
}

int openFiles(int Pid) {
  std::error_code Ignored;
  int Count = 0;
  for (std::filesystem::directory_iterator Next(
           "/proc/" + std::to_string(Pid) + "/fd", Ignored);
       Next != std::filesystem::directory_iterator(); Next.increment(Ignored))
    ++Count;
  return Count;
}

int unreadMb(const std::string &Ip) {
  in_addr Binary{};
  inet_pton(AF_INET, Ip.c_str(), &Binary);
  char Digits[16];
  std::snprintf(Digits, sizeof Digits, "%08X:", Binary.s_addr);
  constexpr const char *Listening = "0A";
  std::ifstream Sockets("/proc/net/tcp");
  std::size_t Bytes = 0;
  for (std::string Line; std::getline(Sockets, Line);) {
    std::istringstream Fields(Line);
    std::string Number, Local, Remote, State, Queues;
    Fields >> Number >> Local >> Remote >> State >> Queues;
    if (Local.starts_with(Digits) && State != Listening)
      Bytes += std::strtoul(Queues.c_str() + Queues.find(':') + 1, nullptr, 16);
  }
  return int((Bytes + (std::size_t(1) << 20U) - 1) >> 20U);
}

} // namespace apricotwing::intake
