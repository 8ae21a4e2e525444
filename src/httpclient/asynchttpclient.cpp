#include "httpclient/asynchttpclient.h"

#include "httpclient/transfer.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace apricotwing {

namespace {

/// Idle connections kept over all addresses.
constexpr long MaxIdleConnections = 300;

/// Connections to one address. A worker allows 64 from all instances.
constexpr long MaxConnectionsPerAddress = 8;

/// Longest sleep without a call under way; a new call ends it.
constexpr int IdleWaitMs = 1000;

/// Sockets handled between two looks for new calls.
constexpr std::size_t MaxEventsPerStep = 64;

/// Keep-alive probes find a peer that went silent.
constexpr long KeepAliveSeconds = 5;

} // namespace

/// A call under way.
struct AsyncHttpClient::Job {
  HttpCall Call;
  Callback Then;
  HttpResult Result;
  HeaderList Headers{nullptr, curl_slist_free_all};
  std::unique_ptr<Transfer> Progress;
};

/// What the thread works on. libcurl tells which sockets to wait for, and is
/// told which are ready: a call costs the same however many others are open.
struct AsyncHttpClient::State {
  CURLM *Multi = curl_multi_init();
  const int Epoll = epoll_create1(EPOLL_CLOEXEC);
  const int Wake = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  /// Time of libcurl's timer; empty: it is not set.
  std::optional<std::chrono::steady_clock::time_point> Timer;
  moodycamel::ConcurrentQueue<std::unique_ptr<Job>> Added;
  std::map<CURL *, std::unique_ptr<Job>> Open;
  std::vector<CURL *> Idle;

  State() {
    epoll_event Event{};
    Event.events = EPOLLIN;
    Event.data.fd = Wake;
    epoll_ctl(Epoll, EPOLL_CTL_ADD, Wake, &Event);
    curl_multi_setopt(Multi, CURLMOPT_SOCKETFUNCTION, onSocket);
    curl_multi_setopt(Multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(Multi, CURLMOPT_TIMERFUNCTION, onTimer);
    curl_multi_setopt(Multi, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(Multi, CURLMOPT_MAXCONNECTS, MaxIdleConnections);
    curl_multi_setopt(Multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                      MaxConnectionsPerAddress);
  }

  ~State() {
    for (const auto &[Handle, Entry] : Open) {
      curl_multi_remove_handle(Multi, Handle);
      curl_easy_cleanup(Handle);
    }
    for (CURL *Handle : Idle)
      curl_easy_cleanup(Handle);
    curl_multi_cleanup(Multi);
    close(Wake);
    close(Epoll);
  }

  /// libcurl's request to wait for a socket.
  static int onSocket(CURL *, curl_socket_t Socket, int What, void *Context,
                      void *Known) {
    auto &Self = *static_cast<State *>(Context);
    if (What == CURL_POLL_REMOVE) {
      epoll_ctl(Self.Epoll, EPOLL_CTL_DEL, Socket, nullptr);
      return 0;
    }
    epoll_event Event{};
    Event.data.fd = Socket;
    if ((What & CURL_POLL_IN) != 0)
      Event.events |= EPOLLIN;
    if ((What & CURL_POLL_OUT) != 0)
      Event.events |= EPOLLOUT;
    epoll_ctl(Self.Epoll, Known ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, Socket,
              &Event);
    curl_multi_assign(Self.Multi, Socket, &Self);
    return 0;
  }

  /// libcurl's request to be called after some time.
  static int onTimer(CURLM *, long Milliseconds, void *Context) {
    auto &Self = *static_cast<State *>(Context);
    Self.Timer.reset();
    if (Milliseconds >= 0)
      Self.Timer = std::chrono::steady_clock::now() +
                   std::chrono::milliseconds(Milliseconds);
    return 0;
  }

  void begin(std::unique_ptr<Job> Entry) {
    Entry->Result.State = TransferState::NotSent;
    if (!isWellFormed(Entry->Call)) {
      Entry->Result.Detail = "the URL or a header contains a line break";
      Entry->Then(std::move(Entry->Result));
      return;
    }
    CURL *Handle = nullptr;
    if (Idle.empty()) {
      Handle = curl_easy_init();
    } else {
      Handle = Idle.back();
      Idle.pop_back();
    }
    Entry->Headers = headerList(Entry->Call);
    Entry->Progress.reset(new Transfer{Entry->Call, Entry->Result});
    setUp(Handle, Entry->Call, *Entry->Progress, Entry->Headers);
    curl_easy_setopt(Handle, CURLOPT_TCP_KEEPALIVE, 1L);
    curl_easy_setopt(Handle, CURLOPT_TCP_KEEPIDLE, KeepAliveSeconds);
    curl_easy_setopt(Handle, CURLOPT_TCP_KEEPINTVL, KeepAliveSeconds);
    Open.emplace(Handle, std::move(Entry));
    curl_multi_add_handle(Multi, Handle);
  }

  void finish(CURL *Handle, CURLcode Code) {
    curl_multi_remove_handle(Multi, Handle);
    auto Found = Open.extract(Handle);
    Idle.push_back(Handle);
    const std::unique_ptr<Job> Entry = std::move(Found.mapped());
    conclude(*Entry->Progress, Code, Handle);
    Entry->Then(std::move(Entry->Result));
  }

  void finishAll() {
    int Left = 0;
    while (const CURLMsg *Message = curl_multi_info_read(Multi, &Left))
      if (Message->msg == CURLMSG_DONE)
        finish(Message->easy_handle, Message->data.result);
  }

  /// Waits for sockets, the timer or a new call, and lets libcurl work.
  void step() {
    int WaitMs = IdleWaitMs;
    if (Timer) {
      const auto Left = std::chrono::ceil<std::chrono::milliseconds>(
          *Timer - std::chrono::steady_clock::now());
      WaitMs = int(std::clamp<std::int64_t>(Left.count(), 0, IdleWaitMs));
    }
    std::array<epoll_event, MaxEventsPerStep> Events{};
    const int Count =
        epoll_wait(Epoll, Events.data(), int(Events.size()), WaitMs);
    int Running = 0;
    for (int Index = 0; Index < Count; ++Index) {
      const epoll_event &Event = Events[std::size_t(Index)];
      if (Event.data.fd == Wake) {
        std::uint64_t Wakes = 0;
        (void)!read(Wake, &Wakes, sizeof Wakes);
        continue;
      }
      int Ready = 0;
      if ((Event.events & (EPOLLIN | EPOLLHUP)) != 0)
        Ready |= CURL_CSELECT_IN;
      if ((Event.events & EPOLLOUT) != 0)
        Ready |= CURL_CSELECT_OUT;
      if ((Event.events & EPOLLERR) != 0)
        Ready |= CURL_CSELECT_ERR;
      curl_multi_socket_action(Multi, Event.data.fd, Ready, &Running);
    }
    if (Timer && *Timer <= std::chrono::steady_clock::now()) {
      Timer.reset();
      curl_multi_socket_action(Multi, CURL_SOCKET_TIMEOUT, 0, &Running);
    }
  }
};

AsyncHttpClient::AsyncHttpClient() : Shared(std::make_unique<State>()) {
  Thread = std::thread([this] { run(); });
}

AsyncHttpClient::~AsyncHttpClient() {
  Stopping = true;
  wake();
  Thread.join();
}

void AsyncHttpClient::start(HttpCall Call, Callback Then) {
  auto Entry = std::make_unique<Job>();
  Entry->Call = std::move(Call);
  Entry->Then = std::move(Then);
  Shared->Added.enqueue(std::move(Entry));
  wake();
}

void AsyncHttpClient::wake() {
  const std::uint64_t One = 1;
  (void)!write(Shared->Wake, &One, sizeof One);
}

void AsyncHttpClient::run() {
  while (!Stopping) {
    std::unique_ptr<Job> Next;
    while (Shared->Added.try_dequeue(Next))
      Shared->begin(std::move(Next));
    Shared->step();
    Shared->finishAll();
  }
}

} // namespace apricotwing
