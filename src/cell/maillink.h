/// \file
/// One direction of the mail between a member and its leader.
#ifndef APRICOTWING_CELL_MAILLINK_H
#define APRICOTWING_CELL_MAILLINK_H

#include "cell/lifetime.h"
#include "cell/ports.h"
#include "cell/timing.h"

#include <cstdint>
#include <functional>
#include <string>

namespace apricotwing::cell {

/// Sends mails in order, one at a time; what comes up meanwhile goes into the
/// next. A mail without a receipt is sent again with the same number, so its
/// receiver handles it once. Owned by one end of a link and used on its
/// thread only.
class MailSender {
public:
  /// What the sender needs of its owner.
  struct Source {
    std::function<bool()> HasMail;
    /// The text of the mail with the given number; empties the owner's box.
    std::function<std::string(std::int64_t Sequence)> Compose;
  };

  MailSender(PeerTransport &Transport, const Clock &Time, const Timing &Times,
             std::string Address, Source From);

  /// Sends the next mail if there is one and none is under way, or a sign of
  /// life if it is time for that.
  void pump();

  /// True once there has been no receipt for Timing::LinkTimeout, or the
  /// other end does not know the session.
  bool isBroken() const;

  /// True if the other end has said that it does not lead any more.
  bool hasResigned() const { return Resigned; }

  /// When the newest mail that has a receipt was sent; the link's start if
  /// there is none yet.
  TimePoint lastConfirmed() const { return LastConfirmed; }

  /// True once a mail has been received by the other end.
  bool isConfirmed() const { return Confirmed; }

  /// True if the other end does not know the session (any more).
  bool isRejected() const { return Rejected; }

  /// Sets the least time between two mails; Timing::MailGap at first.
  void setGap(Duration Least) { Gap = Least; }

private:
  void post();

  PeerTransport &Transport;
  const Clock &Time;
  const Timing &Times;
  const std::string Address;
  const Source From;
  Duration Gap;
  std::int64_t Sequence = 0;
  std::string Body; ///< The mail under way; empty: none.
  bool InFlight = false;
  bool Rejected = false;
  bool Resigned = false;
  bool Confirmed = false;
  TimePoint SentAt;
  TimePoint RetryAt;
  TimePoint LastConfirmed;
  Lifetime Life;
};

/// Tells which mails of one direction are new. Used on one thread only.
class MailReceiver {
public:
  enum class Verdict { New, Repeated, OutOfOrder };

  /// Judges the mail with number \p Sequence, and counts it if it is new.
  Verdict evaluate(std::int64_t Sequence) {
    if (Sequence == Last + 1) {
      ++Last;
      return Verdict::New;
    }
    return Sequence <= Last ? Verdict::Repeated : Verdict::OutOfOrder;
  }

private:
  std::int64_t Last = 0;
};

} // namespace apricotwing::cell

#endif
