#include "httpclient/crypto.h"

#include "core/error.h"

#include <openssl/evp.h>
#include <openssl/rand.h>

#include <array>
#include <cstddef>

namespace apricotwing {

namespace {

constexpr std::size_t RandomIdBytes = 16;

std::string toHex(const unsigned char *Bytes, std::size_t Size) {
  static constexpr std::string_view Digits = "0123456789abcdef";
  std::string Result;
  Result.reserve(Size * 2);
  for (std::size_t Index = 0; Index < Size; ++Index) {
    Result += Digits[Bytes[Index] >> 4U];
    Result += Digits[Bytes[Index] & 15U];
  }
  return Result;
}

[[noreturn]] void throwInternal(const char *Message) {
  throw Error(ErrorKind::Internal, Message,
              "check the installation of OpenSSL on this instance");
}

} // namespace

std::string sha256Hex(std::string_view Data) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> Digest{};
  unsigned Size = 0;
  if (EVP_Digest(Data.data(), Data.size(), Digest.data(), &Size, EVP_sha256(),
                 nullptr) != 1)
    throwInternal("SHA-256 is not available");
  return toHex(Digest.data(), Size);
}

std::string randomId() {
  std::array<unsigned char, RandomIdBytes> Bytes{};
  if (RAND_bytes(Bytes.data(), int(Bytes.size())) != 1)
    throwInternal("no random numbers are available");
  return toHex(Bytes.data(), Bytes.size());
}

} // namespace apricotwing
