#include "httpclient/httpclient.h"

#include "httpclient/transfer.h"

#include <curl/curl.h>

#include <algorithm>
#include <cctype>

namespace apricotwing {

namespace {

/// Idle handles kept over all addresses; each costs up to one socket.
constexpr std::size_t MaxIdleHandles = 512;

} // namespace

std::string_view HttpResult::header(const std::string &Name) const {
  const auto Found = Headers.find(Name);
  return Found == Headers.end() ? std::string_view() : Found->second;
}

HttpClient::HttpClient() {
  static std::once_flag Initialised;
  std::call_once(Initialised, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
}

HttpClient::~HttpClient() {
  for (const IdleHandle &Entry : Idle)
    curl_easy_cleanup(Entry.Handle);
}

HttpResult HttpClient::perform(const HttpCall &Call) {
  HttpResult Result;
  Result.State = TransferState::NotSent;
  if (!isWellFormed(Call)) {
    Result.Detail = "the URL or a header contains a line break";
    return Result;
  }
  const std::string Address = addressOf(Call.Url);
  const bool MayReuse = Call.Connections == ConnectionUse::Reused;
  HandlePointer Handle(MayReuse ? takeHandle(Address) : curl_easy_init(),
                       curl_easy_cleanup);
  if (!Handle) {
    Result.Detail = "libcurl is out of memory";
    return Result;
  }
  const HeaderList Headers = headerList(Call);
  Transfer State{Call, Result};
  setUp(Handle.get(), Call, State, Headers);
  conclude(State, curl_easy_perform(Handle.get()), Handle.get());
  countTraffic(Handle.get());
  const bool Keep = MayReuse && Result.State == TransferState::Complete &&
                    (!Call.KeepConnection || Call.KeepConnection(Result));
  if (Keep)
    returnHandle(Address, Handle.release());
  return Result;
}

HttpTraffic HttpClient::traffic() const {
  return {BytesSent.load(), BytesReceived.load(), Calls.load()};
}

void *HttpClient::takeHandle(const std::string &Address) {
  {
    const std::lock_guard Lock(Mutex);
    const auto Found =
        std::find_if(Idle.begin(), Idle.end(), [&](const IdleHandle &Entry) {
          return Entry.Address == Address;
        });
    if (Found != Idle.end()) {
      void *Handle = Found->Handle;
      Idle.erase(Found);
      return Handle;
    }
  }
  return curl_easy_init();
}

void HttpClient::returnHandle(const std::string &Address, void *Handle) {
  void *Surplus = nullptr;
  {
    const std::lock_guard Lock(Mutex);
    Idle.push_front({Address, Handle});
    if (Idle.size() > MaxIdleHandles) {
      Surplus = Idle.back().Handle;
      Idle.pop_back();
    }
  }
  if (Surplus)
    curl_easy_cleanup(Surplus);
}

void HttpClient::countTraffic(void *Handle) {
  long RequestBytes = 0;
  long HeaderBytes = 0;
  curl_off_t Uploaded = 0;
  curl_off_t Downloaded = 0;
  curl_easy_getinfo(Handle, CURLINFO_REQUEST_SIZE, &RequestBytes);
  curl_easy_getinfo(Handle, CURLINFO_HEADER_SIZE, &HeaderBytes);
  curl_easy_getinfo(Handle, CURLINFO_SIZE_UPLOAD_T, &Uploaded);
  curl_easy_getinfo(Handle, CURLINFO_SIZE_DOWNLOAD_T, &Downloaded);
  BytesSent += std::uint64_t(RequestBytes) + std::uint64_t(Uploaded);
  BytesReceived += std::uint64_t(HeaderBytes) + std::uint64_t(Downloaded);
  ++Calls;
}

std::string escapePath(const std::string &Text) {
  static constexpr std::string_view Digits = "0123456789ABCDEF";
  std::string Result;
  for (const unsigned char Byte : Text) {
    if (std::isalnum(Byte) != 0 ||
        std::string_view("-._~/").find(char(Byte)) != std::string_view::npos) {
      Result += char(Byte);
      continue;
    }
    Result += '%';
    Result += Digits[Byte >> 4U];
    Result += Digits[Byte & 15U];
  }
  return Result;
}

} // namespace apricotwing
