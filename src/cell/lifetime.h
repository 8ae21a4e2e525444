/// \file
/// Callbacks that must not run once their object is gone.
#ifndef APRICOTWING_CELL_LIFETIME_H
#define APRICOTWING_CELL_LIFETIME_H

#include <memory>
#include <utility>

namespace apricotwing::cell {

/// A member of an object that hands out callbacks to ports. Used on one
/// thread only.
class Lifetime {
public:
  /// A function that calls \p Function as long as this object exists.
  template <typename Callback> auto guard(Callback Function) const {
    return [Alive = std::weak_ptr<int>(Token),
            Function = std::move(Function)](auto &&...Values) mutable {
      if (!Alive.expired())
        Function(std::forward<decltype(Values)>(Values)...);
    };
  }

private:
  std::shared_ptr<int> Token = std::make_shared<int>(0);
};

} // namespace apricotwing::cell

#endif
