#include "SignalMask.h"

namespace azurecross {

namespace {

void
BlockSignals(int, char**, char**)
{
  BlockDaemonSignals();
}

/** Runs before the initializers of all libraries, some of which take longer
 * than main needs to install its handlers. */
[[gnu::section(".preinit_array"),
  gnu::used]] void (*const kBlockSignals)(int, char**, char**) = BlockSignals;

} // namespace

} // namespace azurecross
