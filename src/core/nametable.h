/// \file
/// Conversion between enumerators and their names.
#ifndef APRICOTWING_CORE_NAMETABLE_H
#define APRICOTWING_CORE_NAMETABLE_H

#include "core/error.h"

#include <array>
#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

namespace apricotwing {

/// Maps each enumerator to its name.
template <typename Enum, std::size_t Count>
using NameTable = std::array<std::pair<Enum, std::string_view>, Count>;

/// Returns the name of \p Value, or "invalid" if the table does not contain it.
/// Thread-safe.
template <typename Enum, std::size_t Count>
std::string_view enumName(const NameTable<Enum, Count> &Table, Enum Value) {
  for (const auto &[Known, Name] : Table)
    if (Known == Value)
      return Name;
  return "invalid";
}

/// Returns the enumerator with the name \p Name. Throws Error(BadRequest),
/// whose text names \p Field and lists the valid names. Thread-safe.
template <typename Enum, std::size_t Count>
Enum parseEnum(const NameTable<Enum, Count> &Table, std::string_view Field,
               std::string_view Name) {
  std::string Choices;
  for (const auto &[Known, KnownName] : Table) {
    if (KnownName == Name)
      return Known;
    Choices += Choices.empty() ? "" : ", ";
    Choices += KnownName;
  }
  throw Error(ErrorKind::BadRequest,
              std::string(Field) + " has the unknown value '" +
                  std::string(Name) + "'",
              "use one of: " + Choices);
}

} // namespace apricotwing

#endif
