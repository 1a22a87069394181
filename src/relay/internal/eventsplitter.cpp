#include "relay/eventsplitter.h"

#include <charconv>

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

std::string_view idOf(std::string_view Event) {
  std::size_t Begin = 0;
  while (Begin < Event.size()) {
    std::size_t End = std::min(Event.find('\n', Begin), Event.size());
    std::string_view Line = Event.substr(Begin, End - Begin);
    if (Line.starts_with(IdField)) {
      Line.remove_prefix(IdField.size());
      while (!Line.empty() && Line.front() == ' ')
        Line.remove_prefix(1);
      while (!Line.empty() && Line.back() == '\r')
        Line.remove_suffix(1);
      return Line;
    }
    Begin = End + 1;
  }
  return {};
}

} // namespace

bool EventSplitter::accept(std::string_view Event) {
  std::string_view Id = idOf(Event);
  if (Id.empty())
    return true;
  std::uint64_t Number = 0;
  auto Read = std::from_chars(Id.data(), Id.data() + Id.size(), Number);
  if (Read.ec == std::errc() && Read.ptr == Id.data() + Id.size()) {
    if (LastNumber_ && Number <= *LastNumber_) {
      OutOfOrder_ = true;
      return false;
    }
    LastNumber_ = Number;
  }
  LastId_ = std::string(Id);
  return true;
}

std::string EventSplitter::take(std::string_view Bytes) {
  Partial_ += Bytes;
  std::string Whole;
  std::string_view Remaining = Partial_;
  for (std::size_t End = endOfEvent(Remaining); End != std::string_view::npos;
       End = endOfEvent(Remaining)) {
    std::string_view Event = Remaining.substr(0, End);
    if (accept(Event)) {
      Whole += Event;
      ++Delivered_;
    }
    Remaining.remove_prefix(End);
  }
  Partial_.erase(0, Partial_.size() - Remaining.size());
  return Whole;
}

} // namespace celerybeam
