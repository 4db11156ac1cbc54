#pragma once

#include "Time.h"

#include <cstdint>
#include <random>
#include <string>

namespace azurecross {

/**
 * Seeded random numbers for the decision core: the same seed gives the same
 * sequence on every machine. Distributions are written out because those of
 * the standard library differ between implementations.
 */
class Random
{
public:
  explicit Random(std::uint64_t aSeed)
    : engine_(aSeed)
  {
  }

  /** @returns 64 random bits. */
  std::uint64_t DrawBits() { return engine_(); }

  /** @returns a number below `aBound`, which must not be 0. */
  std::uint64_t DrawBelow(std::uint64_t aBound);

  /** @returns a number in [0, 1). */
  double DrawUnit();

  /** @returns an exponentially distributed number with this mean. */
  double DrawExponential(double aMean);

  /** @returns a duration in [aDuration * (1 - aFraction), aDuration]. */
  Duration Jitter(Duration aDuration, double aFraction);

private:
  std::mt19937_64 engine_;
};

/** @returns a seed from the system's entropy source, for shells. */
std::uint64_t
DrawSystemSeed();

/** @returns 128 random bits from the system as 32 hexadecimal digits. */
std::string
DrawUniqueName();

} // namespace azurecross
