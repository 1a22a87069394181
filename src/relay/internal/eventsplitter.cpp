#include "relay/eventsplitter.h"

#include <algorithm>
#include <charconv>
#include <vector>

namespace celerybeam {

namespace {

constexpr std::string_view IdField = "id:";

/// The end of the first whole event, or npos. Lines end with LF or CR LF.
std::size_t endOfEvent(std::string_view Text) {
  std::size_t At = Text.find('\n');
  while (At != std::string_view::npos) {
    std::size_t Next = At + 1;
    if (Next < Text.size() && Text[Next] == '\r')
      ++Next;
    if (Next < Text.size() && Text[Next] == '\n')
      return Next + 1;
    At = Text.find('\n', At + 1);
  }
  return std::string_view::npos;
}

/// The lines of an event, without their ends.
std::vector<std::string_view> linesOf(std::string_view Event) {
  std::vector<std::string_view> Lines;
  while (!Event.empty()) {
    std::size_t End = std::min(Event.find('\n'), Event.size());
    std::string_view Line = Event.substr(0, End);
    while (!Line.empty() && Line.back() == '\r')
      Line.remove_suffix(1);
    if (!Line.empty())
      Lines.push_back(Line);
    Event.remove_prefix(std::min(End + 1, Event.size()));
  }
  return Lines;
}

std::string_view idOf(const std::vector<std::string_view> &Lines) {
  for (std::string_view Line : Lines) {
    if (!Line.starts_with(IdField))
      continue;
    Line.remove_prefix(IdField.size());
    while (!Line.empty() && Line.front() == ' ')
      Line.remove_prefix(1);
    return Line;
  }
  return {};
}

std::optional<std::uint64_t> numberOf(std::string_view Id) {
  std::uint64_t Number = 0;
  auto Read = std::from_chars(Id.data(), Id.data() + Id.size(), Number);
  if (Read.ec != std::errc() || Read.ptr != Id.data() + Id.size())
    return std::nullopt;
  return Number;
}

/// Whether all lines are comments, which many servers send as keep-alives.
bool isComment(const std::vector<std::string_view> &Lines) {
  return std::all_of(Lines.begin(), Lines.end(),
                     [](std::string_view Line) { return Line.front() == ':'; });
}

/// Whether the lines have a field that an event consists of.
bool isEvent(const std::vector<std::string_view> &Lines) {
  return std::any_of(Lines.begin(), Lines.end(), [](std::string_view Line) {
    return Line.starts_with("data:") || Line.starts_with("event:");
  });
}

} // namespace

bool EventSplitter::mayEnd() const {
  bool InsideEvent = LastNumber_ && !isComment(linesOf(Partial_));
  return !OutOfOrder_ && !AwaitsContinuation_ && !InsideEvent;
}

bool EventSplitter::mayEndUnmarked() const {
  bool AfterBlankLine = Partial_.empty() ||
                        (Partial_.back() == '\n' && linesOf(Partial_).empty());
  return !OutOfOrder_ && !AwaitsContinuation_ && Delivered_ > 0 &&
         AfterBlankLine;
}

void EventSplitter::beginRun() {
  Partial_.clear();
  OutOfOrder_ = false;
  AwaitsContinuation_ = Delivered_ > 0;
}

bool EventSplitter::accept(std::string_view Event) {
  const auto Lines = linesOf(Event);
  if (isComment(Lines))
    return true;
  std::string_view Id = idOf(Lines);
  std::optional<std::uint64_t> Number = numberOf(Id);
  bool Continues =
      Number ? !LastNumber_ || *Number > *LastNumber_
             : !AwaitsContinuation_ && (!LastNumber_ || isEvent(Lines));
  if (!Continues)
    return false;
  if (Number) {
    LastNumber_ = Number;
    LastId_ = std::string(Id);
  }
  MayResume_ = Number.has_value();
  AwaitsContinuation_ = false;
  ++Delivered_;
  return true;
}

std::string EventSplitter::take(std::string_view Bytes) {
  if (OutOfOrder_)
    return {};
  Partial_ += Bytes;
  std::string Whole;
  std::string_view Remaining = Partial_;
  for (std::size_t End = endOfEvent(Remaining); End != std::string_view::npos;
       End = endOfEvent(Remaining)) {
    std::string_view Event = Remaining.substr(0, End);
    if (!accept(Event)) {
      OutOfOrder_ = true;
      Partial_.clear();
      return Whole;
    }
    Whole += Event;
    Remaining.remove_prefix(End);
  }
  Partial_.erase(0, Partial_.size() - Remaining.size());
  return Whole;
}

} // namespace celerybeam
