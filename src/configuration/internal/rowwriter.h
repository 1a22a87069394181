#ifndef CELERYBEAM_CONFIGURATION_INTERNAL_ROWWRITER_H
#define CELERYBEAM_CONFIGURATION_INTERNAL_ROWWRITER_H

#include <algorithm>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

#include "framework/tomlreader.h"

namespace celerybeam::detail {

/// Writes the keys of one row as TOML and leaves out those that have their
/// default value. A visitor of visitFields: it visits the fields of
/// the default row first and those of the row to write second.
class RowWriter {
public:
  /// Call before the second visit, which writes.
  void startWriting() { Writing_ = true; }
  std::string take() { return std::move(Text_); }

  template <typename Id>
  void text(std::string_view Key, const Id &Value, Presence) {
    put(Key, quote(textOf(Value)));
  }
  template <typename Id>
  void texts(std::string_view Key, const std::vector<Id> &Values) {
    std::string List;
    for (const Id &Value : Values)
      List += (List.empty() ? "" : ", ") + quote(textOf(Value));
    put(Key, "[" + List + "]");
  }
  void flag(std::string_view Key, bool Value) {
    put(Key, Value ? "true" : "false");
  }
  void number(std::string_view Key, double Value, NumberRange) {
    put(Key, formatNumber(Value));
  }
  void count(std::string_view Key, std::uint32_t Value, NumberRange) {
    put(Key, std::to_string(Value));
  }
  void duration(std::string_view Key, Duration Value, DurationRange) {
    put(Key, quote(formatDuration(Value)));
  }
  template <typename Enum>
  void choice(std::string_view Key, Enum Value, Choices<Enum> Of) {
    auto It = std::find_if(Of.begin(), Of.end(),
                           [&](const auto &C) { return C.second == Value; });
    put(Key, quote(std::string(It->first)));
  }

private:
  static const std::string &textOf(const std::string &Value) { return Value; }
  template <typename Tag>
  static const std::string &textOf(const StrongId<Tag> &Value) {
    return Value.str();
  }

  static std::string quote(const std::string &Value) {
    std::ostringstream Out;
    toml::table Holder{{"v", Value}};
    Out << toml::toml_formatter(Holder, toml::format_flags::none);
    return Out.str().substr(std::string_view("v = ").size());
  }

  void put(std::string_view Key, std::string Value) {
    if (!Writing_)
      return Defaults_.push_back(std::move(Value));
    if (Defaults_[Next_++] != Value)
      Text_ += std::string(Key) + " = " + Value + "\n";
  }

  bool Writing_ = false;
  std::size_t Next_ = 0;
  std::vector<std::string> Defaults_;
  std::string Text_;
};

} // namespace celerybeam::detail

#endif
