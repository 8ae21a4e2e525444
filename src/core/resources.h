/// \file
/// Amounts of processors, memory and accelerators.
#ifndef APRICOTWING_CORE_RESOURCES_H
#define APRICOTWING_CORE_RESOURCES_H

#include <algorithm>
#include <cstdint>

namespace apricotwing {

/// A value type with one amount per resource. Amounts are signed so that a
/// difference can be negative; requests and capacities are never negative.
struct Resources {
  std::int64_t CpuMillis = 0;    ///< Thousandths of a core.
  std::int64_t MemoryMib = 0;    ///< MiB.
  std::int64_t Accelerators = 0; ///< Whole devices.

  friend bool operator==(const Resources &, const Resources &) = default;

  Resources &operator+=(const Resources &Other) {
    CpuMillis += Other.CpuMillis;
    MemoryMib += Other.MemoryMib;
    Accelerators += Other.Accelerators;
    return *this;
  }

  Resources &operator-=(const Resources &Other) {
    CpuMillis -= Other.CpuMillis;
    MemoryMib -= Other.MemoryMib;
    Accelerators -= Other.Accelerators;
    return *this;
  }

  friend Resources operator+(Resources Left, const Resources &Right) {
    return Left += Right;
  }

  friend Resources operator-(Resources Left, const Resources &Right) {
    return Left -= Right;
  }

  friend Resources operator*(Resources Left, std::int64_t Count) {
    return {Left.CpuMillis * Count, Left.MemoryMib * Count,
            Left.Accelerators * Count};
  }

  /// True if every amount is at most that of \p Capacity.
  bool fitsIn(const Resources &Capacity) const {
    return CpuMillis <= Capacity.CpuMillis && MemoryMib <= Capacity.MemoryMib &&
           Accelerators <= Capacity.Accelerators;
  }

  /// True if no amount is negative.
  bool isNonNegative() const {
    return CpuMillis >= 0 && MemoryMib >= 0 && Accelerators >= 0;
  }

  /// Component-wise minimum.
  static Resources min(const Resources &Left, const Resources &Right) {
    return {std::min(Left.CpuMillis, Right.CpuMillis),
            std::min(Left.MemoryMib, Right.MemoryMib),
            std::min(Left.Accelerators, Right.Accelerators)};
  }

  /// Component-wise maximum.
  static Resources max(const Resources &Left, const Resources &Right) {
    return {std::max(Left.CpuMillis, Right.CpuMillis),
            std::max(Left.MemoryMib, Right.MemoryMib),
            std::max(Left.Accelerators, Right.Accelerators)};
  }

  /// Dominant fraction: the largest fraction of \p Total that one of the
  /// amounts takes. Ignores resources of which \p Total has none.
  double dominantFraction(const Resources &Total) const {
    double Result = 0;
    if (Total.CpuMillis > 0)
      Result = std::max(Result, double(CpuMillis) / double(Total.CpuMillis));
    if (Total.MemoryMib > 0)
      Result = std::max(Result, double(MemoryMib) / double(Total.MemoryMib));
    if (Total.Accelerators > 0)
      Result =
          std::max(Result, double(Accelerators) / double(Total.Accelerators));
    return Result;
  }
};

} // namespace apricotwing

#endif
