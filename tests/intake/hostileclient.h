/// \file
/// Clients that send what they like, and the sockets of the process that they
/// call.
#ifndef APRICOTWING_INTAKE_HOSTILECLIENT_H
#define APRICOTWING_INTAKE_HOSTILECLIENT_H

#include <cstddef>
#include <string>
#include <string_view>

namespace apricotwing::intake {

inline constexpr int AnswerTimeoutMs = 10'000;

/// A client that sends raw bytes and never blocks on a full send buffer.
class Client {
public:
  Client(const std::string &Ip, int Port);
  ~Client();
  Client(const Client &) = delete;
  Client &operator=(const Client &) = delete;

  /// Sends \p Text as far as the server reads it within 2 s. Returns false if
  /// not all of it was sent.
  bool send(std::string_view Text);

  /// Sends as much of \p Text as the buffers take now; returns the number of
  /// bytes.
  std::size_t sendAvailable(std::string_view Text);

  /// The first bytes of the response; empty if none arrives in time.
  std::string receive();

private:
  const int Fd;
};

/// The head of a request with a chunked body.
std::string head(const std::string &Path);

/// \p Count chunks of \p Size bytes, without the last chunk that ends the body.
std::string chunks(std::size_t Count, std::size_t Size);

/// A whole request with \p Body. \p Headers are complete lines.
std::string request(const std::string &Method, const std::string &Path,
                    const std::string &Headers, const std::string &Body);

/// \p Start, \p Item as often as \p Bytes allow, separated by commas, and
/// \p End.
std::string listOf(const std::string &Start, const std::string &Item,
                   const std::string &End, std::size_t Bytes);

/// Largest resident memory of a process so far, in MB; 0 if it has ended.
int peakMemoryMb(int Pid);

/// Number of open descriptors of a process.
int openFiles(int Pid);

/// Bytes that have arrived at the connections of \p Ip and were not read, in
/// MB rounded up.
int unreadMb(const std::string &Ip);

} // namespace apricotwing::intake

#endif
