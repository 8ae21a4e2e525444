/// \file
/// Chooses the number of rows in the pages of a table that is read.
#ifndef APRICOTWING_CELL_PAGESIZE_H
#define APRICOTWING_CELL_PAGESIZE_H

#include "core/time.h"

#include <cstddef>

namespace apricotwing::cell {

/// Adapts the size of pages to the time that they take, so that a read makes
/// progress over a link of any rate and leaves room for other calls. Answers
/// the load of many instances that read large tables at the same time, for
/// example after all of them have restarted. A value type.
class PageSize {
public:
  /// Maximum number of rows to ask for in the next page, at least 1.
  std::size_t rows() const { return Rows; }

  /// Adapts the size to a page of \p Received rows that took \p Elapsed.
  /// \p IsLast tells that the table has no further rows, so that the page may
  /// be smaller than asked for.
  void onPage(std::size_t Received, bool IsLast, Duration Elapsed);

  /// Adapts the size to a page that did not arrive in time.
  void onTimeout();

private:
  /// The store returns at most 1 MB at once: 11 of the largest rows.
  static constexpr std::size_t InitialRows = 8;

  std::size_t Rows = InitialRows;
};

} // namespace apricotwing::cell

#endif
