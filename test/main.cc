#define BOOST_TEST_MODULE kingcuphaven
#include <boost/test/unit_test.hpp>
