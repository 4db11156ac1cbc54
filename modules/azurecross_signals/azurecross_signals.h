#pragma once

/**
 * When a daemon receives the signals that stop it or make it reload its
 * settings.
 */

#include "mask/SignalMask.h"
