/// \file
/// A server socket that sends an error response before RESTinio closes the
/// connection of a request it could not read.
#ifndef APRICOTWING_HTTPSERVER_ERRORREPLYSOCKET_H
#define APRICOTWING_HTTPSERVER_ERRORREPLYSOCKET_H

#include "core/error.h"
#include "core/time.h"
#include "httpserver/intakebudget.h"

#include <asio.hpp>

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string_view>
#include <utility>

namespace apricotwing {

/// RESTinio logger that records why a connection is about to be closed.
/// RESTinio logs the reason on the same thread, immediately before it closes
/// the connection. Thread-safe.
class CloseReasonLogger {
public:
  template <typename Builder> void trace(Builder &&) const noexcept {}
  template <typename Builder> void info(Builder &&) const noexcept {}
  template <typename Builder> void warn(Builder &&) const noexcept {}
  template <typename Builder> void error(Builder &&Message) const {
    record(Message());
  }

  /// Returns and clears the reason that was last logged on this thread; empty
  /// if nothing was logged since the last call. TooLarge and BadRequest require
  /// an error response; Internal means that the connection has failed.
  static std::optional<ErrorKind> take();

private:
  static void record(std::string_view Message);
};

class ErrorReplySocket;

/// The time that the servers give to an IntakeBudget: that of the steady clock.
/// Thread-safe.
TimePoint intakeTime();

/// Registry of the sockets of an io_context that have started to read. A
/// stopping server shuts them down, because RESTinio's connections must be
/// destroyed before the acceptor that counts them. Thread-safe.
class OpenSockets : public asio::execution_context::service {
public:
  static asio::execution_context::id id; // NOLINT: asio looks for this name

  explicit OpenSockets(asio::execution_context &Owner);

  void add(ErrorReplySocket &Socket);
  void remove(ErrorReplySocket &Socket);

  /// Shuts down all connections; their pending reads complete with an error.
  void shutdownAll();

  /// True if no socket is registered.
  bool empty() const;

  /// Accounts for the connections in \p Budget. Precondition: no socket has
  /// been registered.
  void setIntake(std::shared_ptr<IntakeBudget> Budget, IntakePart Part) {
    Intake = std::move(Budget);
    IntakeOf = Part;
  }
  const std::shared_ptr<IntakeBudget> &intake() const { return Intake; }
  IntakePart part() const { return IntakeOf; }

private:
  void shutdown() noexcept override {}

  mutable std::mutex Mutex;
  std::set<ErrorReplySocket *> Sockets;
  std::shared_ptr<IntakeBudget> Intake;
  IntakePart IntakeOf = IntakePart::Callers;
};

/// Leads from the budget to a socket, which may be destroyed meanwhile.
struct IntakeTarget {
  std::mutex Mutex;
  ErrorReplySocket *Socket = nullptr; ///< Guarded by Mutex.
};

/// RESTinio closes the connection without a response when a request is
/// malformed, exceeds the body limit or arrives too slowly. This socket first
/// sends status 400, 413 or 408. It then does a lingering close: it discards
/// the rest of the request for a few seconds, because closing a socket with
/// unread input resets the connection and the client would lose the response.
/// It also reports to the IntakeBudget what the connection holds. Owned by
/// RESTinio's connection; used on its strand only.
class ErrorReplySocket : public asio::ip::tcp::socket {
public:
  using Base = asio::ip::tcp::socket;
  using Base::basic_stream_socket;
  ErrorReplySocket(ErrorReplySocket &&) = default;
  ErrorReplySocket &operator=(ErrorReplySocket &&) = default;
  ~ErrorReplySocket();

  template <typename Buffers, typename Handler>
  void async_read_some(const Buffers &Into, Handler &&Done) { // NOLINT
    auto Executor = asio::get_associated_executor(Done, get_executor());
    ReadPending = true;
    registerSocket([Executor](std::function<void()> Work) {
      asio::post(Executor, std::move(Work));
    });
    const asio::mutable_buffer First = *asio::buffer_sequence_begin(Into);
    Base::async_read_some(
        Into, asio::bind_executor(
                  Executor, [this, First, Done = std::forward<Handler>(Done)](
                                const asio::error_code &Code,
                                std::size_t Length) mutable {
                    ReadPending = false;
                    if (Refusal) {
                      // What has arrived meanwhile is not parsed, so the
                      // request is not handed over.
                      InputReceived = InputReceived || Length > 0;
                      Done(asio::error::connection_aborted, 0);
                      return;
                    }
                    InputReceived = InputReceived || Length > 0;
                    reportInput(First, Length);
                    Done(Code, Length);
                    if (!ReadPending && !WritePending)
                      reportHandedOver();
                  }));
  }

  template <typename Buffers, typename Handler>
  void async_write_some(const Buffers &From, Handler &&Done) { // NOLINT
    InputReceived = false;
    WritePending = true;
    reportOutput(asio::buffer_size(From));
    auto Executor = asio::get_associated_executor(Done, get_executor());
    Base::async_write_some(
        From,
        asio::bind_executor(Executor, [this, Size = asio::buffer_size(From),
                                       Done = std::forward<Handler>(Done)](
                                          const asio::error_code &Code,
                                          std::size_t Length) mutable {
          WritePending = false;
          if (Refusal) {
            Done(asio::error::connection_aborted, Length);
            return;
          }
          if (!Code && Length == Size)
            reportWritten();
          Done(Code, Length);
          // A pipelined request may have followed without a read.
          if (!ReadPending && !WritePending)
            reportHandedOver();
        }));
  }

  /// Ends the connection for \p Reason, unless its request was handed over.
  void refuse(IntakeRefusal Reason);

  /// Sends the error response that belongs to the recorded close reason, if
  /// there is one, and shuts the connection down.
  void shutdown(shutdown_type Direction, asio::error_code &Code);

  /// Closes the socket. If shutdown() sent an error response, the socket stays
  /// open until its remaining input is discarded.
  void close();

private:
  /// Runs work on the strand of the connection.
  using Poster = std::function<void(std::function<void()>)>;

  void registerSocket(const Poster &Post);
  void reportInput(asio::mutable_buffer Input, std::size_t Length);
  void reportHandedOver();
  void reportOutput(std::size_t Length);
  void reportWritten();
  void unregisterSocket();

  /// Kind of the error response that the client has to receive; empty if none
  /// is to be sent.
  std::optional<ErrorKind> requiredErrorReply() const;

  OpenSockets *Registry = nullptr;      ///< Set by the first read.
  std::shared_ptr<IntakeTarget> Target; ///< Empty without a budget.
  IntakeBudget::Id Account = 0;
  std::optional<IntakeRefusal> Refusal;
  bool ReadPending = false;
  bool WritePending = false;
  bool InputReceived = false; ///< Since the last response.
  bool ErrorReplySent = false;
};

} // namespace apricotwing

#endif
