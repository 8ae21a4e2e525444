/// \file
/// Messages between entry instances over HTTP.
#ifndef APRICOTWING_ENTRY_HTTPPEERTRANSPORT_H
#define APRICOTWING_ENTRY_HTTPPEERTRANSPORT_H

#include "cell/ports.h"
#include "entry/controlloop.h"
#include "httpclient/asynchttpclient.h"

namespace apricotwing::entry {

/// Path of messages between instances. The word "mail" is kept in it, because
/// it is part of the protocol between versions.
inline constexpr const char *PeerMessagePath = "/cell/v1/mail";

/// Sends messages with an AsyncHttpClient. Owned by the process; thread-safe.
class HttpPeerTransport final : public cell::PeerTransport {
public:
  HttpPeerTransport(AsyncHttpClient &Client, ControlLoop &Control)
      : Client(Client), Control(Control) {}

  /// See PeerTransport; \p Callback runs on the control thread.
  void post(const std::string &Address, std::string Body, Duration Timeout,
            std::function<void(cell::PeerResult)> Callback) override;

private:
  AsyncHttpClient &Client;
  ControlLoop &Control;
};

} // namespace apricotwing::entry

#endif
