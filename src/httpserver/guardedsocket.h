/// \file
/// A connection's socket that answers a request before RESTinio closes the
/// connection on it.
#ifndef APRICOTWING_HTTPSERVER_GUARDEDSOCKET_H
#define APRICOTWING_HTTPSERVER_GUARDEDSOCKET_H

#include "core/error.h"

#include <asio.hpp>

#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string_view>
#include <utility>

namespace apricotwing {

/// Logger of RESTinio, which reports why it is about to close a connection,
/// on the same thread and right before it does. Thread-safe.
class CloseReason {
public:
  template <typename Builder> void trace(Builder &&) const noexcept {}
  template <typename Builder> void info(Builder &&) const noexcept {}
  template <typename Builder> void warn(Builder &&) const noexcept {}
  template <typename Builder> void error(Builder &&Message) const {
    note(Message());
  }

  /// What the last message of this thread stands for, and forgets it: empty if
  /// there was none since the last call. TooLarge and BadRequest call for an
  /// answer; Internal stands for a connection that has failed.
  static std::optional<ErrorKind> take();

private:
  static void note(std::string_view Message);
};

class GuardedSocket;

/// The sockets of an io_context on which reading has begun. When the server
/// stops it ends them, because RESTinio's connections must be gone before the
/// acceptor that counts them. Thread-safe.
class OpenSockets : public asio::execution_context::service {
public:
  static asio::execution_context::id id; // NOLINT: asio looks for this name

  explicit OpenSockets(asio::execution_context &Owner);

  void add(GuardedSocket &Socket);
  void remove(GuardedSocket &Socket);

  /// Ends all connections; their pending reads complete with an error.
  void shutdownAll();

  /// True if no connection is left.
  bool empty() const;

private:
  void shutdown() noexcept override {}

  mutable std::mutex Mutex;
  std::set<GuardedSocket *> Sockets;
};

/// RESTinio closes the connection without a word when a request is malformed,
/// above the limit of the body or too slow. This socket then sends 400, 413
/// or 408 first, and discards the rest of the request for a few seconds, since
/// closing with unread input would reset the connection and lose the answer.
/// Owned by RESTinio's connection; used on its strand only.
class GuardedSocket : public asio::ip::tcp::socket {
public:
  using Base = asio::ip::tcp::socket;
  using Base::basic_stream_socket;
  GuardedSocket(GuardedSocket &&) = default;
  GuardedSocket &operator=(GuardedSocket &&) = default;
  ~GuardedSocket();

  template <typename Buffers, typename Handler>
  void async_read_some(const Buffers &Into, Handler &&Done) { // NOLINT
    ReadPending = true;
    enroll();
    auto Executor = asio::get_associated_executor(Done, get_executor());
    Base::async_read_some(
        Into, asio::bind_executor(Executor,
                                  [this, Done = std::forward<Handler>(Done)](
                                      const asio::error_code &Code,
                                      std::size_t Length) mutable {
                                    ReadPending = false;
                                    Received = Received || Length > 0;
                                    Done(Code, Length);
                                  }));
  }

  template <typename Buffers, typename Handler>
  auto async_write_some(const Buffers &From, Handler &&Done) { // NOLINT
    Received = false;
    return Base::async_write_some(From, std::forward<Handler>(Done));
  }

  /// Sends the answer that the reason of the closing calls for, if any, and
  /// ends the connection.
  void shutdown(shutdown_type What, asio::error_code &Code);

  /// Closes the socket; after an answer by shutdown(), only when its input is
  /// discarded.
  void close();

private:
  void enroll();
  void withdraw();

  /// The answer owed to the caller; empty if it can expect none.
  std::optional<ErrorKind> owedAnswer() const;

  OpenSockets *Registry = nullptr; ///< Set once reading has begun.
  bool ReadPending = false;
  bool Received = false; ///< Input since the last response.
  bool Rejected = false;
};

} // namespace apricotwing

#endif
