#define BOOST_TEST_MODULE control_tests
#include <boost/test/unit_test.hpp>
