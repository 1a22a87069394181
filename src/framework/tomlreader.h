#ifndef CELERYBEAM_FRAMEWORK_TOMLREADER_H
#define CELERYBEAM_FRAMEWORK_TOMLREADER_H

#include <cstdint>
#include <initializer_list>
#include <limits>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace celerybeam::detail {

/// A failed assertion of toml++.
class TomlAssertion : public std::logic_error {
public:
  using std::logic_error::logic_error;
};

[[noreturn]] void throwTomlAssertion(const char *Condition);

} // namespace celerybeam::detail

// toml++ asserts what a mistake in a file can break, such as a key after "[".
// The assertions stay on in all builds and throw.
#pragma push_macro("NDEBUG")
#undef NDEBUG
#define TOML_ASSERT(Condition)                                                 \
  ((Condition) ? void() : ::celerybeam::detail::throwTomlAssertion(#Condition))
#include <toml++/toml.h>
#pragma pop_macro("NDEBUG")

#include "framework/runtime.h"
#include "framework/strongid.h"
#include "framework/units.h"

namespace celerybeam {

/// A problem in a file that a person edits, and where to fix it.
struct FileProblem {
  std::string File;
  /// From 1; 0 when the problem has no line.
  unsigned Line = 0;
  /// Says what is wrong and how to fix it.
  std::string Message;
};

/// "routes.toml:12: message", as compilers write it.
std::string formatProblem(const FileProblem &Problem);

enum class Presence { Optional, Required };

/// Bounds of a number, both included.
struct NumberRange {
  double Min = 0;
  double Max = std::numeric_limits<double>::max();
};

/// Bounds of a duration, both included.
struct DurationRange {
  Duration Min{};
  Duration Max = std::chrono::hours(24);
};

/// The names of an enumeration's values in a file.
template <typename Enum>
using Choices = std::initializer_list<std::pair<std::string_view, Enum>>;

/// Parses the text of a file; a syntax error is added to Problems.
std::optional<toml::table> parseToml(const std::string &File,
                                     std::string_view Text,
                                     std::vector<FileProblem> &Problems);

/// Reads the keys of one TOML table and collects every problem.
///
/// Each function reads one key: a value of the wrong type, unit or range is a
/// problem and leaves the target unchanged. finish() reports the keys that
/// were not read.
class TomlReader {
public:
  /// \param Section  how messages name the table, as in "[host]" or
  ///                 "route \"quotes\"".
  TomlReader(std::string File, const toml::table &Table, std::string Section,
             std::vector<FileProblem> &Problems);

  void text(std::string_view Key, std::string &Target,
            Presence P = Presence::Optional);
  template <typename Tag>
  void text(std::string_view Key, StrongId<Tag> &Target,
            Presence P = Presence::Optional) {
    std::string Text = Target.str();
    text(Key, Text, P);
    Target = StrongId<Tag>(std::move(Text));
  }

  void texts(std::string_view Key, std::vector<std::string> &Target,
             Presence P = Presence::Optional);
  template <typename Tag>
  void texts(std::string_view Key, std::vector<StrongId<Tag>> &Target,
             Presence P = Presence::Optional) {
    std::vector<std::string> Texts;
    texts(Key, Texts, P);
    for (std::string &Text : Texts)
      Target.emplace_back(std::move(Text));
  }

  void flag(std::string_view Key, bool &Target);
  void number(std::string_view Key, double &Target, NumberRange Range = {});
  void count(std::string_view Key, std::uint32_t &Target,
             NumberRange Range = {});
  void duration(std::string_view Key, Duration &Target,
                DurationRange Range = {});
  void size(std::string_view Key, ByteSize &Target, ByteSize Min, ByteSize Max);

  template <typename Enum>
  void choice(std::string_view Key, Enum &Target, Choices<Enum> Of) {
    std::vector<std::string_view> Names;
    for (const auto &[Name, Value] : Of)
      Names.push_back(Name);
    std::optional<std::size_t> Index = findChoice(Key, Names);
    if (Index)
      Target = (Of.begin() + *Index)->second;
  }

  /// The table under a key; reports a value of another type. Null when the
  /// key is absent.
  const toml::table *table(std::string_view Key);

  /// Adds a problem at the line of the key, or of the table when it is
  /// absent.
  void problem(std::string_view Key, const std::string &Message);

  /// Reports keys that were not read, with the nearest known key.
  void finish();

  /// Line of the key, or of the table when the key is absent.
  unsigned lineOf(std::string_view Key) const;

private:
  const toml::node *find(std::string_view Key, Presence P);
  std::optional<std::size_t>
  findChoice(std::string_view Key, const std::vector<std::string_view> &Names);
  void reportWrongType(std::string_view Key, std::string_view Expected);
  std::optional<double> checkRange(std::string_view Key, double Value,
                                   NumberRange Range);

  std::string File_;
  const toml::table &Table_;
  std::string Section_;
  std::vector<FileProblem> &Problems_;
  std::vector<std::string> KnownKeys_;
};

/// The candidate with the smallest edit distance, if it is close enough to be
/// a likely typing error.
std::optional<std::string>
nearestName(std::string_view Name, const std::vector<std::string> &Candidates);

} // namespace celerybeam

#endif
