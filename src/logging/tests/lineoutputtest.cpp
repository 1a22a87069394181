#include <array>
#include <string>

#include <boost/test/unit_test.hpp>
#include <fcntl.h>
#include <unistd.h>

#include "logging/lineoutput.h"

using celerybeam::LineOutput;

namespace {

struct Pipe {
  Pipe() { BOOST_REQUIRE(::pipe(Ends.data()) == 0); }
  ~Pipe() {
    ::close(Ends[0]);
    ::close(Ends[1]);
  }
  std::string readAll() const {
    ::fcntl(Ends[0], F_SETFL, O_NONBLOCK);
    std::string Text;
    std::array<char, 4096> Buffer{};
    for (ssize_t Got = ::read(Ends[0], Buffer.data(), Buffer.size()); Got > 0;
         Got = ::read(Ends[0], Buffer.data(), Buffer.size()))
      Text.append(Buffer.data(), static_cast<std::size_t>(Got));
    return Text;
  }
  std::array<int, 2> Ends{};
};

} // namespace

BOOST_AUTO_TEST_SUITE(LineOutputTests)

BOOST_AUTO_TEST_CASE(writesWholeLines) {
  Pipe P;
  LineOutput Out(P.Ends[1]);
  Out << "one\n" << std::flush << "two\n" << std::flush;
  BOOST_TEST(P.readAll() == "one\ntwo\n");
  BOOST_TEST(Out.dropped() == 0U);
}

// Guards against blocking on a full pipe: the reader of standard output has
// stopped, so lines are dropped whole and counted.
BOOST_AUTO_TEST_CASE(dropsWholeLinesWhenNobodyReads) {
  Pipe P;
  LineOutput Out(P.Ends[1]);
  constexpr int Lines = 5000;
  const std::string Line = std::string(99, 'x') + "\n";
  for (int I = 0; I < Lines; ++I)
    Out << Line << std::flush;
  BOOST_TEST(Out.dropped() > 0U);
  std::string Text = P.readAll();
  Out << "after\n" << std::flush;
  Text += P.readAll();
  std::size_t Whole = 0;
  std::size_t At = 0;
  while (At < Text.size()) {
    std::size_t End = Text.find('\n', At);
    BOOST_REQUIRE(End != std::string::npos);
    std::string Got = Text.substr(At, End - At + 1);
    BOOST_REQUIRE((Got == Line || Got == "after\n"));
    ++Whole;
    At = End + 1;
  }
  BOOST_TEST(Whole + Out.dropped() == Lines + 1U);
  BOOST_TEST(Text.ends_with("after\n"));
}

BOOST_AUTO_TEST_SUITE_END()
