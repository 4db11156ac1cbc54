#define BOOST_TEST_MODULE tables_tests
#include <boost/test/unit_test.hpp>
