#define BOOST_TEST_MODULE serving_tests
#include <boost/test/unit_test.hpp>
