#define BOOST_TEST_MODULE store_tests
#include <boost/test/unit_test.hpp>
