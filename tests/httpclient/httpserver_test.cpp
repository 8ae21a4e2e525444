#include "core/error.h"
#include "core/httpserver.h"
#include "httpserver/intakebudget.h"

#include <asio.hpp>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include <atomic>
#include <chrono>
#include <future>
#include <list>
#include <string>
#include <thread>
#include <vector>

namespace apricotwing {
namespace {

using namespace std::chrono_literals;

constexpr auto LongTimeout = 20s;

/// A client that sends raw bytes. Reads time out after Generous.
class RawClient {
public:
  explicit RawClient(std::uint16_t Port) : Socket(Context) {
    Socket.connect({asio::ip::make_address("127.0.0.1"), Port});
    const timeval Limit{std::chrono::seconds(LongTimeout).count(), 0};
    setsockopt(Socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &Limit,
               sizeof(Limit));
  }

  void send(std::string_view Text) {
    asio::error_code Ignored;
    asio::write(Socket, asio::buffer(Text), Ignored);
  }

  /// Returns the status of the next response and stores its head and body in
  /// Head and Body. Returns 0 if the server closed the connection and -1 after
  /// the timeout Generous. A response to HEAD has no body, whatever its
  /// Content-Length is.
  int readResponse(bool ToHead = false) {
    std::size_t End = 0;
    while ((End = Buffer.find("\r\n\r\n")) == std::string::npos)
      if (const int ReceivedBytes = receive(); ReceivedBytes <= 0)
        return ReceivedBytes;
    Head = Buffer.substr(0, End);
    const std::size_t Position = Head.find("Content-Length: ");
    const std::size_t Length = ToHead || Position == std::string::npos
                                   ? 0
                                   : std::stoul(Head.substr(Position + 16));
    while (Buffer.size() < End + 4 + Length)
      if (const int ReceivedBytes = receive(); ReceivedBytes <= 0)
        return ReceivedBytes;
    Body = Buffer.substr(End + 4, Length);
    Buffer.erase(0, End + 4 + Length);
    return std::stoi(Head.substr(Head.find(' ')));
  }

  std::string Head;
  std::string Body;

private:
  int receive() {
    char Bytes[4096];
    const ssize_t ReceivedBytes =
        ::recv(Socket.native_handle(), Bytes, sizeof(Bytes), 0);
    if (ReceivedBytes < 0)
      return errno == EAGAIN || errno == EWOULDBLOCK ? -1 : 0;
    Buffer.append(Bytes, std::size_t(ReceivedBytes));
    return int(ReceivedBytes);
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

HttpResponse statusResponse(int Code) {
  HttpResponse Response;
  Response.Status = Code;
  return Response;
}

HttpServerOptions testServerOptions() {
  HttpServerOptions Options;
  Options.Threads = 1;
  Options.MaxBodyBytes = 1000;
  Options.ReadTimeoutMs = 400;
  return Options;
}

// Guards against a response that is lost or delivered to the wrong request if
// it is sent asynchronously from a thread outside the server.
TEST(HttpServerTest, RespondsFromAnyThreadOnOneConnection) {
  std::vector<std::future<void>> PendingResponses;
  const auto Server = startHttpServer(
      testServerOptions(), [&PendingResponses](const HttpRequest &Request,
                                               const Responder &Respond) {
        PendingResponses.push_back(
            std::async(std::launch::async, [Request, Respond] {
              std::this_thread::sleep_for(5ms);
              echo(Request, Respond);
              Respond(statusResponse(500));
            }));
      });
  RawClient Client(Server->port());
  for (int Index = 0; Index < 20; ++Index) {
    const std::string Body = "body " + std::to_string(Index);
    Client.send(post(Body));
    ASSERT_EQ(Client.readResponse(), 200);
    EXPECT_EQ(Client.Body, "POST /echo?a=1 V " + Body);
  }
}

// Guards against a pipelined request whose first part is discarded.
TEST(HttpServerTest, KeepsAPartialRequestThatFollowsAnImmediateResponse) {
  const auto Server = startHttpServer(testServerOptions(), echo);
  RawClient Client(Server->port());
  for (int Index = 0; Index < 20; ++Index) {
    const std::string First = "first " + std::to_string(Index);
    const std::string Second = post("second " + std::to_string(Index));
    const std::size_t Middle = Second.size() * std::size_t(Index + 1) / 21;
    Client.send(post(First) + Second.substr(0, Middle));
    ASSERT_EQ(Client.readResponse(), 200);
    EXPECT_EQ(Client.Body, "POST /echo?a=1 V " + First);
    std::this_thread::sleep_for(5ms);
    Client.send(Second.substr(Middle));
    ASSERT_EQ(Client.readResponse(), 200);
    EXPECT_EQ(Client.Body, "POST /echo?a=1 V second " + std::to_string(Index));
  }
}

// Guards against pipelined requests without a response.
TEST(HttpServerTest, AnswersPipelinedRequestsInOrder) {
  std::vector<std::future<void>> PendingResponses;
  const auto Server = startHttpServer(
      testServerOptions(), [&PendingResponses](const HttpRequest &Request,
                                               const Responder &Respond) {
        if (Request.Path == "/now") {
          echo(Request, Respond);
          return;
        }
        PendingResponses.push_back(
            std::async(std::launch::async, [Request, Respond] {
              std::this_thread::sleep_for(2ms);
              echo(Request, Respond);
            }));
      });
  RawClient Client(Server->port());
  for (int Index = 0; Index < 20; ++Index) {
    const std::vector<std::string> Paths{"/now", "/later", "/now", "/now",
                                         "/later"};
    std::string Text;
    for (const std::string &Path : Paths)
      Text += post(std::to_string(Index), Path);
    Client.send(Text);
    for (const std::string &Path : Paths) {
      ASSERT_EQ(Client.readResponse(), 200);
      EXPECT_EQ(Client.Body, "POST " + Path + "? V " + std::to_string(Index));
    }
  }
}

// Guards against a body that a client takes for the next response.
TEST(HttpServerTest, SendsNoBodyInResponseToHead) {
  const auto Server = startHttpServer(testServerOptions(), echo);
  RawClient Client(Server->port());
  Client.send("HEAD /head HTTP/1.1\r\nHost: x\r\n\r\n" + post("x"));
  ASSERT_EQ(Client.readResponse(/*ToHead=*/true), 200);
  EXPECT_NE(Client.Head.find("Content-Length: 13"), std::string::npos);
  ASSERT_EQ(Client.readResponse(), 200);
  EXPECT_EQ(Client.Body, "POST /echo?a=1 V x");
}

// Guards against a client that waits forever because a handler dropped its
// request, and against reporting such a request as "not run".
TEST(HttpServerTest, DroppedResponderYieldsUnknownOutcome) {
  const auto Server = startHttpServer(
      testServerOptions(), [](const HttpRequest &Request, const Responder &) {
        if (Request.Path == "/throw")
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
// the memory, and against an error response that the client cannot read.
TEST(HttpServerTest, RejectsTooLargeBodiesAndKeepsServing) {
  std::atomic<int> Handled = 0;
  const auto Server = startHttpServer(
      testServerOptions(),
      [&Handled](HttpRequest Request, const Responder &Respond) {
        ++Handled;
        echo(std::move(Request), Respond);
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

// Guards against slow clients that block the only I/O thread or stay connected
// forever: each receives status 408, and other clients are served meanwhile.
TEST(HttpServerTest, SlowClientsHoldNoThreadAndTimeOut) {
  HttpServerOptions Options = testServerOptions();
  Options.ReadTimeoutMs = 1000;
  const auto Server = startHttpServer(Options, echo);
  std::list<RawClient> Slow;
  for (int Index = 0; Index < 50; ++Index)
    Slow.emplace_back(Server->port()).send(post("xxxxx").substr(0, 1 + Index));
  RawClient SlowestClient(Server->port());
  std::atomic<bool> Done = false;
  auto Sender = std::async(std::launch::async, [&] {
    const std::string Text = post(std::string(900, 'x'));
    for (std::size_t Index = 0; Index < Text.size() && !Done; ++Index) {
      SlowestClient.send(Text.substr(Index, 1));
      std::this_thread::sleep_for(100ms);
    }
  });
  RawClient Normal(Server->port());
  Normal.send(post("x"));
  EXPECT_EQ(Normal.readResponse(), 200);
  for (RawClient &Client : Slow)
    EXPECT_EQ(Client.readResponse(), 408);
  EXPECT_EQ(SlowestClient.readResponse(), 408);
  Done = true;
}

// Guards against input that is not valid HTTP and stops the server or reaches
// the handler.
TEST(HttpServerTest, MalformedInputIsRejected) {
  std::atomic<int> Handled = 0;
  const auto Server = startHttpServer(
      testServerOptions(),
      [&Handled](HttpRequest Request, const Responder &Respond) {
        ++Handled;
        echo(std::move(Request), Respond);
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

// Guards against an unlimited number of idle connections, and against a server
// that stops accepting connections after it reached the limit once.
TEST(HttpServerTest, ConnectionsAreLimited) {
  HttpServerOptions Options = testServerOptions();
  Options.MaxConnections = 4;
  Options.ReadTimeoutMs = 60000;
  const auto Server = startHttpServer(Options, echo);
  std::list<RawClient> Idle;
  for (int Index = 0; Index < 4; ++Index) {
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

IntakeLimits smallIntake() {
  IntakeLimits Result;
  Result.Parts = {{{100'000, 4}, {100'000, 4}, {100'000, 4}}};
  Result.RequestTimeout = Duration{60'000};
  return Result;
}

// Guards against a budget that closes ordinary requests instead of the
// unfinished one that holds most, and against a refusal without a response.
TEST(HttpServerTest, RefusesTheLargestUnfinishedRequest) {
  HttpServerOptions Options = testServerOptions();
  Options.ReadTimeoutMs = 60000;
  Options.MaxBodyBytes = 1'000'000;
  Options.Intake = std::make_shared<IntakeBudget>(smallIntake());
  std::atomic<int> Handled = 0;
  const auto Server = startHttpServer(
      Options, [&Handled](HttpRequest Request, const Responder &Respond) {
        ++Handled;
        echo(std::move(Request), Respond);
      });
  RawClient Large(Server->port());
  Large.send(post(std::string(200'000, 'x')).substr(0, 199'999));
  EXPECT_EQ(Large.readResponse(), 503);
  EXPECT_NE(Large.Body.find("\"outcome\":\"not_run\""), std::string::npos);
  EXPECT_EQ(Handled, 0);
  RawClient Client(Server->port());
  Client.send(post("x"));
  EXPECT_EQ(Client.readResponse(), 200);
}

// Guards against connections that keep a new client out once the limit of
// their part is reached.
TEST(HttpServerTest, ANewConnectionReplacesAnUnfinishedOne) {
  HttpServerOptions Options = testServerOptions();
  Options.ReadTimeoutMs = 60000;
  Options.Intake = std::make_shared<IntakeBudget>(smallIntake());
  const auto Server = startHttpServer(Options, echo);
  std::list<RawClient> Unfinished;
  for (int Index = 0; Index < 12; ++Index)
    Unfinished.emplace_back(Server->port()).send("POST / HTTP/1.1\r\n");
  RawClient Client(Server->port());
  Client.send(post("x"));
  EXPECT_EQ(Client.readResponse(), 200);
  // Closed without a response if nothing had been read of it.
  EXPECT_THAT(Unfinished.front().readResponse(), testing::AnyOf(0, 503));
}

// Guards against requests that wait on all connections, so that no other client
// gets a response.
TEST(HttpServerTest, RefusesRequestsWhileTooManyWait) {
  HttpServerOptions Options = testServerOptions();
  Options.ReadTimeoutMs = 60000;
  Options.Intake = std::make_shared<IntakeBudget>(smallIntake());
  std::promise<void> Release;
  const std::shared_future<void> Released = Release.get_future().share();
  std::vector<std::future<void>> Waiting;
  std::atomic<int> Handled = 0;
  const auto Server = startHttpServer(
      Options, [&](const HttpRequest &Request, const Responder &Respond) {
        Waiting.push_back(
            std::async(std::launch::async, [Released, Request, Respond] {
              Released.wait();
              echo(Request, Respond);
            }));
        ++Handled;
      });
  std::list<RawClient> Clients;
  for (int Index = 0; Index < 3; ++Index)
    Clients.emplace_back(Server->port()).send(post("x"));
  while (Handled < 3)
    std::this_thread::sleep_for(1ms);
  RawClient Refused(Server->port());
  Refused.send(post("x"));
  EXPECT_EQ(Refused.readResponse(), 503);
  EXPECT_NE(Refused.Head.find("Retry-After: 1"), std::string::npos);
  EXPECT_NE(Refused.Body.find("\"outcome\":\"not_run\""), std::string::npos);
  Release.set_value();
  EXPECT_EQ(Clients.front().readResponse(), 200);
}

// Guards against a server that accepts nobody at the limit of its budget, since
// RESTinio's limit is the same.
TEST(HttpServerTest, ReplacesAConnectionIfTheDescriptorsAllowNoMore) {
  rlimit Former{};
  ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &Former), 0);
  const rlimit Few{100, Former.rlim_max};
  IntakeLimits Limits = smallIntake();
  Limits.Parts[std::size_t(IntakePart::Callers)].Connections = 25;
  HttpServerOptions Options = testServerOptions();
  Options.ReadTimeoutMs = 60000;
  Options.Intake = std::make_shared<IntakeBudget>(Limits);
  setrlimit(RLIMIT_NOFILE, &Few);
  const auto Server = startHttpServer(Options, echo);
  setrlimit(RLIMIT_NOFILE, &Former);
  std::list<RawClient> Unfinished;
  for (int Index = 0; Index < 25; ++Index)
    Unfinished.emplace_back(Server->port()).send("POST / HTTP/1.1\r\n");
  RawClient Client(Server->port());
  Client.send(post("x"));
  EXPECT_EQ(Client.readResponse(), 200);
}

// Guards against an unfinished request that the time limit misses because the
// time for idle connections is longer.
TEST(HttpServerTest, ClosesAnOverdueRequestBeforeTheIdleTime) {
  IntakeLimits Limits = smallIntake();
  Limits.RequestTimeout = Duration{300};
  HttpServerOptions Options = testServerOptions();
  Options.ReadTimeoutMs = 60000;
  Options.Intake = std::make_shared<IntakeBudget>(Limits);
  const auto Server = startHttpServer(Options, echo);
  RawClient Slow(Server->port());
  Slow.send("POST / HTTP/1.1\r\n");
  EXPECT_EQ(Slow.readResponse(), 408);
}

// Guards against a graceful stop that interrupts an open request or accepts new
// connections.
TEST(HttpServerTest, StoppingFinishesOpenRequests) {
  std::promise<Responder> Arrived;
  auto Server = startHttpServer(
      testServerOptions(), [&](const HttpRequest &, const Responder &Respond) {
        Arrived.set_value(Respond);
      });
  const std::uint16_t Port = Server->port();
  RawClient Client(Port);
  Client.send(post("x"));
  Responder Respond = Arrived.get_future().get();
  Server->stopAccepting();
  EXPECT_THROW(RawClient{Port}, std::system_error);
  auto Stopped = std::async(std::launch::async, [&] { Server.reset(); });
  EXPECT_EQ(Stopped.wait_for(200ms), std::future_status::timeout);
  Respond(statusResponse(202));
  EXPECT_EQ(Client.readResponse(), 202);
  EXPECT_NE(Client.Head.find("Connection: close"), std::string::npos);
  EXPECT_EQ(Stopped.wait_for(LongTimeout), std::future_status::ready);
  Respond(HttpResponse{});
}

// Guards against an address in use that is not reported as an Error.
TEST(HttpServerTest, AddressInUseThrows) {
  const auto Server = startHttpServer(testServerOptions(), echo);
  HttpServerOptions Same = testServerOptions();
  Same.Port = Server->port();
  EXPECT_THROW(startHttpServer(Same, echo), Error);
}

} // namespace
} // namespace apricotwing
