#include "wire/jsonreader.h"

#include "core/error.h"

namespace apricotwing {

namespace {

[[noreturn]] void reject(const std::string &Message, std::string Remedy) {
  throw Error(ErrorKind::BadRequest, Message, std::move(Remedy));
}

} // namespace

Json parseJson(const std::string &Text) {
  Json Value = Json::parse(Text, nullptr, /*allow_exceptions=*/false);
  if (Value.is_discarded())
    reject("the text is not valid JSON", "send one complete JSON value");
  return Value;
}

std::string dumpJson(const Json &Value) {
  try {
    return Value.dump();
  } catch (const Json::exception &) {
    throw Error(ErrorKind::Internal, "a string is not valid UTF-8",
                "report this with the log of the instance");
  }
}

JsonReader::JsonReader(const Json &Value, UnknownFields Policy,
                       std::string Where)
    : Value(Value), Policy(Policy), Where(std::move(Where)) {
  if (!Value.is_object())
    reject((this->Where.empty() ? "the body" : "'" + this->Where + "'") +
               " is not an object",
           "send a JSON object");
}

bool JsonReader::has(const std::string &Field) const {
  return Value.contains(Field);
}

const Json &JsonReader::at(const std::string &Field) {
  const auto Found = Value.find(Field);
  if (Found == Value.end())
    reject("the field '" + path(Field) + "' is missing", "add the field");
  Seen.insert(Field);
  return *Found;
}

std::string JsonReader::text(const std::string &Field) {
  const Json &Found = at(Field);
  if (!Found.is_string())
    reject("the field '" + path(Field) + "' is not a string", "use a string");
  return Found.get<std::string>();
}

std::string JsonReader::textOr(const std::string &Field,
                               const std::string &Absent) {
  return has(Field) ? text(Field) : Absent;
}

bool JsonReader::flag(const std::string &Field) {
  const Json &Found = at(Field);
  if (!Found.is_boolean())
    reject("the field '" + path(Field) + "' is not a Boolean",
           "use true or false");
  return Found.get<bool>();
}

bool JsonReader::flagOr(const std::string &Field, bool Absent) {
  return has(Field) ? flag(Field) : Absent;
}

std::int64_t JsonReader::amountOrZero(const std::string &Field) {
  if (!has(Field))
    return 0;
  return std::int64_t(wholeNumber(
      Field, 0, std::uint64_t(std::numeric_limits<std::int64_t>::max())));
}

std::uint64_t JsonReader::wholeNumber(const std::string &Field,
                                      std::int64_t Least, std::uint64_t Most) {
  const Json &Found = at(Field);
  const std::string Remedy = "use a whole number from " +
                             std::to_string(Least) + " to " +
                             std::to_string(Most);
  // The parser turns a number beyond 64 bits into a floating-point one.
  if (!Found.is_number_integer())
    reject("the field '" + path(Field) + "' is not a whole number in range",
           Remedy);
  if (Found.is_number_unsigned()) {
    const auto Number = Found.get<std::uint64_t>();
    if (Number > Most)
      reject("the field '" + path(Field) + "' is too large", Remedy);
    return Number;
  }
  const auto Number = Found.get<std::int64_t>();
  if (Number < Least)
    reject("the field '" + path(Field) + "' is too small", Remedy);
  if (Number > 0 && std::uint64_t(Number) > Most)
    reject("the field '" + path(Field) + "' is too large", Remedy);
  return std::uint64_t(Number);
}

JsonReader JsonReader::object(const std::string &Field) {
  return {objectAt(Field), Policy, path(Field)};
}

std::map<std::string, std::string> JsonReader::texts(const std::string &Field) {
  std::map<std::string, std::string> Result;
  for (const auto &[Name, Member] : objectAt(Field).items()) {
    if (!Member.is_string())
      reject("the field '" + path(Field) + "." + Name + "' is not a string",
             "use a string");
    Result.emplace(Name, Member.get<std::string>());
  }
  return Result;
}

std::vector<std::string> JsonReader::textList(const std::string &Field) {
  std::vector<std::string> Result;
  for (const Json &Element : listAt(Field)) {
    if (!Element.is_string())
      reject("the field '" + path(Field) + "' has an element that is no string",
             "use a list of strings");
    Result.push_back(Element.get<std::string>());
  }
  return Result;
}

void JsonReader::rejectUnknownFields() const {
  if (Policy == UnknownFields::Ignored)
    return;
  for (const auto &[Name, Member] : Value.items())
    if (!Seen.contains(Name))
      reject("the field '" + path(Name) + "' is unknown",
             "remove the field or correct its name");
}

const Json &JsonReader::objectAt(const std::string &Field) {
  const Json &Found = at(Field);
  if (!Found.is_object())
    reject("the field '" + path(Field) + "' is not an object",
           "use a JSON object");
  return Found;
}

const Json &JsonReader::listAt(const std::string &Field) {
  const Json &Found = at(Field);
  if (!Found.is_array())
    reject("the field '" + path(Field) + "' is not a list", "use a JSON list");
  return Found;
}

std::string JsonReader::path(const std::string &Field) const {
  return Where.empty() ? Field : Where + "." + Field;
}

} // namespace apricotwing
