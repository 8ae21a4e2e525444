#include "entry/httppeertransport.h"

#include <utility>

namespace apricotwing::entry {

void HttpPeerTransport::post(const std::string &Address, std::string Body,
                             Duration Timeout,
                             std::function<void(cell::PeerResult)> Callback) {
  HttpCall Call;
  Call.Method = "POST";
  Call.Url = "http://" + Address + PeerMessagePath;
  Call.Headers["Content-Type"] = "application/json";
  Call.Body = std::move(Body);
  Call.ConnectTimeout = Timeout;
  Call.Timeout = Timeout;
  // The receiver recognizes a repeated message by its sequence number.
  Call.MayResend = true;
  Client.start(std::move(Call), [this, Callback = std::move(Callback)](
                                    HttpResult Result) {
    cell::PeerResult Answer;
    Answer.NotSent = Result.State == TransferState::NotSent;
    if (Result.State == TransferState::Complete && Result.Status == 200)
      Answer.Reply = std::move(Result.Body);
    Control.post(WorkKind::PeerReply,
                 [Callback, Answer = std::move(Answer)] { Callback(Answer); });
  });
}

} // namespace apricotwing::entry
