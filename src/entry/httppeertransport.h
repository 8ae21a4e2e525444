/// \file
/// Mail between entry instances over HTTP.
#ifndef APRICOTWING_ENTRY_HTTPPEERTRANSPORT_H
#define APRICOTWING_ENTRY_HTTPPEERTRANSPORT_H

#include "cell/ports.h"
#include "entry/controlloop.h"
#include "httpclient/asynchttpclient.h"

namespace apricotwing::entry {

/// Path of the mail between instances.
inline constexpr const char *MailPath = "/cell/v1/mail";

/// Posts mail with a AsyncHttpClient. Owned by the process; thread-safe.
class HttpPeerTransport final : public cell::PeerTransport {
public:
  HttpPeerTransport(AsyncHttpClient &Client, ControlLoop &Control)
      : Client(Client), Control(Control) {}

  /// See PeerTransport; \p Then runs on the control thread.
  void post(const std::string &Address, std::string Body, Duration Timeout,
            std::function<void(std::optional<std::string>)> Then) override;

private:
  AsyncHttpClient &Client;
  ControlLoop &Control;
};

} // namespace apricotwing::entry

#endif
