/// \file
/// Strict access to a parsed JSON object. Private to src/wire.
#ifndef APRICOTWING_WIRE_JSONREADER_H
#define APRICOTWING_WIRE_JSONREADER_H

#include <nlohmann/json.hpp>

#include <cstdint>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace apricotwing {

using Json = nlohmann::json;

/// Parses one JSON text. Throws Error(BadRequest). Thread-safe.
Json parseJson(const std::string &Text);

/// Text of \p Value. Throws Error(Internal) if a string is not valid UTF-8.
/// Thread-safe.
std::string dumpJson(const Json &Value);

/// What a reader does with fields that its decoder never read.
enum class UnknownFields { Rejected, Ignored };

/// Reads typed fields of one JSON object and remembers which ones it read.
/// Every failure is an Error(BadRequest) that names the field. Owned by one
/// decoder call; refers to a Json value that must outlive it.
class JsonReader {
public:
  /// \p Where names the object in messages; empty for the whole body. Throws
  /// Error(BadRequest) if \p Value is not an object. Not thread-safe.
  JsonReader(const Json &Value, UnknownFields Policy, std::string Where = {});

  /// True if the field is present. Not thread-safe.
  bool has(const std::string &Field) const;

  /// The raw value of a field that must be present. Not thread-safe.
  const Json &at(const std::string &Field);

  /// A string field. Not thread-safe.
  std::string text(const std::string &Field);

  /// A string field, or \p Absent. Not thread-safe.
  std::string textOr(const std::string &Field, const std::string &Absent);

  /// A Boolean field. Not thread-safe.
  bool flag(const std::string &Field);

  /// A Boolean field, or \p Absent. Not thread-safe.
  bool flagOr(const std::string &Field, bool Absent);

  /// A whole number within the range of \p Number. Not thread-safe.
  template <typename Number> Number number(const std::string &Field) {
    return Number(
        wholeNumber(Field, bound(std::numeric_limits<Number>::min()),
                    std::uint64_t(std::numeric_limits<Number>::max())));
  }

  /// A whole number, or \p Absent. Not thread-safe.
  template <typename Number>
  Number numberOr(const std::string &Field, Number Absent) {
    return has(Field) ? number<Number>(Field) : Absent;
  }

  /// A whole number from 0 to the largest std::int64_t, or 0 if it is absent.
  /// Not thread-safe.
  std::int64_t amountOrZero(const std::string &Field);

  /// A field that is an object. Not thread-safe.
  JsonReader object(const std::string &Field);

  /// A field that is an object of strings. Not thread-safe.
  std::map<std::string, std::string> texts(const std::string &Field);

  /// Each member of an object field, read by \p Read(JsonReader, name). Not
  /// thread-safe.
  template <typename Reader>
  void eachMember(const std::string &Field, const Reader &Read) {
    const Json &Members = objectAt(Field);
    for (const auto &[Name, Member] : Members.items()) {
      JsonReader Inner(Member, Policy, path(Field) + "." + Name);
      Read(Inner, Name);
    }
  }

  /// Each element of a list of objects, read by \p Read(JsonReader). Not
  /// thread-safe.
  template <typename Reader>
  auto list(const std::string &Field, const Reader &Read) {
    std::vector<decltype(Read(std::declval<JsonReader &>()))> Result;
    const Json &Elements = listAt(Field);
    Result.reserve(Elements.size());
    for (const Json &Element : Elements) {
      JsonReader Inner(Element, Policy,
                       path(Field) + "[" + std::to_string(Result.size()) + "]");
      Result.push_back(Read(Inner));
    }
    return Result;
  }

  /// A list of strings. Not thread-safe.
  std::vector<std::string> textList(const std::string &Field);

  /// Throws Error(BadRequest) if there is a field that was never read, unless
  /// unknown fields are ignored. Not thread-safe.
  void rejectUnknownFields() const;

private:
  static std::int64_t bound(std::uint64_t) { return 0; }
  static std::int64_t bound(std::int64_t Least) { return Least; }
  static std::int64_t bound(std::int32_t Least) { return Least; }
  static std::int64_t bound(std::uint32_t) { return 0; }
  static std::int64_t bound(std::uint16_t) { return 0; }

  std::uint64_t wholeNumber(const std::string &Field, std::int64_t Least,
                            std::uint64_t Most);
  const Json &objectAt(const std::string &Field);
  const Json &listAt(const std::string &Field);
  std::string path(const std::string &Field) const;

  const Json &Value;
  UnknownFields Policy;
  std::string Where;
  std::set<std::string> Seen;
};

/// Parses \p Text and reads the object in it with \p Read(JsonReader &).
/// Throws Error(BadRequest). Thread-safe.
template <typename Reader>
auto decodeBody(const std::string &Text, UnknownFields Policy,
                const Reader &Read) {
  const Json Value = parseJson(Text);
  JsonReader Body(Value, Policy);
  return Read(Body);
}

} // namespace apricotwing

#endif
