#include "httpclient/httpclient.h"

#include "httpclient/transfer.h"

#include <curl/curl.h>

#include <algorithm>
#include <cctype>

namespace apricotwing {

namespace {

/// Maximum number of idle handles, all addresses together; each holds up to
/// one open socket.
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
  for (const IdleHandle &Entry : IdleHandles)
    curl_easy_cleanup(Entry.Handle);
}

HttpResult HttpClient::perform(const HttpCall &Call) {
  HttpResult Result;
  Result.State = TransferState::NotSent;
  if (!isWellFormed(Call)) {
    Result.Detail = "the URL or a header contains a line break";
    return Result;
  }
  const std::string Address = hostAndPort(Call.Url);
  const bool MayReuse = Call.Connections == ConnectionUse::Reused;
  HandlePointer Handle(MayReuse ? acquireHandle(Address) : curl_easy_init(),
                       curl_easy_cleanup);
  if (!Handle) {
    Result.Detail = "libcurl is out of memory";
    return Result;
  }
  const HeaderList Headers = makeHeaderList(Call);
  Transfer State{Call, Result};
  configureHandle(Handle.get(), Call, State, Headers);
  finishTransfer(State, curl_easy_perform(Handle.get()), Handle.get());
  countTraffic(Handle.get());
  const bool Keep = MayReuse && Result.State == TransferState::Complete &&
                    (!Call.KeepConnection || Call.KeepConnection(Result));
  if (Keep)
    releaseHandle(Address, Handle.release());
  return Result;
}

HttpTraffic HttpClient::traffic() const {
  return {BytesSent.load(), BytesReceived.load(), Calls.load()};
}

void *HttpClient::acquireHandle(const std::string &Address) {
  {
    const std::lock_guard Lock(Mutex);
    const auto Found = std::find_if(
        IdleHandles.begin(), IdleHandles.end(),
        [&](const IdleHandle &Entry) { return Entry.Address == Address; });
    if (Found != IdleHandles.end()) {
      void *Handle = Found->Handle;
      IdleHandles.erase(Found);
      return Handle;
    }
  }
  return curl_easy_init();
}

void HttpClient::releaseHandle(const std::string &Address, void *Handle) {
  void *Evicted = nullptr;
  {
    const std::lock_guard Lock(Mutex);
    IdleHandles.push_front({Address, Handle});
    if (IdleHandles.size() > MaxIdleHandles) {
      Evicted = IdleHandles.back().Handle;
      IdleHandles.pop_back();
    }
  }
  if (Evicted)
    curl_easy_cleanup(Evicted);
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
