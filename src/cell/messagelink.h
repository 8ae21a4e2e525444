/// \file
/// One direction of the message link between a member and its leader.
#ifndef APRICOTWING_CELL_MESSAGELINK_H
#define APRICOTWING_CELL_MESSAGELINK_H

#include "cell/callbackguard.h"
#include "cell/ports.h"
#include "cell/timing.h"

#include <cstdint>
#include <functional>
#include <string>

namespace apricotwing::cell {

/// Sends messages in order with at most one in flight; content that accumulates
/// meanwhile goes into the next message. A message without a reply is sent
/// again with the same sequence number, so that the receiver processes it only
/// once. Owned by one end of a link and used on its thread only.
class MessageSender {
public:
  /// Callbacks that provide the content of messages.
  struct Source {
    /// Whether there is content to send.
    std::function<bool()> HasContent;
    /// Returns the encoded message with the given sequence number and clears
    /// the content that it contains.
    std::function<std::string(std::int64_t Sequence)> Compose;
  };

  /// An empty message is sent if there was no content for
  /// \p KeepAliveInterval.
  MessageSender(PeerTransport &Transport, const Clock &Time,
                const Timing &Times, std::string Address,
                Duration KeepAliveInterval, Source From);

  /// Sends the next message if there is content and no message is in flight,
  /// or an empty keep-alive message when one is due.
  void pump();

  /// True once no message has been acknowledged for Timing::LinkTimeout, or
  /// the other end has rejected the session.
  bool isBroken() const;

  /// True if the other end has replied that it is no longer the leader.
  bool hasResigned() const { return Resigned; }

  /// Changes the interval of empty messages.
  void setKeepAliveInterval(Duration Interval) { KeepAliveInterval = Interval; }

  /// Send time of the newest acknowledged message; the creation time of the
  /// link if no message has been acknowledged yet.
  TimePoint lastAckedSend() const { return LastAckedSend; }

  /// Time since the message that waits for a reply was first sent; zero if none
  /// does.
  Duration unansweredFor() const {
    return Body.empty() ? Duration::zero() : Time.now() - FirstSentAt;
  }

  /// True if the other end has replied that it needs no more guests.
  bool isFull() const { return Full; }

  /// The value of the last reply that had one; 0: there was none.
  double largestCpuShare() const { return LargestCpuShare; }

  /// True once the other end has acknowledged a message.
  bool isEstablished() const { return Established; }

  /// True if the other end has rejected the session as unknown.
  bool isRejected() const { return Rejected; }

private:
  void post();

  PeerTransport &Transport;
  const Clock &Time;
  const Timing &Times;
  const std::string Address;
  Duration KeepAliveInterval;
  const Source From;
  std::int64_t Sequence = 0;
  std::string Body; ///< The message being sent; empty if there is none.
  bool InFlight = false;
  bool Rejected = false;
  bool Resigned = false;
  bool Full = false;
  double LargestCpuShare = 0;
  bool Established = false;
  TimePoint SentAt;
  TimePoint FirstSentAt; ///< Of the message being sent.
  TimePoint RetryAt;
  TimePoint LastAckedSend;
  CallbackGuard Guard;
};

/// Detects duplicate and out-of-order messages of one direction of a link. Not
/// thread-safe.
class MessageReceiver {
public:
  enum class SequenceStatus { New, Duplicate, OutOfOrder };

  /// Classifies the message with number \p Sequence and records it if it is
  /// new.
  SequenceStatus checkSequence(std::int64_t Sequence) {
    if (Sequence == Last + 1) {
      ++Last;
      return SequenceStatus::New;
    }
    return Sequence <= Last ? SequenceStatus::Duplicate
                            : SequenceStatus::OutOfOrder;
  }

private:
  std::int64_t Last = 0;
};

} // namespace apricotwing::cell

#endif
