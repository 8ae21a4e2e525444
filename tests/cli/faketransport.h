/// \file
/// A transport for tests of the command line, with scripted answers.
#ifndef APRICOTWING_TESTS_CLI_FAKETRANSPORT_H
#define APRICOTWING_TESTS_CLI_FAKETRANSPORT_H

#include "cli/transport.h"
#include "core/error.h"
#include "wire/errorcodec.h"

#include <deque>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace apricotwing {

/// Returns the scripted answers one after another and records all requests.
/// Without an answer left, it returns status 500 with an empty body.
class FakeTransport final : public Transport {
public:
  using Reply = std::function<ApiAnswer()>;

  ApiAnswer send(const ApiRequest &Request) override {
    Sent.push_back(Request);
    if (Replies.empty())
      return {500, {}};
    const Reply Next = Replies.front();
    Replies.pop_front();
    return Next();
  }

  FakeTransport &answer(int Status, const std::string &Body) {
    Replies.emplace_back([=] { return ApiAnswer{Status, Body}; });
    return *this;
  }

  FakeTransport &refuse(ErrorKind Kind, Outcome Result) {
    return answer(httpStatus(Kind),
                  encodeError(Error(Kind, "refused", "wait", Result)));
  }

  FakeTransport &loseConnection(Outcome Result) {
    Replies.emplace_back([=]() -> ApiAnswer {
      throw Error(ErrorKind::UpstreamFailed, "no answer", "check", Result);
    });
    return *this;
  }

  std::vector<ApiRequest> Sent;

private:
  std::deque<Reply> Replies;
};

} // namespace apricotwing

#endif
