#include <boost/test/unit_test.hpp>

#include <azurecross_core/azurecross_core.h>

#include <atomic>
#include <thread>
#include <vector>

namespace azurecross {

// Guards against readers that see a freed or half-written version while a
// writer replaces it.
BOOST_AUTO_TEST_CASE(ReadersSeeWholeVersions)
{
  constexpr int kReplacements = 200;
  constexpr int kReaders = 4;
  using Content = std::vector<int>;
  RcuCell<Content> cell(std::make_shared<Content>(16, 0));
  std::atomic<bool> stopped{ false };
  std::atomic<bool> mixed{ false };
  std::vector<std::thread> readers;
  readers.reserve(kReaders);
  for (int reader = 0; reader < kReaders; ++reader) {
    readers.emplace_back([&] {
      int last = 0;
      while (!stopped) {
        const auto version = cell.Read();
        for (int value : *version) {
          mixed = mixed || value != version->front();
        }
        mixed = mixed || version->front() < last;
        last = version->front();
      }
    });
  }
  for (int value = 1; value <= kReplacements; ++value) {
    cell.Replace(std::make_shared<Content>(16, value));
  }
  stopped = true;
  for (std::thread& reader : readers) {
    reader.join();
  }
  BOOST_TEST(!mixed);
  BOOST_TEST(cell.Read()->front() == kReplacements);
}

} // namespace azurecross
