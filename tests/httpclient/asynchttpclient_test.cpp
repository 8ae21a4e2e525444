/// \file
/// Calls of the asynchronous client over connections that went bad.
#include "httpclient/asynchttpclient.h"
#include "httpclient/rawserver.h"

#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <string>
#include <vector>

namespace apricotwing {
namespace {

constexpr Duration LongTimeout{10'000};
constexpr Duration ShortTimeout{300};

/// Starts a call and returns its future result.
std::future<HttpResult> startCall(AsyncHttpClient &Client,
                                  const RawServer &Server, Duration Timeout) {
  HttpCall Call;
  Call.Url = "http://" + Server.address() + "/";
  Call.Timeout = Timeout;
  Call.AvoidOldConnections = true;
  auto Promise = std::make_shared<std::promise<HttpResult>>();
  Client.start(std::move(Call), [Promise](HttpResult Result) {
    Promise->set_value(std::move(Result));
  });
  return Promise->get_future();
}

// Guards against calls that wait for a response on one silent connection after
// the other, although new connections work.
TEST(AsyncHttpClientTest, TriesNoSecondConnectionThatIsAsOldAsASilentOne) {
  constexpr int OpenConnections = 4;
  std::atomic<int> Waiting = 0;
  std::atomic<bool> Silent = false;
  RawServer Server([&](RawServer &Self, RawConnection &Connection) {
    const bool IsOld = !Silent;
    while (Connection.readRequest()) {
      if (IsOld && Silent)
        continue;
      ++Waiting;
      // The first calls are answered only once all of them have arrived, so
      // each of them has a connection of its own.
      while (IsOld && Waiting < OpenConnections && Self.connections() > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
      Connection.write(validResponse("0", "{}"));
    }
  });
  AsyncHttpClient Client;
  std::vector<std::future<HttpResult>> First;
  First.reserve(OpenConnections);
  for (int Number = 0; Number < OpenConnections; ++Number)
    First.push_back(startCall(Client, Server, LongTimeout));
  for (auto &Result : First)
    ASSERT_EQ(Result.get().State, TransferState::Complete);
  Silent = true;
  EXPECT_EQ(startCall(Client, Server, ShortTimeout).get().State,
            TransferState::InDoubt);
  for (int Number = 0; Number < OpenConnections; ++Number)
    EXPECT_EQ(startCall(Client, Server, LongTimeout).get().State,
              TransferState::Complete);
}

} // namespace
} // namespace apricotwing
