#include "httpclient/httpclient.h"

#include <boost/test/unit_test.hpp>
