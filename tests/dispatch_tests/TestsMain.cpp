#define BOOST_TEST_MODULE dispatch_tests
#include <boost/test/unit_test.hpp>
