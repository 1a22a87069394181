#include "scenario/scenarioparser.h"

#include <sstream>
#include <string>
#include <utility>

#include <boost/spirit/home/x3.hpp>

namespace celerybeam::testing {

namespace {

namespace x3 = boost::spirit::x3;

const auto Quoted = x3::rule<struct QuotedTag, std::string>("quoted") =
    x3::lexeme['"' >> *(x3::char_ - '"') >> '"'];
const auto Bare = x3::rule<struct BareTag, std::string>("bare") =
    x3::lexeme[+(x3::graph - x3::char_("\"="))];
const auto Value = x3::rule<struct ValueTag, std::string>("value") =
    Quoted | x3::lexeme[+x3::graph];

double microsPerUnit(const std::string &Unit) {
  if (Unit == "us")
    return 1;
  if (Unit == "ms")
    return 1e3;
  if (Unit == "s")
    return 1e6;
  return 60e6;
}

// Reads the words and named values of one line.
bool readLine(const std::string &Line, Step &Out) {
  std::string Name;
  auto SetName = [&](auto &Context) { Name = x3::_attr(Context); };
  auto AddNamed = [&](auto &Context) { Out.Named[Name] = x3::_attr(Context); };
  auto AddWord = [&](auto &Context) {
    Out.Words.push_back(x3::_attr(Context));
  };
  auto NameBeforeValue = x3::lexeme[+(x3::alnum | x3::char_("_-")) >> '='];
  auto Named = x3::rule<struct NameTag, std::string>("name") = NameBeforeValue;
  auto Item = (Named[SetName] >> Value[AddNamed]) | Quoted[AddWord] |
              x3::lexeme[+x3::graph][([&](auto &Context) {
                const auto &Chars = x3::_attr(Context);
                Out.Words.emplace_back(Chars.begin(), Chars.end());
              })];
  auto First = Line.begin();
  return x3::phrase_parse(First, Line.end(), +Item, x3::blank) &&
         First == Line.end();
}

bool takeDuration(std::vector<std::string> &Words, std::string_view Keyword,
                  std::optional<Duration> &Out) {
  if (Words.size() < 2 || Words.front() != Keyword)
    return true;
  Out = parseDuration(Words[1]);
  Words.erase(Words.begin(), Words.begin() + 2);
  return Out.has_value();
}

std::string readBlock(std::istringstream &In, unsigned &LineNumber) {
  std::string Block;
  std::string Line;
  while (std::getline(In, Line)) {
    ++LineNumber;
    if (Line == "end")
      break;
    Block += Line + "\n";
  }
  return Block;
}

} // namespace

std::optional<Duration> parseDuration(std::string_view Text) {
  double Number = 0;
  std::string Unit;
  auto Units = x3::rule<struct UnitTag, std::string>("unit") =
      x3::string("us") | x3::string("ms") | x3::string("s") | x3::string("m");
  auto First = Text.begin();
  bool Read =
      x3::parse(First, Text.end(),
                x3::double_[([&](auto &C) { Number = x3::_attr(C); })] >>
                    Units[([&](auto &C) { Unit = x3::_attr(C); })]);
  if (!Read || First != Text.end())
    return std::nullopt;
  return Duration(static_cast<Duration::rep>(Number * microsPerUnit(Unit)));
}

tl::expected<Scenario, ScenarioFault> parseScenario(std::string_view Text) {
  Scenario Steps;
  std::istringstream In{std::string(Text)};
  std::string Line;
  unsigned LineNumber = 0;
  while (std::getline(In, Line)) {
    ++LineNumber;
    std::size_t Start = Line.find_first_not_of(" \t");
    if (Start == std::string::npos || Line[Start] == '#')
      continue;
    Step S;
    S.Line = LineNumber;
    S.Text = Line.substr(Start);
    bool Read = readLine(S.Text, S) && takeDuration(S.Words, "at", S.At) &&
                takeDuration(S.Words, "within", S.Within);
    if (!Read || S.Words.empty())
      return tl::unexpected(ScenarioFault{
          LineNumber, "cannot read this line; write words and name=value"});
    if (S.Words.back() == "<<") {
      S.Words.pop_back();
      S.Block = readBlock(In, LineNumber);
    }
    Steps.push_back(std::move(S));
  }
  return Steps;
}

} // namespace celerybeam::testing
