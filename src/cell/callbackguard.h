/// \file
/// Protects asynchronous callbacks against the destruction of their owner.
#ifndef APRICOTWING_CELL_CALLBACKGUARD_H
#define APRICOTWING_CELL_CALLBACKGUARD_H

#include <memory>
#include <utility>

namespace apricotwing::cell {

/// A data member of a class that passes callbacks to asynchronous calls. A
/// callback wrapped by it does nothing once the owning object is destroyed.
/// Not thread-safe: callbacks and owner must use the same thread.
class CallbackGuard {
public:
  /// Returns a callable that forwards to \p Function as long as this guard
  /// exists, and does nothing afterwards.
  template <typename Callback> auto wrap(Callback Function) const {
    return [Owner = std::weak_ptr<int>(Token),
            Function = std::move(Function)](auto &&...Values) mutable {
      if (!Owner.expired())
        Function(std::forward<decltype(Values)>(Values)...);
    };
  }

private:
  std::shared_ptr<int> Token = std::make_shared<int>(0);
};

} // namespace apricotwing::cell

#endif
