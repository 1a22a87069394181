#include "recovery/streamassembler.h"

#include <charconv>
#include <optional>
#include <utility>

namespace celerybeam {

namespace {

constexpr std::string_view FinalData = "[DONE]";

/// The fields of the event that is being parsed.
struct PartialEvent {
  std::string Id;
  std::string Data;
  bool HasData = false;
  std::size_t Bytes = 0;
};

std::optional<std::uint64_t> parseIndex(const std::string &Text) {
  std::uint64_t Index = 0;
  const char *End = Text.data() + Text.size();
  auto Parsed = std::from_chars(Text.data(), End, Index);
  if (Parsed.ec != std::errc() || Parsed.ptr != End)
    return std::nullopt;
  return Index;
}

tl::unexpected<Error> streamError(const std::string &What) {
  return makeError(ErrorKind::EndpointFailed,
                   "The engine's stream " + What +
                       ". Resume it at another endpoint, and check this "
                       "engine against the contract for streams.");
}

/// The value of a field line, without one optional space after the colon.
std::string_view fieldValue(std::string_view Line, std::size_t Colon) {
  if (Colon == std::string_view::npos)
    return {};
  Line.remove_prefix(Colon + 1);
  if (!Line.empty() && Line.front() == ' ')
    Line.remove_prefix(1);
  return Line;
}

} // namespace

class StreamAssembler::Impl {
public:
  explicit Impl(std::uint64_t FirstIndex) : NextIndex_(FirstIndex) {}

  void beginAttempt(AttemptNumber Number) {
    Attempt_ = Number;
    Line_.clear();
    Event_ = {};
    Failed_ = false;
  }

  Result<StreamOutput> take(AttemptNumber Number, std::string_view Bytes) {
    if (Number != Attempt_) {
      ++StaleChunks_;
      return StreamOutput();
    }
    if (Failed_)
      return streamError("went on after it had failed");
    for (char C : Bytes) {
      if (Done_)
        break;
      if (auto Taken = parseByte(C); !Taken) {
        Failed_ = true;
        return tl::make_unexpected(Taken.error());
      }
    }
    return std::exchange(Output_, {});
  }

  std::uint64_t nextIndex() const { return NextIndex_; }
  bool done() const { return Done_; }
  std::uint64_t staleChunks() const { return StaleChunks_; }

private:
  Result<void> parseByte(char C) {
    if (C != '\n') {
      Line_.push_back(C);
      if (Event_.Bytes + Line_.size() > MaxEventBytes)
        return streamError("has an event of more than 1 MiB");
      return {};
    }
    std::string Line = std::exchange(Line_, {});
    if (!Line.empty() && Line.back() == '\r')
      Line.pop_back();
    if (Line.empty())
      return finishEvent();
    parseField(Line);
    return {};
  }

  void parseField(std::string_view Line) {
    Event_.Bytes += Line.size();
    std::size_t Colon = Line.find(':');
    std::string_view Name = Line.substr(0, Colon);
    std::string_view Value = fieldValue(Line, Colon);
    if (Name == "id")
      Event_.Id = Value;
    if (Name != "data")
      return;
    if (Event_.HasData)
      Event_.Data.push_back('\n');
    Event_.Data += Value;
    Event_.HasData = true;
  }

  Result<void> finishEvent() {
    PartialEvent Event = std::exchange(Event_, {});
    if (!Event.HasData)
      return {};
    if (Event.Data == FinalData) {
      Done_ = true;
      Output_.Done = true;
      deliver(Event);
      return {};
    }
    std::optional<std::uint64_t> Index = parseIndex(Event.Id);
    if (!Index)
      return streamError("has an event without the index of its token");
    if (*Index < NextIndex_)
      return {};
    if (*Index > NextIndex_)
      return streamError("misses token " + std::to_string(NextIndex_));
    ++NextIndex_;
    ++Output_.Tokens;
    deliver(Event);
    return {};
  }

  void deliver(const PartialEvent &Event) {
    if (!Event.Id.empty())
      Output_.Events += "id: " + Event.Id + "\n";
    std::string_view Rest = Event.Data;
    while (true) {
      std::size_t Break = Rest.find('\n');
      Output_.Events.append("data: ").append(Rest.substr(0, Break));
      Output_.Events.push_back('\n');
      if (Break == std::string_view::npos)
        break;
      Rest.remove_prefix(Break + 1);
    }
    Output_.Events.push_back('\n');
  }

  AttemptNumber Attempt_ = 0;
  std::string Line_;
  PartialEvent Event_;
  StreamOutput Output_;
  std::uint64_t NextIndex_;
  std::uint64_t StaleChunks_ = 0;
  bool Done_ = false;
  bool Failed_ = false;
};

StreamAssembler::StreamAssembler(std::uint64_t FirstIndex)
    : Impl_(std::make_unique<Impl>(FirstIndex)) {}
StreamAssembler::~StreamAssembler() = default;

void StreamAssembler::beginAttempt(AttemptNumber Number) {
  Impl_->beginAttempt(Number);
}

Result<StreamOutput> StreamAssembler::take(AttemptNumber Number,
                                           std::string_view Bytes) {
  return Impl_->take(Number, Bytes);
}

std::uint64_t StreamAssembler::nextIndex() const { return Impl_->nextIndex(); }
bool StreamAssembler::done() const { return Impl_->done(); }
std::uint64_t StreamAssembler::staleChunks() const {
  return Impl_->staleChunks();
}

} // namespace celerybeam
