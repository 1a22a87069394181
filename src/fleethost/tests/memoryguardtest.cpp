#include <boost/test/unit_test.hpp>

#include <vector>

#include "fleethost/internal/memoryguard.h"
#include "support/virtualtime.h"

using namespace celerybeam;
using namespace std::chrono_literals;
using detail::MemoryGuard;

namespace {

constexpr std::size_t Limit = 100;

struct Fixture {
  testing::VirtualTime Time{1};
  std::optional<std::size_t> Resident = 50;
  /// What a release leaves resident at least.
  std::size_t InUse = 0;
  unsigned Reads = 0;
  unsigned Releases = 0;
  std::vector<bool> Changes;
  MemoryGuard Guard{Time.runtime(),
                    Limit,
                    {[this] {
                       ++Reads;
                       return Resident;
                     },
                     [this] {
                       ++Releases;
                       Resident = InUse;
                     },
                     [this](const detail::MemoryChange &Change) {
                       Changes.push_back(Change.IsShort);
                     }}};

  void runFor(Duration Span) {
    for (Duration Passed{}; Passed < Span; Passed += 50ms) {
      Guard.tick();
      Time.runFor(50ms);
    }
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(MemoryGuardTests, Fixture)

// LOST (review/7): a burst of long heads brought a host above its memory, and
// all its requests were lost with it.
BOOST_AUTO_TEST_CASE(requestsAreRefusedBeforeTheMemoryIsUsedUp) {
  Resident = 80;
  runFor(MemoryGuard::IdleInterval + 50ms);
  BOOST_TEST(Guard.hasRoom());
  Resident = InUse = 95;
  runFor(100ms);
  BOOST_TEST(!Guard.hasRoom());
  Resident = InUse = 85;
  runFor(100ms);
  BOOST_TEST(Guard.hasRoom());
  BOOST_TEST((Changes == std::vector{true, false}));
}

// The allocator keeps what has been freed, so the process looks full for ever.
BOOST_AUTO_TEST_CASE(freedMemoryIsReturnedToTheSystem) {
  Resident = 95;
  InUse = 40;
  runFor(MemoryGuard::IdleInterval);
  BOOST_TEST(Guard.hasRoom());
  BOOST_TEST(Releases == 1U);
  BOOST_TEST(Changes.empty());
}

// Each read is a call to the system.
BOOST_AUTO_TEST_CASE(readsAreRareWhileThereIsPlenty) {
  runFor(10s);
  BOOST_TEST(Reads <= 10s / MemoryGuard::IdleInterval + 1);
  BOOST_TEST(Releases == 0U);
}

BOOST_AUTO_TEST_CASE(releasesAreBounded) {
  Resident = InUse = 95;
  runFor(10s);
  BOOST_TEST(Releases <= 10s / MemoryGuard::ReleaseInterval + 1);
}

BOOST_AUTO_TEST_CASE(unknownMemoryRefusesNothing) {
  Resident.reset();
  runFor(2s);
  BOOST_TEST(Guard.hasRoom());
}

BOOST_AUTO_TEST_CASE(residentMemoryOfThisProcessIsKnown) {
  constexpr std::size_t Block = 8U << 20U;
  auto Before = detail::residentBytes();
  BOOST_REQUIRE(Before.has_value());
  std::vector<char> Used(Block, 1);
  BOOST_TEST(*detail::residentBytes() >= *Before + Block / 2);
  BOOST_TEST(Used.back() == 1);
}

BOOST_AUTO_TEST_SUITE_END()
