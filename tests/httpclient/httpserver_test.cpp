#include "core/error.h"
#include "core/httpserver.h"

#include <asio.hpp>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <sys/socket.h>

#include <atomic>
#include <chrono>
#include <future>
#include <list>
#include <thread>

namespace apricotwing {
namespace {

using namespace std::chrono_literals;

constexpr auto Generous = 20s;

/// A client that sends bytes as they are. Reads give up after Generous.
class RawClient {
public:
  explicit RawClient(std::uint16_t Port) : Socket(Context) {
    Socket.connect({asio::ip::make_address("127.0.0.1"), Port});
    const timeval Limit{std::chrono::seconds(Generous).count(), 0};
    setsockopt(Socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &Limit,
               sizeof(Limit));
  }

  void send(std::string_view Text) {
    asio::error_code Ignored;
    asio::write(Socket, asio::buffer(Text), Ignored);
  }

  /// Status of the next response, 0 if the server closed, -1 if it did
  /// nothing for Generous. Body and Head hold the rest.
  int readResponse() {
    std::size_t End = 0;
    while ((End = Buffer.find("\r\n\r\n")) == std::string::npos)
      if (const int Got = receive(); Got <= 0)
        return Got;
    Head = Buffer.substr(0, End);
    const std::size_t At = Head.find("Content-Length: ");
    const std::size_t Length =
        At == std::string::npos ? 0 : std::stoul(Head.substr(At + 16));
    while (Buffer.size() < End + 4 + Length)
      if (const int Got = receive(); Got <= 0)
        return Got;
    Body = Buffer.substr(End + 4, Length);
    Buffer.erase(0, End + 4 + Length);
    return std::stoi(Head.substr(Head.find(' ')));
  }

  std::string Head;
  std::string Body;

private:
  int receive() {
    char Bytes[4096];
    const ssize_t Got = ::recv(Socket.native_handle(), Bytes, sizeof(Bytes), 0);
    if (Got < 0)
      return errno == EAGAIN || errno == EWOULDBLOCK ? -1 : 0;
    Buffer.append(Bytes, std::size_t(Got));
    return int(Got);
  }

  asio::io_context Context;
  asio::ip::tcp::socket Socket;
  std::string Buffer;
};

std::string post(std::string_view Body, std::string_view Path = "/echo?a=1") {
  return "POST " + std::string(Path) +
         " HTTP/1.1\r\nHost: x\r\nX-Mixed-Case: V\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\n\r\n" + std::string(Body);
}

void echo(HttpRequest Request, const Responder &Respond) {
  HttpResponse Response;
  Response.Body = Request.Method + " " + Request.Path + "?" + Request.Query +
                  " " + Request.Headers["x-mixed-case"] + " " + Request.Body;
  Respond(std::move(Response));
}

HttpResponse status(int Code) {
  HttpResponse Response;
  Response.Status = Code;
  return Response;
}

HttpServerOptions smallServer() {
  HttpServerOptions Options;
  Options.Threads = 1;
  Options.MaxBodyBytes = 1000;
  Options.ReadTimeoutMs = 400;
  return Options;
}

// Guards against a response that is lost, or delivered to the wrong request,
// when it is sent later and from a thread that is not the server's.
TEST(HttpServerTest, RespondsFromAnyThreadOverOneConnection) {
  std::vector<std::future<void>> Later;
  const auto Server = startHttpServer(
      smallServer(), [&Later](const HttpRequest &R, const Responder &Send) {
        Later.push_back(std::async(std::launch::async, [R, Send] {
          std::this_thread::sleep_for(5ms);
          echo(R, Send);
          Send(status(500));
        }));
      });
  RawClient Client(Server->port());
  for (int I = 0; I < 20; ++I) {
    const std::string Body = "body " + std::to_string(I);
    Client.send(post(Body));
    ASSERT_EQ(Client.readResponse(), 200);
    EXPECT_EQ(Client.Body, "POST /echo?a=1 V " + Body);
  }
}

// Guards against a caller that waits for ever because a handler lost track of
// its request, and against calling such a request "not run".
TEST(HttpServerTest, ADroppedResponderAnswersUnknown) {
  const auto Server = startHttpServer(
      smallServer(), [](const HttpRequest &R, const Responder &) {
        if (R.Path == "/throw")
          throw Error(ErrorKind::NotFound, "no \"x\"", "look");
      });
  RawClient Client(Server->port());
  Client.send(post("x"));
  EXPECT_EQ(Client.readResponse(), 500);
  EXPECT_NE(Client.Body.find("\"outcome\":\"unknown\""), std::string::npos);
  Client.send(post("x", "/throw"));
  EXPECT_EQ(Client.readResponse(), 404);
  EXPECT_EQ(Client.Body, R"({"error":{"kind":"not_found","message":)"
                         R"("no \"x\"","remedy":"look","outcome":"not_run"}})");
}

// Guards against a body above the limit that reaches the handler or exhausts
// memory, and against a refusal that the caller cannot read.
TEST(HttpServerTest, AnswersTooLargeAndServesOn) {
  std::atomic<int> Handled = 0;
  const auto Server = startHttpServer(
      smallServer(), [&Handled](HttpRequest R, const Responder &Send) {
        ++Handled;
        echo(std::move(R), Send);
      });
  for (const std::size_t Size : {1001, 2000, 60000, 3000000}) {
    RawClient Client(Server->port());
    Client.send(post(std::string(Size, 'x')));
    EXPECT_EQ(Client.readResponse(), 413) << Size;
    EXPECT_NE(Client.Body.find("too_large"), std::string::npos);
  }
  RawClient Chunked(Server->port());
  Chunked.send("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
               "\r\n186a0\r\n" +
               std::string(100000, 'x') + "\r\n0\r\n\r\n");
  EXPECT_EQ(Chunked.readResponse(), 413);
  EXPECT_EQ(Handled, 0);
  RawClient Client(Server->port());
  Client.send(post(std::string(1000, 'x')));
  EXPECT_EQ(Client.readResponse(), 200);
}

// Guards against slow senders that occupy the only io thread or stay for
// ever: each gets 408, and others are served meanwhile.
TEST(HttpServerTest, SlowSendersHoldNoThreadAndAreCutOff) {
  HttpServerOptions Options = smallServer();
  Options.ReadTimeoutMs = 1000;
  const auto Server = startHttpServer(Options, echo);
  std::list<RawClient> Slow;
  for (int I = 0; I < 50; ++I)
    Slow.emplace_back(Server->port()).send(post("xxxxx").substr(0, 1 + I));
  RawClient Trickle(Server->port());
  std::atomic<bool> Done = false;
  auto Sender = std::async(std::launch::async, [&] {
    const std::string Text = post(std::string(900, 'x'));
    for (std::size_t I = 0; I < Text.size() && !Done; ++I) {
      Trickle.send(Text.substr(I, 1));
      std::this_thread::sleep_for(100ms);
    }
  });
  RawClient Normal(Server->port());
  Normal.send(post("x"));
  EXPECT_EQ(Normal.readResponse(), 200);
  for (RawClient &Client : Slow)
    EXPECT_EQ(Client.readResponse(), 408);
  EXPECT_EQ(Trickle.readResponse(), 408);
  Done = true;
}

// Guards against input that is not HTTP stopping the server or reaching the
// handler.
TEST(HttpServerTest, MalformedInputIsRefused) {
  std::atomic<int> Handled = 0;
  const auto Server = startHttpServer(
      smallServer(), [&Handled](HttpRequest R, const Responder &Send) {
        ++Handled;
        echo(std::move(R), Send);
      });
  const std::vector<std::string> Inputs = {
      std::string("\0\1\2\3\r\n\r\n", 8),
      "GARBAGE\r\n\r\n",
      "POST / HTTP/x\r\n\r\n",
      "POST / HTTP/1.1\r\nContent-Length: -5\r\n\r\n",
      "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
      "POST / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n",
      "POST / HTTP/1.1\r\nBad Header\r\n\r\n",
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
      "GET /" + std::string(100000, 'a') + " HTTP/1.1\r\n\r\n",
      "GET / HTTP/1.1\r\nX: " + std::string(100000, 'a') + "\r\n\r\n",
  };
  for (const std::string &Input : Inputs) {
    RawClient Client(Server->port());
    Client.send(Input);
    EXPECT_THAT(Client.readResponse(), testing::AnyOf(0, 400, 408, 413))
        << Input.substr(0, 80);
  }
  EXPECT_EQ(Handled, 0);
  RawClient Client(Server->port());
  Client.send(post("x"));
  EXPECT_EQ(Client.readResponse(), 200);
}

// Guards against idle connections without bound, and against a server that
// accepts nothing any more once it was full.
TEST(HttpServerTest, ConnectionsAreLimited) {
  HttpServerOptions Options = smallServer();
  Options.MaxConnections = 4;
  Options.ReadTimeoutMs = 60000;
  const auto Server = startHttpServer(Options, echo);
  std::list<RawClient> Idle;
  for (int I = 0; I < 4; ++I) {
    Idle.emplace_back(Server->port()).send(post("x"));
    ASSERT_EQ(Idle.back().readResponse(), 200);
  }
  RawClient Waiting(Server->port());
  Waiting.send(post("x"));
  auto Answer =
      std::async(std::launch::async, [&] { return Waiting.readResponse(); });
  EXPECT_EQ(Answer.wait_for(200ms), std::future_status::timeout);
  Idle.pop_front();
  EXPECT_EQ(Answer.get(), 200);
}

// Guards against a planned stop that interrupts a request or takes new ones.
TEST(HttpServerTest, StoppingFinishesOpenRequests) {
  std::promise<Responder> Arrived;
  auto Server = startHttpServer(
      smallServer(),
      [&](const HttpRequest &, const Responder &R) { Arrived.set_value(R); });
  const std::uint16_t Port = Server->port();
  RawClient Client(Port);
  Client.send(post("x"));
  Responder Respond = Arrived.get_future().get();
  Server->stopAccepting();
  EXPECT_THROW(RawClient{Port}, std::system_error);
  auto Stopped = std::async(std::launch::async, [&] { Server.reset(); });
  EXPECT_EQ(Stopped.wait_for(200ms), std::future_status::timeout);
  Respond(status(202));
  EXPECT_EQ(Client.readResponse(), 202);
  EXPECT_NE(Client.Head.find("Connection: close"), std::string::npos);
  EXPECT_EQ(Stopped.wait_for(Generous), std::future_status::ready);
  Respond(HttpResponse{});
}

// Guards against a start that fails without saying what to change.
TEST(HttpServerTest, AnAddressInUseIsABadSetting) {
  const auto Server = startHttpServer(smallServer(), echo);
  HttpServerOptions Same = smallServer();
  Same.Port = Server->port();
  EXPECT_THROW(startHttpServer(Same, echo), Error);
}

} // namespace
} // namespace apricotwing
