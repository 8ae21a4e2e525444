#include "httpclient/multiclient.h"

#include "httpclient/transfer.h"

#include <map>
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

/// Keep-alive probes find a peer that went silent.
constexpr long KeepAliveSeconds = 5;

} // namespace

/// A call under way.
struct MultiClient::Job {
  HttpCall Call;
  Callback Then;
  HttpResult Result;
  HeaderList Headers{nullptr, curl_slist_free_all};
  std::unique_ptr<Transfer> Progress;
};

/// What the thread works on.
struct MultiClient::State {
  CURLM *Multi = curl_multi_init();
  moodycamel::ConcurrentQueue<std::unique_ptr<Job>> Added;
  std::map<CURL *, std::unique_ptr<Job>> Open;
  std::vector<CURL *> Idle;

  ~State() {
    for (const auto &[Handle, Entry] : Open) {
      curl_multi_remove_handle(Multi, Handle);
      curl_easy_cleanup(Handle);
    }
    for (CURL *Handle : Idle)
      curl_easy_cleanup(Handle);
    curl_multi_cleanup(Multi);
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
    curl_multi_add_handle(Multi, Handle);
    Open.emplace(Handle, std::move(Entry));
  }

  void finish(CURL *Handle, CURLcode Code) {
    curl_multi_remove_handle(Multi, Handle);
    auto Found = Open.extract(Handle);
    Idle.push_back(Handle);
    const std::unique_ptr<Job> Entry = std::move(Found.mapped());
    conclude(*Entry->Progress, Code, Handle);
    Entry->Then(std::move(Entry->Result));
  }
};

MultiClient::MultiClient() : Shared(std::make_unique<State>()) {
  curl_multi_setopt(Shared->Multi, CURLMOPT_MAXCONNECTS, MaxIdleConnections);
  curl_multi_setopt(Shared->Multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                    MaxConnectionsPerAddress);
  Thread = std::thread([this] { run(); });
}

MultiClient::~MultiClient() {
  Stopping = true;
  curl_multi_wakeup(Shared->Multi);
  Thread.join();
}

void MultiClient::start(HttpCall Call, Callback Then) {
  auto Entry = std::make_unique<Job>();
  Entry->Call = std::move(Call);
  Entry->Then = std::move(Then);
  Shared->Added.enqueue(std::move(Entry));
  curl_multi_wakeup(Shared->Multi);
}

void MultiClient::run() {
  while (!Stopping) {
    std::unique_ptr<Job> Next;
    while (Shared->Added.try_dequeue(Next))
      Shared->begin(std::move(Next));
    int Running = 0;
    curl_multi_perform(Shared->Multi, &Running);
    int Left = 0;
    while (const CURLMsg *Message =
               curl_multi_info_read(Shared->Multi, &Left)) {
      if (Message->msg == CURLMSG_DONE)
        Shared->finish(Message->easy_handle, Message->data.result);
    }
    curl_multi_poll(Shared->Multi, nullptr, 0, IdleWaitMs, nullptr);
  }
}

} // namespace apricotwing
