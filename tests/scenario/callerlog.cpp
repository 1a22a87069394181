#include "scenario/callerlog.h"

#include <utility>

#include "scenario/fakeendpoint.h"

namespace celerybeam::testing {

bool CallRecord::whole() const {
  return Ended && !Failure && Status == 200 && correct();
}

bool CallRecord::correct() const {
  if (!Key.empty())
    return Body == "{\"booked\":\"" + Key + "\"}";
  if (Tokens == 0)
    return true;
  return Body == (Stream ? FakeEndpoint::wholeStream(Prompt, Tokens)
                         : FakeEndpoint::wholeAnswer(Prompt, Tokens));
}

CallRecord &CallerLog::add(CallRecord Record) {
  std::string Name = Record.Name;
  return Records_.insert_or_assign(Name, std::move(Record)).first->second;
}

CallRecord *CallerLog::find(const std::string &Name) {
  auto It = Records_.find(Name);
  return It == Records_.end() ? nullptr : &It->second;
}

std::vector<const CallRecord *>
CallerLog::ofLoad(const std::string &Load) const {
  std::vector<const CallRecord *> Found;
  for (const auto &[Name, R] : Records_)
    if (R.Load == Load)
      Found.push_back(&R);
  return Found;
}

} // namespace celerybeam::testing
