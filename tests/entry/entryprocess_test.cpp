#include "entry/entryprocess.h"

#include "entry/httppeertransport.h"
#include "httpclient/steadyclock.h"

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

namespace apricotwing::entry {
namespace {

/// A platform that never answers, so that client calls stay open until the
/// member fails them.
class UnresponsivePlatform final : public cell::MetadataStore,
                                   public cell::PlatformRecords,
                                   public cell::WorkerClient,
                                   public cell::AdviceClient,
                                   public cell::PeerTransport,
                                   public cell::WallClock {
public:
  void transact(const cell::Transaction &,
                std::function<void(cell::TransactionResult)>) override {}
  void read(const std::string &, const std::string &, const std::string &,
            std::size_t, std::function<void(cell::ReadResult)>) override {}
  void watch(const std::string &, std::int64_t, Duration,
             std::function<void(cell::ReadResult)>) override {}
  void readChanges(const std::string &, std::int64_t,
                   std::function<void(cell::ReadResult)>) override {}
  std::string policyTable() const override { return "policy"; }
  std::optional<jobs::ClusterPolicy>
  decodePolicy(const cell::StoredRow &) const override {
    return std::nullopt;
  }
  std::optional<std::string>
  decodeEvacuation(const cell::StoredRow &) const override {
    return std::nullopt;
  }
  std::string workerTable() const override { return "workers"; }
  std::optional<jobs::WorkerInfo>
  decodeWorker(const cell::StoredRow &) const override {
    return std::nullopt;
  }
  void heartbeat(const cell::WorkerAddress &, const cell::HeartbeatRequest &,
                 std::function<void(cell::HeartbeatResult)>) override {}
  void start(const cell::WorkerAddress &, const jobs::StartCommand &,
             std::int64_t, std::function<void(cell::WorkerAnswer)>) override {}
  void stop(const cell::WorkerAddress &, const jobs::StopCommand &,
            std::function<void(cell::WorkerAnswer)>) override {}
  void ask(const jobs::AdviceRequest &,
           std::function<void(std::optional<std::vector<jobs::Approval>>)>)
      override {}
  void post(const std::string &, std::string, Duration,
            std::function<void(cell::PeerResult)>) override {}
  std::int64_t unixMs() const override { return 0; }
};

class FakeClientCodec final : public ClientCodec {
public:
  std::optional<cell::ClientCall>
  decodeCall(const HttpRequest &Request) const override {
    cell::ClientCall Call;
    Call.Path = Request.Path;
    return Call;
  }
  HttpResponse encodeAnswer(const cell::ClientAnswer &Answer) const override {
    HttpResponse Response;
    Response.Status =
        Answer.Status == cell::ClientStatus::Unavailable ? 503 : 504;
    Response.Body = "{}";
    return Response;
  }
  std::string readyPath() const override { return "/ready"; }
};

constexpr std::size_t ConnectionCount = 250;

/// Codec that takes a long time to decode calls below /slow/.
class SlowClientCodec final : public ClientCodec {
public:
  explicit SlowClientCodec(Duration DecodeTime) : DecodeTime(DecodeTime) {}

  std::optional<cell::ClientCall>
  decodeCall(const HttpRequest &Request) const override {
    if (Request.Path.starts_with("/slow/"))
      std::this_thread::sleep_for(DecodeTime);
    return Plain.decodeCall(Request);
  }
  HttpResponse encodeAnswer(const cell::ClientAnswer &Answer) const override {
    return Plain.encodeAnswer(Answer);
  }
  std::string readyPath() const override { return Plain.readyPath(); }

private:
  const Duration DecodeTime;
  const FakeClientCodec Plain;
};

/// Connects to a port on loopback. Returns the socket, or a negative number if
/// the connection is refused.
int connectTo(int Port) {
  const int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(std::uint16_t(Port));
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  timeval ReceiveTimeout{8, 0};
  setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &ReceiveTimeout,
             sizeof ReceiveTimeout);
  if (connect(Socket, reinterpret_cast<sockaddr *>(&Address), sizeof Address) ==
      0)
    return Socket;
  close(Socket);
  return -1;
}

/// Sends a request and waits for its response. Returns the number of bytes
/// received, 0 if there is no response, or a negative number if the request
/// could not be sent.
int exchange(int Socket, const std::string &Path = "/queue/1") {
  const std::string Text = "GET " + Path + " HTTP/1.1\r\nHost: x\r\n\r\n";
  if (send(Socket, Text.data(), Text.size(), MSG_NOSIGNAL) < 0)
    return -1;
  std::array<char, 512> Answer{};
  return int(
      std::max<ssize_t>(recv(Socket, Answer.data(), Answer.size(), 0), 0));
}

// Guards against a call that arrives during the shutdown and never gets an
// answer, which also kept the process running until it was killed.
TEST(EntryProcessTest, AnswersEveryCallUntilItEnds) {
  const SteadyClock Time;
  UnresponsivePlatform Platform;
  const FakeClientCodec Codec;
  DecisionLog Log(Time, "n1");
  ControlLoop Control;
  const std::string Port = std::to_string(20'000 + getpid() % 10'000);
  EntrySettings Settings;
  Settings.Instance = {"n1", "127.0.0.1:0", "zone", 1};
  Settings.ClientAddress = "127.0.0.1:" + Port;
  Settings.ReadyAddress = "127.0.0.1:0";
  Settings.GracePeriod = Duration{6000};
  cell::Node Node(
      {Platform, Platform, Platform, Platform, Platform, Time, Platform, Log},
      cell::Timing{}, Settings.Instance, "n1#1");
  EntryProcess Process(Settings, Control, Node, Log, Time, Codec);
  const std::atomic<bool> Stop = true;
  std::atomic<bool> Reload = false;
  std::atomic<bool> Ended = false;
  std::thread Server([&] {
    Process.run(Stop, Reload, [] {});
    Ended = true;
  });
  // The connections are opened early and used late, since clients keep
  // connections open until the process is gone.
  std::vector<int> Connections;
  while (Connections.size() < ConnectionCount && !Ended) {
    const int Socket = connectTo(std::stoi(Port));
    if (Socket >= 0)
      Connections.push_back(Socket);
    else
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  int Answered = 0;
  int Unanswered = 0;
  for (const int Socket : Connections) {
    if (Ended)
      break;
    const int Received = exchange(Socket);
    Answered += Received > 0 ? 1 : 0;
    Unanswered += Received == 0 ? 1 : 0;
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  for (const int Socket : Connections)
    close(Socket);
  Server.join();
  EXPECT_GT(Answered, 100);
  // One request may be sent at the moment at which its connection is closed.
  EXPECT_LE(Unanswered, 1);
}

/// A process that is asked to stop when it starts. It refuses calls from 3.6 s
/// on. Calls below /slow/ take 1.5 s to decode.
class StoppingProcess {
public:
  StoppingProcess()
      : Settings(makeSettings()), Codec(Duration{1500}), Log(Time, "n1"),
        Node({Platform, Platform, Platform, Platform, Platform, Time, Platform,
              Log},
             cell::Timing{}, Settings.Instance, "n1#1"),
        Process(Settings, Control, Node, Log, Time, Codec), Start(Time.now()),
        Thread([this] { Process.run(Stop, Reload, [] {}); }) {}

  /// Connects to a port of the process as soon as it listens.
  int connect(int Port) const {
    int Socket = -1;
    while (Socket < 0 && age() < Duration{2000})
      Socket = connectTo(Port);
    return Socket;
  }

  void sleepUntil(Duration Age) const {
    std::this_thread::sleep_for(Age - age());
  }

  /// Waits until the process has ended. Returns its lifetime.
  Duration join() {
    Thread.join();
    return age();
  }

  static int clientPort() { return 20'000 + getpid() % 10'000; }
  static int peerPort() { return 10'000 + getpid() % 10'000; }

  const EntrySettings Settings;

private:
  static EntrySettings makeSettings() {
    EntrySettings Result;
    Result.Instance = {"n1", "127.0.0.1:" + std::to_string(peerPort()), "zone",
                       1};
    Result.ClientAddress = "127.0.0.1:" + std::to_string(clientPort());
    Result.ReadyAddress = "127.0.0.1:0";
    Result.GracePeriod = Duration{6000};
    return Result;
  }

  Duration age() const { return Time.now() - Start; }

  const SteadyClock Time;
  UnresponsivePlatform Platform;
  const SlowClientCodec Codec;
  DecisionLog Log;
  ControlLoop Control;
  cell::Node Node;
  EntryProcess Process;
  const std::atomic<bool> Stop = true;
  std::atomic<bool> Reload = false;
  const TimePoint Start;
  std::thread Thread;
};

// Guards against a call that is queued after the last work has run.
TEST(EntryProcessTest, AnswersACallThatIsDecodedWhileTheProcessEnds) {
  StoppingProcess Process;
  const int Connection = Process.connect(StoppingProcess::clientPort());
  Process.sleepUntil(Duration{2800});
  EXPECT_GT(exchange(Connection, "/slow/1"), 0);
  close(Connection);
  EXPECT_LT(Process.join(), Process.Settings.GracePeriod);
}

// The same for a message of another instance.
TEST(EntryProcessTest, AnswersPeersWhileTheProcessEnds) {
  StoppingProcess Process;
  const int Client = Process.connect(StoppingProcess::clientPort());
  const int Peer = Process.connect(StoppingProcess::peerPort());
  Process.sleepUntil(Duration{2800});
  std::thread SlowCall([&] { exchange(Client, "/slow/1"); });
  // The servers are closed one after the other; that for clients waits for the
  // slow call until 4.3 s.
  Process.sleepUntil(Duration{3950});
  EXPECT_GT(exchange(Peer, PeerMessagePath), 0);
  SlowCall.join();
  close(Client);
  close(Peer);
  EXPECT_LT(Process.join(), Process.Settings.GracePeriod);
}

} // namespace
} // namespace apricotwing::entry
