#include "cell/messagelink.h"

#include "cell/codec.h"

namespace apricotwing::cell {

namespace {

/// Maximum wait for a reply. Two attempts fit into Timing::LinkTimeout.
constexpr Duration ReplyTimeout{400};

/// Delay before a message is sent again.
constexpr Duration ResendDelay{40};

} // namespace

MessageSender::MessageSender(PeerTransport &Transport, const Clock &Time,
                             const Timing &Times, std::string Address,
                             Duration KeepAliveInterval, Source From)
    : Transport(Transport), Time(Time), Times(Times),
      Address(std::move(Address)), KeepAliveInterval(KeepAliveInterval),
      From(std::move(From)), SentAt(Time.now() - KeepAliveInterval),
      LastAckedSend(Time.now()) {}

bool MessageSender::isBroken() const {
  return Rejected || Time.now() - LastAckedSend > Times.LinkTimeout;
}

void MessageSender::pump() {
  if (InFlight || Rejected)
    return;
  const TimePoint Now = Time.now();
  if (!Body.empty()) {
    if (Now >= RetryAt)
      post();
    return;
  }
  if (Now - SentAt <
      (From.HasContent() ? Times.MinMessageInterval : KeepAliveInterval))
    return;
  Body = From.Compose(++Sequence);
  FirstSentAt = Now;
  post();
}

void MessageSender::post() {
  InFlight = true;
  SentAt = Time.now();
  Transport.post(
      Address, Body, ReplyTimeout, Guard.wrap([this](const PeerResult &Result) {
        InFlight = false;
        const auto Answer =
            Result.Reply ? decodeEnvelopeReply(*Result.Reply) : std::nullopt;
        if (!Answer) {
          RetryAt = Time.now() + ResendDelay;
          return;
        }
        if (!Answer->Accepted) {
          Rejected = true;
          Resigned = Answer->Resigned;
          Full = Answer->Full;
          return;
        }
        Established = true;
        if (Answer->LargestCpuShare > 0)
          LargestCpuShare = Answer->LargestCpuShare;
        LastAckedSend = SentAt;
        Body.clear();
        pump();
      }));
}

} // namespace apricotwing::cell
