/// \file
/// Output of a command, as a table for people or as JSON for programs.
#ifndef APRICOTWING_CLI_REPORT_H
#define APRICOTWING_CLI_REPORT_H

#include <cstdint>
#include <ostream>
#include <string>
#include <variant>
#include <vector>

namespace apricotwing {

/// A table with named columns, which a command fills and then prints once. Not
/// thread-safe.
class Report {
public:
  using Cell = std::variant<std::string, std::int64_t, bool>;

  /// \p Columns are the names of the columns in snake case, which are also the
  /// names of the fields in JSON.
  explicit Report(std::vector<std::string> Columns);

  /// Adds a row with one cell per column. Not thread-safe.
  void add(std::vector<Cell> Row);

  /// Prints all rows: a table with a header, or a JSON list of objects. Not
  /// thread-safe.
  void print(std::ostream &Out, bool Json) const;

  /// Prints the only row: one "name: value" line per column, or one JSON
  /// object. The report must have exactly one row. Not thread-safe.
  void printSingle(std::ostream &Out, bool Json) const;

private:
  void printTable(std::ostream &Out) const;

  std::vector<std::string> Columns;
  std::vector<std::vector<Cell>> Rows;
};

} // namespace apricotwing

#endif
