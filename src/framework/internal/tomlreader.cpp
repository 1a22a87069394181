#include "framework/tomlreader.h"

#include <algorithm>
#include <numeric>

namespace celerybeam {

namespace {

std::string quoted(std::string_view Text) {
  return "`" + std::string(Text) + "`";
}

std::size_t editDistance(std::string_view Left, std::string_view Right) {
  std::vector<std::size_t> Row(Right.size() + 1);
  std::iota(Row.begin(), Row.end(), 0);
  for (std::size_t I = 0; I < Left.size(); ++I) {
    std::size_t Diagonal = Row[0];
    Row[0] = I + 1;
    for (std::size_t J = 0; J < Right.size(); ++J) {
      std::size_t Replaced = Diagonal + (Left[I] == Right[J] ? 0 : 1);
      Diagonal = Row[J + 1];
      Row[J + 1] = std::min({Replaced, Row[J] + 1, Row[J + 1] + 1});
    }
  }
  return Row.back();
}

std::string joinNames(const std::vector<std::string_view> &Names) {
  std::string Text;
  for (std::string_view Name : Names) {
    if (!Text.empty())
      Text += ", ";
    Text += "\"" + std::string(Name) + "\"";
  }
  return Text;
}

} // namespace

void detail::throwTomlAssertion(const char *Condition) {
  throw TomlAssertion(Condition);
}

std::string formatProblem(const FileProblem &Problem) {
  std::string Text = Problem.File + ":";
  if (Problem.Line != 0)
    Text += std::to_string(Problem.Line) + ":";
  return Text + " " + Problem.Message;
}

std::optional<std::string>
nearestName(std::string_view Name, const std::vector<std::string> &Candidates) {
  std::optional<std::string> Nearest;
  std::size_t DistanceLimit = Name.size() / 3 + 2;
  for (const std::string &Candidate : Candidates) {
    std::size_t Distance = editDistance(Name, Candidate);
    if (Distance >= DistanceLimit)
      continue;
    DistanceLimit = Distance;
    Nearest = Candidate;
  }
  return Nearest;
}

std::optional<toml::table> parseToml(const std::string &File,
                                     std::string_view Text,
                                     std::vector<FileProblem> &Problems) {
  try {
    return toml::parse(Text, File);
  } catch (const toml::parse_error &E) {
    Problems.push_back(
        {File, E.source().begin.line,
         std::string(E.description()) + "; mend the TOML syntax here"});
    return std::nullopt;
  } catch (const detail::TomlAssertion &E) {
    // It has no position.
    Problems.push_back({File, 0,
                        "the TOML syntax cannot be read; look for \"[\" that "
                        "no name follows (" +
                            std::string(E.what()) + ")"});
    return std::nullopt;
  }
}

TomlReader::TomlReader(std::string File, const toml::table &Table,
                       std::string Section, std::vector<FileProblem> &Problems)
    : File_(std::move(File)), Table_(Table), Section_(std::move(Section)),
      Problems_(Problems) {}

void TomlReader::text(std::string_view Key, std::string &Target, Presence P) {
  const toml::node *Node = find(Key, P);
  if (!Node)
    return;
  const auto *Value = Node->as_string();
  if (!Value)
    return reportWrongType(Key, "a string in quotes");
  if (P == Presence::Required && Value->get().empty())
    return problem(Key, quoted(Key) + " is empty; give it a value");
  Target = Value->get();
}

void TomlReader::texts(std::string_view Key, std::vector<std::string> &Target,
                       Presence P) {
  const toml::node *Node = find(Key, P);
  if (!Node)
    return;
  const toml::array *Values = Node->as_array();
  if (!Values)
    return reportWrongType(Key, "a list of strings, as in [\"a\", \"b\"]");
  std::vector<std::string> Read;
  for (const toml::node &Value : *Values) {
    const auto *Text = Value.as_string();
    if (!Text || Text->get().empty())
      return reportWrongType(Key, "a list of strings, none of them empty");
    Read.push_back(Text->get());
  }
  Target = std::move(Read);
}

void TomlReader::flag(std::string_view Key, bool &Target) {
  const toml::node *Node = find(Key, Presence::Optional);
  if (!Node)
    return;
  const auto *Value = Node->as_boolean();
  if (!Value)
    return reportWrongType(Key, "true or false without quotes");
  Target = Value->get();
}

void TomlReader::number(std::string_view Key, double &Target,
                        NumberRange Range) {
  const toml::node *Node = find(Key, Presence::Optional);
  if (!Node)
    return;
  if (!Node->is_number())
    return reportWrongType(Key, "a number without quotes");
  if (std::optional<double> Value =
          checkRange(Key, Node->value<double>().value_or(0), Range))
    Target = *Value;
}

void TomlReader::count(std::string_view Key, std::uint32_t &Target,
                       NumberRange Range) {
  const toml::node *Node = find(Key, Presence::Optional);
  if (!Node)
    return;
  const auto *Value = Node->as_integer();
  if (!Value)
    return reportWrongType(Key, "a whole number without quotes");
  Range.Max = std::min<double>(Range.Max, std::numeric_limits<uint32_t>::max());
  if (checkRange(Key, static_cast<double>(Value->get()), Range))
    Target = static_cast<std::uint32_t>(Value->get());
}

void TomlReader::duration(std::string_view Key, Duration &Target,
                          DurationRange Range) {
  const toml::node *Node = find(Key, Presence::Optional);
  if (!Node)
    return;
  const auto *Text = Node->as_string();
  std::optional<Duration> Value =
      Text ? parseDuration(Text->get()) : std::nullopt;
  if (!Value)
    return reportWrongType(
        Key, "a duration with its unit in quotes, as in \"250ms\" "
             "or \"60s\"");
  if (*Value < Range.Min || *Value > Range.Max)
    return problem(Key, quoted(Key) + " is " + Text->get() +
                            "; give it a duration from " +
                            formatDuration(Range.Min) + " to " +
                            formatDuration(Range.Max));
  Target = *Value;
}

void TomlReader::size(std::string_view Key, ByteSize &Target, ByteSize Min,
                      ByteSize Max) {
  const toml::node *Node = find(Key, Presence::Optional);
  if (!Node)
    return;
  const auto *Text = Node->as_string();
  std::optional<ByteSize> Value =
      Text ? parseByteSize(Text->get()) : std::nullopt;
  if (!Value)
    return reportWrongType(Key,
                           "a size with its unit in quotes, as in \"64KiB\" or "
                           "\"8MiB\"");
  if (*Value < Min || *Value > Max)
    return problem(Key, quoted(Key) + " is " + Text->get() +
                            "; give it a size from " + formatByteSize(Min) +
                            " to " + formatByteSize(Max));
  Target = *Value;
}

const toml::table *TomlReader::table(std::string_view Key) {
  const toml::node *Node = find(Key, Presence::Optional);
  if (!Node)
    return nullptr;
  if (!Node->is_table())
    reportWrongType(Key, "a table, as in [" + std::string(Key) + "]");
  return Node->as_table();
}

void TomlReader::problem(std::string_view Key, const std::string &Message) {
  Problems_.push_back({File_, lineOf(Key), Section_ + ": " + Message});
}

void TomlReader::finish() {
  for (const auto &[Key, Node] : Table_) {
    std::string Name(Key.str());
    if (std::find(KnownKeys_.begin(), KnownKeys_.end(), Name) !=
        KnownKeys_.end())
      continue;
    std::optional<std::string> Nearest = nearestName(Name, KnownKeys_);
    problem(Name, "unknown key " + quoted(Name) +
                      (Nearest ? "; did you mean " + quoted(*Nearest) + "?"
                               : "; remove it"));
  }
}

unsigned TomlReader::lineOf(std::string_view Key) const {
  auto It = Table_.find(Key);
  if (It == Table_.end())
    return Table_.source().begin.line;
  return It->first.source().begin.line;
}

const toml::node *TomlReader::find(std::string_view Key, Presence P) {
  KnownKeys_.emplace_back(Key);
  const toml::node *Node = Table_.get(Key);
  if (!Node && P == Presence::Required)
    problem(Key, quoted(Key) + " is missing; add it");
  return Node;
}

std::optional<std::size_t>
TomlReader::findChoice(std::string_view Key,
                       const std::vector<std::string_view> &Names) {
  const toml::node *Node = find(Key, Presence::Optional);
  if (!Node)
    return std::nullopt;
  const auto *Text = Node->as_string();
  auto It =
      Text ? std::find(Names.begin(), Names.end(), Text->get()) : Names.end();
  if (It == Names.end()) {
    reportWrongType(Key, "one of " + joinNames(Names));
    return std::nullopt;
  }
  return It - Names.begin();
}

void TomlReader::reportWrongType(std::string_view Key,
                                 std::string_view Expected) {
  problem(Key, quoted(Key) + " must be " + std::string(Expected));
}

std::optional<double> TomlReader::checkRange(std::string_view Key, double Value,
                                             NumberRange Range) {
  // The negated condition also rejects NaN.
  if (!(Value >= Range.Min && Value <= Range.Max)) {
    std::string Bounds = "at least " + formatNumber(Range.Min);
    if (Range.Max != std::numeric_limits<double>::max())
      Bounds =
          "from " + formatNumber(Range.Min) + " to " + formatNumber(Range.Max);
    problem(Key, quoted(Key) + " is " + formatNumber(Value) +
                     "; give it a number " + Bounds);
    return std::nullopt;
  }
  return Value;
}

} // namespace celerybeam
