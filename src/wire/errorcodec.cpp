#include "wire/errorcodec.h"

#include "wire/jsonreader.h"

#include <array>
#include <utility>

namespace apricotwing {

namespace {

/// Error kinds for answers without an error body of this system.
constexpr std::array<std::pair<int, ErrorKind>, 12> KindsByStatus = {
    {{400, ErrorKind::BadRequest},
     {401, ErrorKind::UnknownKey},
     {403, ErrorKind::Forbidden},
     {404, ErrorKind::NotFound},
     {408, ErrorKind::SlowRequest},
     {409, ErrorKind::ConfigConflict},
     {413, ErrorKind::TooLarge},
     {429, ErrorKind::Overloaded},
     {502, ErrorKind::UpstreamFailed},
     {503, ErrorKind::StoreUnavailable},
     {504, ErrorKind::DeadlineExceeded},
     {507, ErrorKind::LimitReached}}};

ErrorKind kindForStatus(int Status) {
  for (const auto &[KnownStatus, Kind] : KindsByStatus)
    if (KnownStatus == Status)
      return Kind;
  return ErrorKind::Internal;
}

} // namespace

std::string encodeError(const Error &Failure,
                        std::optional<std::uint64_t> Current) {
  Json Inner = {{"kind", errorCode(Failure.kind())},
                {"message", Failure.what()},
                {"remedy", Failure.remedy()},
                {"outcome", outcomeName(Failure.outcome())}};
  if (Current)
    Inner["current"] = *Current;
  // A message may quote text of a client, which may have any encoding.
  return Json{{"error", std::move(Inner)}}.dump(-1, ' ', false,
                                                Json::error_handler_t::replace);
}

Error decodeError(int Status, const std::string &Body) {
  try {
    return decodeBody(Body, UnknownFields::Ignored, [](JsonReader &Reader) {
      JsonReader Inner = Reader.object("error");
      return Error(errorKindFromCode(Inner.string("kind")),
                   Inner.string("message"), Inner.string("remedy"),
                   outcomeFromName(Inner.string("outcome")));
    });
  } catch (const Error &) {
    return {kindForStatus(Status),
            "answer with status " + std::to_string(Status) +
                " and without an error body",
            "check that the address belongs to the expected service",
            Outcome::Unknown};
  }
}

std::optional<std::uint64_t> decodeCurrentVersion(const std::string &Body) {
  try {
    return decodeBody(Body, UnknownFields::Ignored, [](JsonReader &Reader) {
      return Reader.object("error").number<std::uint64_t>("current");
    });
  } catch (const Error &) {
    return std::nullopt;
  }
}

} // namespace apricotwing
