#pragma once

#if defined(__SANITIZE_THREAD__)
#include <sanitizer/tsan_interface.h>
#endif

namespace azurecross {

/**
 * Tells ThreadSanitizer that what this thread did so far happens before a
 * later `AnnotateAcquire` with the same address. Needed where liburcu gives the
 * ordering, because that library is not instrumented. No code without
 * ThreadSanitizer.
 */
inline void
AnnotateRelease([[maybe_unused]] const void* aAddress)
{
#if defined(__SANITIZE_THREAD__)
  __tsan_release(const_cast<void*>(aAddress));
#endif
}

/** @see AnnotateRelease */
inline void
AnnotateAcquire([[maybe_unused]] const void* aAddress)
{
#if defined(__SANITIZE_THREAD__)
  __tsan_acquire(const_cast<void*>(aAddress));
#endif
}

} // namespace azurecross
