#define BOOST_TEST_MODULE cluster_tests
#include <boost/test/unit_test.hpp>

#include <nng/nng.h>

namespace {

/**
 * Ends nng's threads after the last test. Its sockets are closed by then but
 * freed on a thread of its own; without this, LeakSanitizer sometimes reports
 * those that are not freed yet at the end of the program.
 */
struct NngThreads
{
  ~NngThreads() { nng_fini(); }
};

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(NngThreads);
