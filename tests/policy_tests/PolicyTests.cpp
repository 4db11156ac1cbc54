#define BOOST_TEST_MODULE policy_tests
#include <boost/test/unit_test.hpp>
