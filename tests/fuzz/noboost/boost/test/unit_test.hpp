#ifndef CELERYBEAM_FUZZ_NOBOOST_UNIT_TEST_HPP
#define CELERYBEAM_FUZZ_NOBOOST_UNIT_TEST_HPP

#include <cstdlib>

// The fixtures of src/relay/tests without Boost.Test's own main function: a
// requirement that does not hold ends the process, which libFuzzer reports.
#define BOOST_REQUIRE(Condition)                                               \
  do {                                                                         \
    if (!(Condition))                                                          \
      std::abort();                                                            \
  } while (false)

#endif
