#include <array>
#include <cstdlib>

#include <boost/test/unit_test.hpp>

#include "relay/tests/stalledloop.h"

using namespace celerybeam;
using namespace celerybeam::testing;

namespace {

using std::chrono::milliseconds;

/// Each value exceeds one more time-out: connects to endpoints (300 ms) and to
/// hosts (600 ms), a head, an idle connection, a whole request, the route.
const std::vector<milliseconds> AllSpans = {
    milliseconds(0),    milliseconds(310),  milliseconds(610),
    milliseconds(1010), milliseconds(2010), milliseconds(4010),
    milliseconds(10010)};
/// The values that matter for connections to endpoints, and to hosts.
const std::vector<milliseconds> EndpointSpans = {
    milliseconds(0), milliseconds(310), milliseconds(10010)};
const std::vector<milliseconds> HostSpans = {milliseconds(0), milliseconds(610),
                                             milliseconds(10010)};

constexpr std::array Routes = {"book", "look", "draft", "ask"};
/// Maximum number of failing cases that are printed; more add no information.
constexpr unsigned MaxPrinted = 12;

/// Counts cases and prints those that fail.
class Tally {
public:
  ~Tally() {
    BOOST_TEST_MESSAGE(Cases_ << " cases, " << Failed_ << " failed, "
                              << Answers_ << " responses, " << Runs_
                              << " runs");
    BOOST_TEST(Failed_ == 0U);
    // A replay in which nothing runs would pass without testing anything.
    BOOST_TEST((SingleCase_ || (Answers_ > 0 && Runs_ > 0 && NotRun_ > 0)));
  }

  void replay(const StallCase &Base, const std::vector<milliseconds> &Spans) {
    replayEverywhere(Base, Spans,
                     [this](const StallCase &Case, const StallOutcome &Out) {
                       record(Case, Out);
                     });
  }

private:
  void record(const StallCase &Case, const StallOutcome &Out) {
    ++Cases_;
    Answers_ += Out.Answers;
    Runs_ += Out.Runs;
    NotRun_ += Out.Answers > 0 && Out.Runs == 0 ? 1 : 0;
    if (Out.Faults.empty())
      return;
    if (++Failed_ <= MaxPrinted)
      for (const std::string &Fault : Out.Faults)
        BOOST_ERROR("CELERYBEAM_STALL_CASE=" << Case.name() << ": " << Fault);
  }

  bool SingleCase_ = std::getenv("CELERYBEAM_STALL_CASE") != nullptr;
  unsigned Cases_ = 0;
  unsigned Failed_ = 0;
  unsigned Answers_ = 0;
  unsigned Runs_ = 0;
  /// Number of cases with a response and without a run.
  unsigned NotRun_ = 0;
};

/// Whether only entry hosts act in this way, so that replays with endpoints
/// leave it out.
bool isHostOnly(PeerAct Act) { return Act >= PeerAct::Own408; }

/// Whether only endpoints act in this way, so that replays with another host
/// leave it out.
bool isEndpointOnly(PeerAct Act) {
  return Act >= PeerAct::Signed503 && Act <= PeerAct::Misdirects;
}

} // namespace

BOOST_AUTO_TEST_SUITE(StallReplayTests)

BOOST_AUTO_TEST_CASE(callersActDuringAStall) {
  Tally All;
  for (const char *Route : Routes)
    for (int Act = 0; Act <= int(CallerAct::Last); ++Act)
      for (unsigned Endpoints : {1U, 2U})
        All.replay({Route, Endpoints, CallerAct(Act)},
                   Endpoints == 1 ? AllSpans : EndpointSpans);
}

BOOST_AUTO_TEST_CASE(endpointsActDuringAStall) {
  Tally All;
  for (const char *Route : Routes)
    for (int Act = 0; Act <= int(PeerAct::Last); ++Act)
      for (unsigned Endpoints : {1U, 2U})
        for (CallerAct Caller : {CallerAct::Whole, CallerAct::Pipelined})
          if (!isHostOnly(PeerAct(Act)))
            All.replay({Route, Endpoints, Caller, PeerAct(Act)}, EndpointSpans);
}

BOOST_AUTO_TEST_CASE(otherHostsActDuringAStall) {
  Tally All;
  for (const char *Route : Routes)
    for (int Act = 0; Act <= int(PeerAct::Last); ++Act)
      for (CallerAct Caller : {CallerAct::Whole, CallerAct::Pipelined})
        if (!isEndpointOnly(PeerAct(Act)))
          All.replay({Route, 0, Caller, PeerAct(Act)}, HostSpans);
}

BOOST_AUTO_TEST_SUITE_END()
