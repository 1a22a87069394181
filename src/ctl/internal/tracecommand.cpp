#include <algorithm>
#include <fstream>

#include "ctl/commands.h"
#include "ctl/output.h"

namespace celerybeam::ctl {

namespace {

/// Returns whether any field of a log line has the id as its value.
bool containsId(const Json &Line, const std::string &Id) {
  return std::any_of(Line.begin(), Line.end(), [&](const Json &Value) {
    return Value.is_string() && Value.get_ref<const std::string &>() == Id;
  });
}

/// Adds the lines of a structured log that contain the request's id. Returns
/// false when the log cannot be read.
bool collect(const std::string &Path, const std::string &Id, Json &Lines) {
  std::ifstream In(Path);
  if (!In)
    return false;
  for (std::string Text; std::getline(In, Text);) {
    if (Text.find(Id) == std::string::npos)
      continue;
    Json Line = Json::parse(Text, nullptr, false);
    if (Line.is_object() && containsId(Line, Id))
      Lines.push_back(std::move(Line));
  }
  return true;
}

/// Formats the fields of a line, except the standard ones and the id, as
/// key=value.
std::string detailsOf(const Json &Line, const std::string &Id) {
  std::string Text;
  for (const auto &[Key, Value] : Line.items()) {
    if (Key == "time" || Key == "level" || Key == "part" || Key == "message" ||
        Value == Id)
      continue;
    Text += (Text.empty() ? "" : " ") + Key + "=" + cellText(Value);
  }
  return Text;
}

ExitCode run(const Invocation &I) {
  std::string Id = I.text("request");
  if (Id.empty() || I.Options.count("log") == 0)
    return I.usage("trace needs a request and a log: trace REQUEST --log FILE");
  Json Lines = Json::array();
  for (const std::string &Path :
       I.Options["log"].as<std::vector<std::string>>())
    if (!collect(Path, Id, Lines))
      return I.fail({ErrorKind::NotFound,
                     Path + " cannot be read; correct the path after --log."});
  std::stable_sort(Lines.begin(), Lines.end(),
                   [](const Json &A, const Json &B) {
                     return A.value("time", "") < B.value("time", "");
                   });
  if (I.wantsJson())
    I.Out << Json{{"lines", Lines}}.dump(2) << "\n";
  if (Lines.empty())
    return I.fail({ErrorKind::NotFound,
                   "No line names the request " + Id +
                       "; give the logs of all hosts that it may have "
                       "passed, written with format = \"json\"."});
  if (I.wantsJson())
    return ExitCode::Ok;
  for (Json &Line : Lines)
    Line["details"] = detailsOf(Line, Id);
  printTable(I.Out,
             {{"TIME", "time"},
              {"PART", "part"},
              {"MESSAGE", "message"},
              {"DETAILS", "details"}},
             Lines);
  return ExitCode::Ok;
}

} // namespace

Command traceCommand() {
  return {"trace",
          "Shows the log lines of a request from the structured logs",
          {"request"},
          [](po::options_description &Options) {
            Options.add_options()("request", po::value<std::string>(),
                                  "the request's id")(
                "log", po::value<std::vector<std::string>>()->composing(),
                "a log of one host; may be given several times");
          },
          run};
}

} // namespace celerybeam::ctl
