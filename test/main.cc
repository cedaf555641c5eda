#define BOOST_TEST_MODULE kingcuphaven
#include <boost/test/included/unit_test.hpp>
