#pragma once

#include <utility>

namespace azurecross {

/**
 * Runs a function at the end of a scope, unless released.
 *
 * @code
 * ScopeGuard closeFile([&] { close(fd); });
 * @endcode
 */
template<typename Function>
class ScopeGuard
{
public:
  explicit ScopeGuard(Function aFunction)
    : function_(std::move(aFunction))
  {
  }

  ~ScopeGuard()
  {
    if (armed_) {
      function_();
    }
  }

  ScopeGuard(const ScopeGuard&) = delete;
  ScopeGuard& operator=(const ScopeGuard&) = delete;

  /** Keeps the function from running. */
  void Release() { armed_ = false; }

private:
  Function function_;
  bool armed_ = true;
};

} // namespace azurecross
