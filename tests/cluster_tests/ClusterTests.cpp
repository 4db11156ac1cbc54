#define BOOST_TEST_MODULE cluster_tests
#include <boost/test/unit_test.hpp>
