/// \file
/// Strict access to a parsed JSON object. Private to src/wire.
#ifndef APRICOTWING_WIRE_JSONREADER_H
#define APRICOTWING_WIRE_JSONREADER_H

#include "core/error.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace apricotwing {

using Json = nlohmann::json;

/// Parses one JSON text. Throws Error(BadRequest) if it is invalid.
/// Thread-safe.
Json parseJson(const std::string &Text);

/// Largest number of values in a request; see parseBoundedJson(). A
/// configuration with 10,000 keys has less.
inline constexpr std::size_t MaxRequestValues = 100'000;

/// Parses the body of a request, whose sender is not trusted. Throws
/// Error(BadRequest) if it is invalid or has more than MaxRequestValues values.
/// Thread-safe.
Json parseRequestJson(const std::string &Text);

/// Serializes \p Value. Throws Error(Internal) if a string is not valid UTF-8.
/// Thread-safe.
std::string dumpJson(const Json &Value);

/// How rejectUnknownFields() treats fields that were not read.
enum class UnknownFields { Rejected, Ignored };

/// Reads typed fields of one JSON object and records which fields were read. A
/// missing or malformed field throws an Error(BadRequest) that names it. Owned
/// by one call of a decoder; refers to a Json value that must outlive it.
class JsonReader {
public:
  /// \p ParentPath is the path of the object in error messages; empty for the
  /// whole body. Throws Error(BadRequest) if \p Value is not an object. Not
  /// thread-safe.
  JsonReader(const Json &Value, UnknownFields Policy,
             std::string ParentPath = {});

  /// Returns true if the field is present. Not thread-safe.
  bool has(const std::string &Field) const;

  /// Returns the JSON value of a field that must be present. Not thread-safe.
  const Json &at(const std::string &Field);

  /// Reads a string. Not thread-safe.
  std::string string(const std::string &Field);

  /// Reads a string, or returns \p Default if the field is absent. Not
  /// thread-safe.
  std::string stringOr(const std::string &Field, const std::string &Default);

  /// Reads a Boolean. Not thread-safe.
  bool boolean(const std::string &Field);

  /// Reads a Boolean, or returns \p Default if the field is absent. Not
  /// thread-safe.
  bool booleanOr(const std::string &Field, bool Default);

  /// Reads an integer within the range of \p Number. Not thread-safe.
  template <typename Number> Number number(const std::string &Field) {
    return Number(
        integerInRange(Field, lowerBound(std::numeric_limits<Number>::min()),
                       std::uint64_t(std::numeric_limits<Number>::max())));
  }

  /// Reads an integer, or returns \p Default if the field is absent. Not
  /// thread-safe.
  template <typename Number>
  Number numberOr(const std::string &Field, Number Default) {
    return has(Field) ? number<Number>(Field) : Default;
  }

  /// Reads an integer from 0 to the largest std::int64_t, or returns 0 if the
  /// field is absent. Not thread-safe.
  std::int64_t amountOrZero(const std::string &Field);

  /// Returns a reader for a field that is an object. Not thread-safe.
  JsonReader object(const std::string &Field);

  /// Reads an object whose members are all strings. Not thread-safe.
  std::map<std::string, std::string> stringMap(const std::string &Field);

  /// Calls \p Read(JsonReader &, name) for each member of an object whose
  /// members are objects. Not thread-safe.
  template <typename Reader>
  void forEachMember(const std::string &Field, const Reader &Read) {
    const Json &Members = requiredObject(Field);
    for (const auto &[Name, Member] : Members.items()) {
      JsonReader Inner(Member, Policy, path(Field) + "." + Name);
      Read(Inner, Name);
    }
  }

  /// Reads a list of objects with \p Read(JsonReader &) and returns the results
  /// in a vector. Not thread-safe.
  template <typename Reader>
  auto list(const std::string &Field, const Reader &Read) {
    std::vector<decltype(Read(std::declval<JsonReader &>()))> Result;
    const Json &Elements = requiredList(Field);
    Result.reserve(Elements.size());
    for (const Json &Element : Elements) {
      JsonReader Inner(Element, Policy,
                       path(Field) + "[" + std::to_string(Result.size()) + "]");
      Result.push_back(Read(Inner));
    }
    return Result;
  }

  /// Like list(), but leaves out the elements that cannot be read and adds
  /// their number to \p Skipped. Not thread-safe.
  template <typename Reader>
  auto validElements(const std::string &Field, const Reader &Read,
                     std::size_t &Skipped) {
    std::vector<decltype(Read(std::declval<JsonReader &>()))> Result;
    for (const Json &Element : requiredList(Field)) {
      try {
        JsonReader Inner(Element, Policy, path(Field));
        Result.push_back(Read(Inner));
      } catch (const Error &) {
        ++Skipped;
      }
    }
    return Result;
  }

  /// Reads a list of strings. Not thread-safe.
  std::vector<std::string> stringList(const std::string &Field);

  /// Throws Error(BadRequest) if the object has a field that was not read,
  /// unless the policy is to ignore unknown fields. Not thread-safe.
  void rejectUnknownFields() const;

private:
  static std::int64_t lowerBound(std::uint64_t) { return 0; }
  static std::int64_t lowerBound(std::int64_t Min) { return Min; }
  static std::int64_t lowerBound(std::int32_t Min) { return Min; }
  static std::int64_t lowerBound(std::uint32_t) { return 0; }
  static std::int64_t lowerBound(std::uint16_t) { return 0; }

  std::uint64_t integerInRange(const std::string &Field, std::int64_t Min,
                               std::uint64_t Max);
  const Json &requiredObject(const std::string &Field);
  const Json &requiredList(const std::string &Field);
  std::string path(const std::string &Field) const;

  const Json &Value;
  UnknownFields Policy;
  std::string ParentPath;
  std::set<std::string> ReadFields;
};

/// Returns the result of \p Read(JsonReader &) on the object \p Value. Throws
/// Error(BadRequest). Thread-safe.
template <typename Reader>
auto readObject(const Json &Value, UnknownFields Policy, const Reader &Read) {
  JsonReader Body(Value, Policy);
  return Read(Body);
}

/// Parses \p Text and returns the result of \p Read(JsonReader &) on the object
/// in it. Throws Error(BadRequest). Thread-safe.
template <typename Reader>
auto decodeBody(const std::string &Text, UnknownFields Policy,
                const Reader &Read) {
  return readObject(parseJson(Text), Policy, Read);
}

/// Like decodeBody() for the body of a request. Throws Error(BadRequest) also
/// if it has more than MaxRequestValues values. Thread-safe.
template <typename Reader>
auto decodeRequest(const std::string &Text, UnknownFields Policy,
                   const Reader &Read) {
  return readObject(parseRequestJson(Text), Policy, Read);
}

} // namespace apricotwing

#endif
