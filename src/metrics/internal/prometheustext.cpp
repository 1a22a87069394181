#include "metrics/internal/prometheustext.h"

#include <array>
#include <charconv>
#include <cmath>

namespace celerybeam {

namespace {

constexpr std::size_t MaxNumberLength = 40;

std::string_view typeName(MetricType Type) {
  switch (Type) {
  case MetricType::Counter:
    return "counter";
  case MetricType::Gauge:
    return "gauge";
  case MetricType::Histogram:
    return "histogram";
  }
  return "untyped";
}

std::string renderNumber(double Value) {
  if (std::isnan(Value))
    return "NaN";
  if (std::isinf(Value))
    return Value > 0 ? "+Inf" : "-Inf";
  std::array<char, MaxNumberLength> Text{};
  auto [End, Code] =
      std::to_chars(Text.data(), Text.data() + Text.size(), Value);
  return {Text.data(), End};
}

std::string escape(std::string_view Text, bool WithQuotes) {
  std::string Escaped;
  for (char C : Text) {
    if (C == '\\')
      Escaped += "\\\\";
    else if (C == '\n')
      Escaped += "\\n";
    else if (C == '"' && WithQuotes)
      Escaped += "\\\"";
    else
      Escaped += C;
  }
  return Escaped;
}

std::string renderLabels(const MetricLabels &Labels) {
  if (Labels.empty())
    return {};
  std::string Text;
  for (const MetricLabel &Label : Labels) {
    Text += Text.empty() ? '{' : ',';
    Text += Label.Name + "=\"" + escape(Label.Value, true) + '"';
  }
  return Text + '}';
}

std::string line(const std::string &Name, const MetricLabels &Labels,
                 double Value) {
  return Name + renderLabels(Labels) + ' ' + renderNumber(Value) + '\n';
}

} // namespace

void PrometheusText::declare(const std::string &Name, std::string_view Help,
                             MetricType Type) {
  Families_[Name].Header = "# HELP " + Name + ' ' + escape(Help, false) +
                           "\n# TYPE " + Name + ' ' +
                           std::string(typeName(Type)) + '\n';
}

void PrometheusText::addValue(const std::string &Name,
                              const MetricLabels &Labels, double Value) {
  Families_[Name].Lines += line(Name, Labels, Value);
}

void PrometheusText::addHistogram(const std::string &Name,
                                  const MetricLabels &Labels,
                                  const std::vector<CumulativeBucket> &Buckets,
                                  double Count, double Sum) {
  std::string &Lines = Families_[Name].Lines;
  MetricLabels WithBound = Labels;
  WithBound.push_back({"le", ""});
  for (const CumulativeBucket &Bucket : Buckets) {
    WithBound.back().Value = renderNumber(Bucket.UpperBound);
    Lines += line(Name + "_bucket", WithBound, Bucket.Count);
  }
  WithBound.back().Value = "+Inf";
  Lines += line(Name + "_bucket", WithBound, Count);
  Lines += line(Name + "_sum", Labels, Sum);
  Lines += line(Name + "_count", Labels, Count);
}

std::string PrometheusText::str() const {
  std::string Text;
  for (const auto &[Name, Each] : Families_)
    Text += Each.Header + Each.Lines;
  return Text;
}

} // namespace celerybeam
