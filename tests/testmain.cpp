#define BOOST_TEST_MODULE celerybeam
#include <boost/test/unit_test.hpp>
