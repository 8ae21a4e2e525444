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

/// Maximum number of idle connections, all addresses together.
constexpr long MaxIdleConnections = 300;

/// Maximum number of connections to one address. A worker accepts 64
/// connections, which all entry instances share.
constexpr long MaxConnectionsPerAddress = 12;

/// Longest wait for events; a new call interrupts it.
constexpr int MaxWaitMs = 1000;

/// Maximum number of socket events handled before the thread checks for new
/// calls.
constexpr std::size_t MaxEventsPerWait = 64;

/// libcurl compares the age of connections in whole seconds. Within this time
/// after a timeout, calls therefore use new connections only.
constexpr std::chrono::seconds MinComparableAge{2};

/// How long a timeout counts against older connections. Those that stay idle
/// are closed sooner.
constexpr std::chrono::seconds TimeoutRetention{60};

/// Interval of the TCP keep-alive probes, which detect an unreachable peer.
constexpr long KeepAliveSeconds = 5;

} // namespace

/// A call that has been submitted and not yet completed.
struct AsyncHttpClient::PendingCall {
  HttpCall Call;
  Callback OnComplete;
  std::chrono::steady_clock::time_point SubmittedAt;
  HttpResult Result;
  HeaderList Headers{nullptr, curl_slist_free_all};
  std::unique_ptr<Transfer> TransferContext;

  /// When the call ends unless it makes progress. Requires a StallTimeout.
  std::chrono::steady_clock::time_point stallDeadline() const {
    return TransferContext->LastProgress + *Call.StallTimeout;
  }
};

/// The event loop of the client's thread. libcurl reports the sockets to wait
/// for and is notified of each socket that is ready, so the cost of a call does
/// not depend on the number of other open calls.
struct AsyncHttpClient::EventLoop {
  CURLM *Multi = curl_multi_init();
  const int EpollFd = epoll_create1(EPOLL_CLOEXEC);
  const int WakeFd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  /// When libcurl's timer expires; empty if the timer is not set.
  std::optional<std::chrono::steady_clock::time_point> TimerDeadline;
  moodycamel::ConcurrentQueue<std::unique_ptr<PendingCall>> Submitted;
  std::map<CURL *, std::unique_ptr<PendingCall>> ActiveCalls;
  std::vector<CURL *> IdleHandles;
  /// When to check the calls that have a StallTimeout, at the latest.
  std::multimap<std::chrono::steady_clock::time_point, CURL *> StallChecks;
  /// When a call with AvoidOldConnections last had no response in time, by
  /// address.
  std::map<std::string, std::chrono::steady_clock::time_point> LastTimeouts;

  EventLoop() {
    epoll_event Event{};
    Event.events = EPOLLIN;
    Event.data.fd = WakeFd;
    epoll_ctl(EpollFd, EPOLL_CTL_ADD, WakeFd, &Event);
    curl_multi_setopt(Multi, CURLMOPT_SOCKETFUNCTION, onSocket);
    curl_multi_setopt(Multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(Multi, CURLMOPT_TIMERFUNCTION, onTimer);
    curl_multi_setopt(Multi, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(Multi, CURLMOPT_MAXCONNECTS, MaxIdleConnections);
    curl_multi_setopt(Multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                      MaxConnectionsPerAddress);
  }

  ~EventLoop() {
    for (const auto &[Handle, Pending] : ActiveCalls) {
      curl_multi_remove_handle(Multi, Handle);
      curl_easy_cleanup(Handle);
    }
    for (CURL *Handle : IdleHandles)
      curl_easy_cleanup(Handle);
    curl_multi_cleanup(Multi);
    close(WakeFd);
    close(EpollFd);
  }

  /// CURLMOPT_SOCKETFUNCTION: updates the events to wait for on a socket.
  static int onSocket(CURL *, curl_socket_t Socket, int PollFlags,
                      void *Context, void *SocketData) {
    auto &Self = *static_cast<EventLoop *>(Context);
    if (PollFlags == CURL_POLL_REMOVE) {
      epoll_ctl(Self.EpollFd, EPOLL_CTL_DEL, Socket, nullptr);
      return 0;
    }
    epoll_event Event{};
    Event.data.fd = Socket;
    if ((PollFlags & CURL_POLL_IN) != 0)
      Event.events |= EPOLLIN;
    if ((PollFlags & CURL_POLL_OUT) != 0)
      Event.events |= EPOLLOUT;
    epoll_ctl(Self.EpollFd, SocketData ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, Socket,
              &Event);
    curl_multi_assign(Self.Multi, Socket, &Self);
    return 0;
  }

  /// CURLMOPT_TIMERFUNCTION: sets or clears libcurl's timer.
  static int onTimer(CURLM *, long Milliseconds, void *Context) {
    auto &Self = *static_cast<EventLoop *>(Context);
    Self.TimerDeadline.reset();
    if (Milliseconds >= 0)
      Self.TimerDeadline = std::chrono::steady_clock::now() +
                           std::chrono::milliseconds(Milliseconds);
    return 0;
  }

  void noteTimeout(const std::string &Address) {
    const auto Now = std::chrono::steady_clock::now();
    std::erase_if(LastTimeouts, [Now](const auto &Entry) {
      return Now - Entry.second >= TimeoutRetention;
    });
    LastTimeouts[Address] = Now;
  }

  void avoidOldConnections(CURL *Handle, const std::string &Address) {
    const auto Found = LastTimeouts.find(Address);
    if (Found == LastTimeouts.end())
      return;
    const auto Age = std::chrono::floor<std::chrono::seconds>(
        std::chrono::steady_clock::now() - Found->second);
    if (Age >= TimeoutRetention)
      return;
    if (Age < MinComparableAge)
      curl_easy_setopt(Handle, CURLOPT_FRESH_CONNECT, 1L);
    else
      curl_easy_setopt(Handle, CURLOPT_MAXLIFETIME_CONN, long(Age.count()) - 1);
  }

  void startTransfer(std::unique_ptr<PendingCall> Pending) {
    Pending->Result.State = TransferState::NotSent;
    if (!isWellFormed(Pending->Call)) {
      Pending->Result.Detail = "the URL or a header contains a line break";
      Pending->OnComplete(std::move(Pending->Result));
      return;
    }
    CURL *Handle = nullptr;
    if (IdleHandles.empty()) {
      Handle = curl_easy_init();
    } else {
      Handle = IdleHandles.back();
      IdleHandles.pop_back();
    }
    Pending->Headers = makeHeaderList(Pending->Call);
    Pending->TransferContext.reset(
        new Transfer{Pending->Call, Pending->Result});
    configureHandle(Handle, Pending->Call, *Pending->TransferContext,
                    Pending->Headers);
    if (Pending->Call.AvoidOldConnections)
      avoidOldConnections(Handle, hostAndPort(Pending->Call.Url));
    curl_easy_setopt(Handle, CURLOPT_TCP_KEEPALIVE, 1L);
    curl_easy_setopt(Handle, CURLOPT_TCP_KEEPIDLE, KeepAliveSeconds);
    curl_easy_setopt(Handle, CURLOPT_TCP_KEEPINTVL, KeepAliveSeconds);
    if (Pending->Call.StallTimeout)
      StallChecks.emplace(Pending->stallDeadline(), Handle);
    ActiveCalls.emplace(Handle, std::move(Pending));
    curl_multi_add_handle(Multi, Handle);
  }

  void completeCall(CURL *Handle, CURLcode Code) {
    curl_multi_remove_handle(Multi, Handle);
    auto Found = ActiveCalls.extract(Handle);
    std::erase_if(StallChecks, [Handle](const auto &Check) {
      return Check.second == Handle;
    });
    IdleHandles.push_back(Handle);
    const std::unique_ptr<PendingCall> Pending = std::move(Found.mapped());
    finishTransfer(*Pending->TransferContext, Code, Handle);
    if (Pending->Call.AvoidOldConnections && Code == CURLE_OPERATION_TIMEDOUT)
      noteTimeout(hostAndPort(Pending->Call.Url));
    Pending->OnComplete(std::move(Pending->Result));
  }

  void completeFinishedCalls() {
    int Remaining = 0;
    while (const CURLMsg *Message = curl_multi_info_read(Multi, &Remaining))
      if (Message->msg == CURLMSG_DONE)
        completeCall(Message->easy_handle, Message->data.result);
  }

  void endStalledCalls() {
    const auto Now = std::chrono::steady_clock::now();
    while (!StallChecks.empty() && StallChecks.begin()->first <= Now) {
      CURL *Handle = StallChecks.begin()->second;
      StallChecks.erase(StallChecks.begin());
      const auto Deadline = ActiveCalls.at(Handle)->stallDeadline();
      if (Deadline > Now)
        StallChecks.emplace(Deadline, Handle);
      else
        completeCall(Handle, CURLE_OPERATION_TIMEDOUT);
    }
  }

  /// Shortens \p WaitMs so that it ends at \p Deadline.
  static void limitWait(int &WaitMs,
                        std::chrono::steady_clock::time_point Deadline) {
    const auto Remaining = std::chrono::ceil<std::chrono::milliseconds>(
        Deadline - std::chrono::steady_clock::now());
    WaitMs = int(std::clamp<std::int64_t>(Remaining.count(), 0, WaitMs));
  }

  /// Waits for a socket event, a timer or a new call, then lets libcurl handle
  /// the events.
  void waitAndDispatch() {
    int WaitMs = MaxWaitMs;
    if (TimerDeadline)
      limitWait(WaitMs, *TimerDeadline);
    if (!StallChecks.empty())
      limitWait(WaitMs, StallChecks.begin()->first);
    std::array<epoll_event, MaxEventsPerWait> ReadyEvents{};
    const int Count = epoll_wait(EpollFd, ReadyEvents.data(),
                                 int(ReadyEvents.size()), WaitMs);
    int Running = 0;
    for (int Index = 0; Index < Count; ++Index) {
      const epoll_event &Event = ReadyEvents[std::size_t(Index)];
      if (Event.data.fd == WakeFd) {
        std::uint64_t Wakes = 0;
        (void)!read(WakeFd, &Wakes, sizeof Wakes);
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
    if (TimerDeadline && *TimerDeadline <= std::chrono::steady_clock::now()) {
      TimerDeadline.reset();
      curl_multi_socket_action(Multi, CURL_SOCKET_TIMEOUT, 0, &Running);
    }
  }
};

AsyncHttpClient::AsyncHttpClient() : Loop(std::make_unique<EventLoop>()) {
  Thread = std::thread([this] { run(); });
}

AsyncHttpClient::~AsyncHttpClient() {
  Stopping = true;
  wake();
  Thread.join();
}

void AsyncHttpClient::start(HttpCall Call, Callback OnComplete) {
  auto Pending = std::make_unique<PendingCall>();
  Pending->Call = std::move(Call);
  Pending->OnComplete = std::move(OnComplete);
  Pending->SubmittedAt = std::chrono::steady_clock::now();
  Loop->Submitted.enqueue(std::move(Pending));
  wake();
}

void AsyncHttpClient::wake() {
  const std::uint64_t One = 1;
  (void)!write(Loop->WakeFd, &One, sizeof One);
}

void AsyncHttpClient::countTaken(const PendingCall &Call) {
  const auto Waited = std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::steady_clock::now() - Call.SubmittedAt);
  const std::lock_guard Lock(QueueTimesMutex);
  ++Taken.Calls;
  Taken.Sum += Waited;
  Taken.Longest = std::max(Taken.Longest, Waited);
}

AsyncHttpClient::QueueTimes AsyncHttpClient::takeQueueTimes() {
  const std::lock_guard Lock(QueueTimesMutex);
  return std::exchange(Taken, QueueTimes{});
}

void AsyncHttpClient::run() {
  while (!Stopping) {
    std::unique_ptr<PendingCall> Next;
    while (Loop->Submitted.try_dequeue(Next)) {
      countTaken(*Next);
      Loop->startTransfer(std::move(Next));
    }
    Loop->waitAndDispatch();
    Loop->completeFinishedCalls();
    Loop->endStalledCalls();
  }
}

} // namespace apricotwing
