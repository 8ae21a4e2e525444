#include "wire/jsonreader.h"

#include "core/error.h"
#include "json/boundedparser.h"

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

Json parseRequestJson(const std::string &Text) {
  try {
    return parseBoundedJson(Text, MaxRequestValues);
  } catch (const Json::parse_error &) {
    reject("the text is not valid JSON", "send one complete JSON value");
  } catch (const Json::out_of_range &) {
    reject("the text has more than " + std::to_string(MaxRequestValues) +
               " values",
           "divide it among several requests");
  }
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
                       std::string ParentPath)
    : Value(Value), Policy(Policy), ParentPath(std::move(ParentPath)) {
  if (!Value.is_object())
    reject(
        (this->ParentPath.empty() ? "the body" : "'" + this->ParentPath + "'") +
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
  ReadFields.insert(Field);
  return *Found;
}

std::string JsonReader::string(const std::string &Field) {
  const Json &Found = at(Field);
  if (!Found.is_string())
    reject("the field '" + path(Field) + "' is not a string", "use a string");
  return Found.get<std::string>();
}

std::string JsonReader::stringOr(const std::string &Field,
                                 const std::string &Default) {
  return has(Field) ? string(Field) : Default;
}

bool JsonReader::boolean(const std::string &Field) {
  const Json &Found = at(Field);
  if (!Found.is_boolean())
    reject("the field '" + path(Field) + "' is not a Boolean",
           "use true or false");
  return Found.get<bool>();
}

bool JsonReader::booleanOr(const std::string &Field, bool Default) {
  return has(Field) ? boolean(Field) : Default;
}

std::int64_t JsonReader::amountOrZero(const std::string &Field) {
  if (!has(Field))
    return 0;
  return std::int64_t(integerInRange(
      Field, 0, std::uint64_t(std::numeric_limits<std::int64_t>::max())));
}

std::uint64_t JsonReader::integerInRange(const std::string &Field,
                                         std::int64_t Min, std::uint64_t Max) {
  const Json &Found = at(Field);
  const std::string Remedy = "use a whole number from " + std::to_string(Min) +
                             " to " + std::to_string(Max);
  // The parser converts an integer of more than 64 bits to a floating-point
  // number.
  if (!Found.is_number_integer())
    reject("the field '" + path(Field) + "' is not a whole number in range",
           Remedy);
  if (Found.is_number_unsigned()) {
    const auto Number = Found.get<std::uint64_t>();
    if (Number > Max)
      reject("the field '" + path(Field) + "' is too large", Remedy);
    return Number;
  }
  const auto Number = Found.get<std::int64_t>();
  if (Number < Min)
    reject("the field '" + path(Field) + "' is too small", Remedy);
  if (Number > 0 && std::uint64_t(Number) > Max)
    reject("the field '" + path(Field) + "' is too large", Remedy);
  return std::uint64_t(Number);
}

JsonReader JsonReader::object(const std::string &Field) {
  return {requiredObject(Field), Policy, path(Field)};
}

std::map<std::string, std::string>
JsonReader::stringMap(const std::string &Field) {
  std::map<std::string, std::string> Result;
  for (const auto &[Name, Member] : requiredObject(Field).items()) {
    if (!Member.is_string())
      reject("the field '" + path(Field) + "." + Name + "' is not a string",
             "use a string");
    Result.emplace(Name, Member.get<std::string>());
  }
  return Result;
}

std::vector<std::string> JsonReader::stringList(const std::string &Field) {
  std::vector<std::string> Result;
  for (const Json &Element : requiredList(Field)) {
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
    if (!ReadFields.contains(Name))
      reject("the field '" + path(Name) + "' is unknown",
             "remove the field or correct its name");
}

const Json &JsonReader::requiredObject(const std::string &Field) {
  const Json &Found = at(Field);
  if (!Found.is_object())
    reject("the field '" + path(Field) + "' is not an object",
           "use a JSON object");
  return Found;
}

const Json &JsonReader::requiredList(const std::string &Field) {
  const Json &Found = at(Field);
  if (!Found.is_array())
    reject("the field '" + path(Field) + "' is not a list", "use a JSON list");
  return Found;
}

std::string JsonReader::path(const std::string &Field) const {
  return ParentPath.empty() ? Field : ParentPath + "." + Field;
}

} // namespace apricotwing
