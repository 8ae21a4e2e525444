#include "cell/maillink.h"

#include "cell/codec.h"

namespace apricotwing::cell {

namespace {

/// Longest wait for a receipt. Two tries fit into Timing::LinkTimeout.
constexpr Duration ReceiptTimeout{400};

/// Pause before a mail is sent again.
constexpr Duration ResendPause{40};

} // namespace

MailSender::MailSender(PeerTransport &Transport, const Clock &Time,
                       const Timing &Times, std::string Address, Source From)
    : Transport(Transport), Time(Time), Times(Times),
      Address(std::move(Address)), From(std::move(From)), Gap(Times.MailGap),
      SentAt(Time.now() - Times.KeepAlive), LastConfirmed(Time.now()) {}

bool MailSender::isBroken() const {
  return Rejected || Time.now() - LastConfirmed > Times.LinkTimeout;
}

void MailSender::pump() {
  if (InFlight || Rejected)
    return;
  const TimePoint Now = Time.now();
  if (!Body.empty()) {
    if (Now >= RetryAt)
      post();
    return;
  }
  if (Now - SentAt < (From.HasMail() ? Gap : Times.KeepAlive))
    return;
  Body = From.Compose(++Sequence);
  post();
}

void MailSender::post() {
  InFlight = true;
  SentAt = Time.now();
  Transport.post(Address, Body, ReceiptTimeout,
                 Life.guard([this](const std::optional<std::string> &Reply) {
                   InFlight = false;
                   const auto Answer =
                       Reply ? decodeReceipt(*Reply) : std::nullopt;
                   if (!Answer) {
                     RetryAt = Time.now() + ResendPause;
                     return;
                   }
                   if (!Answer->Accepted) {
                     Rejected = true;
                     Resigned = Answer->Resigned;
                     return;
                   }
                   Confirmed = true;
                   LastConfirmed = SentAt;
                   Body.clear();
                   pump();
                 }));
}

} // namespace apricotwing::cell
