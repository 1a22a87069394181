// Pages and answers of the platform's store. The input is a script: one byte
// chooses the call, and each answer is a status, the store's era and a body,
// the latter two with a length before them.

#include <array>
#include <optional>

#include "fuzzing.h"
#include "platform/storeclient.h"
#include "wire.h"

using namespace celerybeam;
using fuzzing::expect;

namespace {

constexpr int Turns = 4;
constexpr int MostAnswers = 8;
constexpr std::array<const char *, 6> Statuses = {
    "200 OK",        "404 Not Found",           "410 Gone",
    "412 Condition", "503 Service Unavailable", "200 OK"};

/// One call at a time and what became of it.
class Calls {
public:
  Calls() : Client_(Caller_, Address(Store_.address())) {}

  void begin(unsigned Which) {
    StoreAccess Access = Client_.access();
    Ends_ = 0;
    auto Listed = [this](const Result<StoreSnapshot> &Got) {
      ++Ends_;
      if (!Got)
        return expect(!Got.error().Message.empty(), "an error says why");
      for (const StoreChange &Item : Got->Items)
        expect(!Item.Removed || Item.Value.empty(), "a removal has no value");
    };
    auto Done = [this](const Result<void> &) { ++Ends_; };
    switch (Which % 6) {
    case 0:
      return Access.List("op/", Listed);
    case 1:
      return Access.ListStale("op/", Listed);
    case 2:
      return Access.Watch("op/", {0, 5}, std::chrono::seconds(4), Listed);
    case 3:
      return Access.Grant(std::chrono::seconds(2),
                          [this](const Result<LeaseId> &) { ++Ends_; });
    case 4:
      return Access.Renew({7}, Done);
    default:
      return Access.Put("hosts/k", std::string(Which / 6, 'v'), {7}, Done);
    }
  }

  /// Answers the request that has come, if one has.
  bool answer(const std::string &Bytes) {
    std::string Asked;
    for (int I = 0; I < Turns; ++I) {
      fuzzing::turn(Loop_, Clock_);
      if (auto Next = Store_.accept())
        Wire_.emplace(std::move(*Next));
    }
    if (!Wire_ || !Wire_->receive(Asked))
      return false;
    Wire_->send(Bytes);
    for (int I = 0; I < Turns; ++I)
      fuzzing::turn(Loop_, Clock_);
    return true;
  }

  unsigned ends() const { return Ends_; }

private:
  fuzzing::ScriptClock Clock_;
  EventLoop Loop_{Clock_.reader()};
  fuzzing::WireListener Store_;
  HttpCaller Caller_{Loop_};
  platform::StoreClient Client_;
  std::optional<fuzzing::Wire> Wire_;
  unsigned Ends_ = 0;
};

} // namespace

// NOLINTNEXTLINE: name of libFuzzer
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  fuzzing::Script Input(Data, Size);
  Calls Store;
  Store.begin(Input.byte());
  for (int I = 0; I < MostAnswers && !Input.empty(); ++I) {
    const char *Status = Statuses[Input.byte() % Statuses.size()];
    const std::string Era = Input.text();
    const std::string Body = Input.longText();
    std::string Answer = std::string("HTTP/1.1 ") + Status + "\r\n";
    if (!Era.empty() && Era.find_first_of("\r\n") == std::string::npos)
      Answer += "Store-Era: " + Era + "\r\n";
    Answer += "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n";
    bool Asked = Store.answer(Answer + Body);
    expect(Store.ends() <= 1, "a call ends once");
    expect(Asked, "a call that goes on asks for more");
    if (Store.ends() == 1)
      Store.begin(Input.byte());
  }
  return 0;
}
