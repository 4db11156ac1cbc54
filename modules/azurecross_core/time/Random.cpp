#include "Random.h"

#include <array>
#include <cmath>

namespace azurecross {

std::uint64_t
Random::DrawBelow(std::uint64_t aBound)
{
  // Rejects the incomplete last range, so that no result is favoured.
  const std::uint64_t limit = UINT64_MAX - UINT64_MAX % aBound;
  std::uint64_t bits = engine_();
  while (bits >= limit) {
    bits = engine_();
  }
  return bits % aBound;
}

double
Random::DrawUnit()
{
  constexpr int kMantissaBits = 53;
  return std::ldexp(static_cast<double>(engine_() >> (64 - kMantissaBits)),
                    -kMantissaBits);
}

double
Random::DrawExponential(double aMean)
{
  return -aMean * std::log1p(-DrawUnit());
}

Duration
Random::Jitter(Duration aDuration, double aFraction)
{
  const double factor = 1.0 - aFraction * DrawUnit();
  return Duration(static_cast<Duration::rep>(
    static_cast<double>(aDuration.count()) * factor));
}

std::uint64_t
DrawSystemSeed()
{
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) | device();
}

std::string
DrawUniqueName()
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  constexpr int kDigitsPerWord = 16;
  const std::array<std::uint64_t, 2> words = { DrawSystemSeed(),
                                               DrawSystemSeed() };
  std::string name;
  name.reserve(words.size() * kDigitsPerWord);
  for (std::uint64_t word : words) {
    for (int digit = 0; digit < kDigitsPerWord; ++digit) {
      name += kDigits[(word >> (4 * digit)) & 0xF];
    }
  }
  return name;
}

} // namespace azurecross
