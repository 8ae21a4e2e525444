// Time that a daemon adds to an interactive request, measured against direct
// calls to the executor in the same run. Direct and routed calls alternate, so
// that the load of the machine affects both equally.

#include <curl/curl.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace apricotwing {
namespace {

constexpr int DefaultCalls = 2000;
constexpr int DefaultThreads = 4;
constexpr int WarmUpCalls = 20;
constexpr long CallTimeoutMs = 5000;
constexpr long OkStatus = 200;

const char *const Usage =
    "usage: request_latency DAEMON EXECUTOR KEY-FILE UPSTREAM [CALLS THREADS]\n"
    "  DAEMON, EXECUTOR  ip:port within 127.0.0.0/8\n"
    "  KEY-FILE          file with a key of a team\n"
    "  CALLS, THREADS    pairs of calls per thread and threads (2000, 4)\n";

struct Settings {
  std::string Daemon;
  std::string Executor;
  std::string Key;
  std::string Upstream;
  int Calls = DefaultCalls;
  int Threads = DefaultThreads;
};

struct Samples {
  std::vector<double> Micros;
  int Failed = 0;
};

std::string loopback(const std::string &Address) {
  if (!Address.starts_with("127."))
    throw std::invalid_argument("address outside 127.0.0.0/8: " + Address);
  return Address;
}

std::string readKey(const std::string &Path) {
  std::ifstream File(Path);
  std::string Key;
  if (!std::getline(File, Key) || Key.empty())
    throw std::invalid_argument("no key in " + Path);
  return Key;
}

Settings parse(const std::vector<std::string> &Words) {
  if (Words.size() != 4 && Words.size() != 6)
    throw std::invalid_argument("four or six arguments are needed");
  Settings Result;
  Result.Daemon = loopback(Words[0]);
  Result.Executor = loopback(Words[1]);
  Result.Key = readKey(Words[2]);
  Result.Upstream = Words[3];
  if (Words.size() == 6) {
    Result.Calls = std::stoi(Words[4]);
    Result.Threads = std::stoi(Words[5]);
  }
  if (Result.Calls < 1 || Result.Threads < 1)
    throw std::invalid_argument("CALLS and THREADS must be at least 1");
  return Result;
}

std::size_t discard(char *, std::size_t Size, std::size_t Count, void *) {
  return Size * Count;
}

/// Posts to one URL over a persistent connection. Not thread-safe.
class Poster {
public:
  Poster(const std::string &Url, const std::vector<std::string> &Headers)
      : Handle(curl_easy_init(), curl_easy_cleanup),
        List(nullptr, curl_slist_free_all) {
    for (const std::string &Header : Headers)
      append(Header);
    curl_easy_setopt(Handle.get(), CURLOPT_URL, Url.c_str());
    curl_easy_setopt(Handle.get(), CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(Handle.get(), CURLOPT_TIMEOUT_MS, CallTimeoutMs);
    curl_easy_setopt(Handle.get(), CURLOPT_WRITEFUNCTION, discard);
    curl_easy_setopt(Handle.get(), CURLOPT_PROXY, "");
  }

  /// Performs one call with \p RequestId and records its duration.
  void post(const std::string &RequestId, Samples &Into) {
    const std::string Body = "{\"item\":\"" + RequestId + "\"}";
    const std::string Header = "Apricotwing-Request-Id: " + RequestId;
    curl_slist *Mine = nullptr;
    for (const curl_slist *Entry = List.get(); Entry; Entry = Entry->next)
      Mine = curl_slist_append(Mine, Entry->data);
    Mine = curl_slist_append(Mine, Header.c_str());
    curl_easy_setopt(Handle.get(), CURLOPT_HTTPHEADER, Mine);
    curl_easy_setopt(Handle.get(), CURLOPT_POSTFIELDSIZE, long(Body.size()));
    curl_easy_setopt(Handle.get(), CURLOPT_POSTFIELDS, Body.c_str());
    const auto Start = std::chrono::steady_clock::now();
    const CURLcode Code = curl_easy_perform(Handle.get());
    const std::chrono::duration<double, std::micro> Spent =
        std::chrono::steady_clock::now() - Start;
    long Status = 0;
    curl_easy_getinfo(Handle.get(), CURLINFO_RESPONSE_CODE, &Status);
    if (Code == CURLE_OK && Status == OkStatus)
      Into.Micros.push_back(Spent.count());
    else
      ++Into.Failed;
    curl_slist_free_all(Mine);
  }

private:
  void append(const std::string &Header) {
    List.reset(curl_slist_append(List.release(), Header.c_str()));
  }

  std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> Handle;
  std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)> List;
};

void alternate(const Settings &Values, int Thread, Samples &Direct,
               Samples &Routed) {
  const std::string Type = "Content-Type: application/json";
  Poster ToExecutor("http://" + Values.Executor + "/", {Type});
  Poster ToDaemon("http://" + Values.Daemon + "/v1/request/" + Values.Upstream,
                  {Type, "Authorization: Bearer " + Values.Key,
                   "Apricotwing-Idempotent: true",
                   "Apricotwing-Deadline-Ms: 5000"});
  Samples Unused;
  for (int Call = -WarmUpCalls; Call < Values.Calls; ++Call) {
    const std::string Id = "latency-" + std::to_string(Thread) + "-" +
                           std::to_string(Call + WarmUpCalls);
    ToExecutor.post(Id, Call < 0 ? Unused : Direct);
    ToDaemon.post(Id, Call < 0 ? Unused : Routed);
  }
}

double quantile(const std::vector<double> &Sorted, double Fraction) {
  return Sorted.empty()
             ? 0
             : Sorted[std::size_t(double(Sorted.size() - 1) * Fraction)];
}

Samples join(std::vector<Samples> Parts) {
  Samples Result;
  for (Samples &Part : Parts) {
    Result.Failed += Part.Failed;
    Result.Micros.insert(Result.Micros.end(), Part.Micros.begin(),
                         Part.Micros.end());
  }
  std::sort(Result.Micros.begin(), Result.Micros.end());
  return Result;
}

void print(const char *Name, const Samples &Of) {
  std::printf("%-7s %8zu calls %6d failed  p50 %8.0f us  p99 %8.0f us\n", Name,
              Of.Micros.size(), Of.Failed, quantile(Of.Micros, 0.5),
              quantile(Of.Micros, 0.99));
}

int measure(const Settings &Values) {
  std::vector<Samples> Direct(std::size_t(Values.Threads));
  std::vector<Samples> Routed(Direct.size());
  std::vector<std::thread> Threads;
  for (std::size_t I = 0; I < Direct.size(); ++I)
    Threads.emplace_back(
        [&, I] { alternate(Values, int(I), Direct[I], Routed[I]); });
  for (std::thread &Thread : Threads)
    Thread.join();
  const Samples AllDirect = join(std::move(Direct));
  const Samples AllRouted = join(std::move(Routed));
  print("direct", AllDirect);
  print("routed", AllRouted);
  std::printf("added   p50 %.0f us, p99 %.0f us\n",
              quantile(AllRouted.Micros, 0.5) - quantile(AllDirect.Micros, 0.5),
              quantile(AllRouted.Micros, 0.99) -
                  quantile(AllDirect.Micros, 0.99));
  return AllDirect.Failed + AllRouted.Failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace
} // namespace apricotwing

int main(int Count, char **Arguments) {
  using namespace apricotwing;
  curl_global_init(CURL_GLOBAL_DEFAULT);
  try {
    return measure(
        parse(std::vector<std::string>(Arguments + 1, Arguments + Count)));
  } catch (const std::exception &Failure) {
    std::fprintf(stderr, "request_latency: %s\n%s", Failure.what(), Usage);
    return 2;
  }
}
