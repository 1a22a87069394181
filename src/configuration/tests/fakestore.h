#ifndef CELERYBEAM_CONFIGURATION_TESTS_FAKESTORE_H
#define CELERYBEAM_CONFIGURATION_TESTS_FAKESTORE_H

#include <functional>
#include <map>
#include <set>
#include <string>

#include "framework/storehooks.h"
#include "support/virtualtime.h"

namespace celerybeam::tests {

using testing::VirtualTime;

/// A key-value store in memory whose reads can be stale. Writes of the head can
/// lose their reply or be preceded by another writer's.
class FakeStore {
public:
  explicit FakeStore(VirtualTime &Time) : Time_(Time) {}

  bool Down = false;
  /// Reads find no key, as from a replica that lags far behind.
  bool ReportsEmpty = false;
  Duration Delay = std::chrono::milliseconds(5);
  /// Called on each write of the head; when true the reply is lost.
  std::function<bool()> LosesHeadReply = [] { return false; };
  /// Called before each write of the head, for example to write another edit.
  std::function<void()> BeforeHeadWrite = [] {};
  /// Until thaw(), reads return the values of the time of this call.
  void freeze() { Old_ = Values_; }
  void thaw() { Old_.reset(); }
  int Reads = 0;
  int Writes = 0;

  StoreHooks hooks() {
    StoreHooks Hooks;
    Hooks.Get = [this](const StoreKey &Key,
                       const Completion<StoreValue> &Done) {
      ++Reads;
      Time_.after(Delay, [=, this] { Done(read(Key)); });
    };
    Hooks.Watch = [this](const StoreWatch &Watch,
                         const Completion<StoreValue> &Done) {
      ++Reads;
      poll(Watch, Time_.now() + Watch.Wait, Done);
    };
    Hooks.Put = [this](const StorePut &Put,
                       const Completion<StoreVersion> &Done) {
      ++Writes;
      Time_.after(Delay, [=, this] { Done(write(Put)); });
    };
    return Hooks;
  }

  const std::string &data(const StoreKey &Key) { return Values_[Key].Data; }
  void corrupt(const StoreKey &Key, std::string Data) {
    Values_[Key].Data = std::move(Data);
    ++Values_[Key].Version;
  }

private:
  using Values = std::map<StoreKey, StoreValue>;

  static tl::unexpected<Error> unreachable() {
    return makeError(ErrorKind::StoreUnreachable, "down");
  }

  Result<StoreValue> read(const StoreKey &Key) {
    if (Down)
      return unreachable();
    const Values &From = Old_ ? *Old_ : Values_;
    auto It = From.find(Key);
    if (It == From.end() || ReportsEmpty)
      return makeError(ErrorKind::NotFound, "no key");
    return It->second;
  }

  void poll(const StoreWatch &Watch, TimePoint End,
            const Completion<StoreValue> &Done) {
    Result<StoreValue> Value = read(Watch.Key);
    bool Waits = Value && Value->Version <= Watch.After && Time_.now() < End;
    if (!Waits)
      return Time_.after(Delay, [=] { Done(Value); });
    Time_.after(std::chrono::milliseconds(50),
                [=, this] { poll(Watch, End, Done); });
  }

  Result<StoreVersion> write(const StorePut &Put) {
    bool IsHead = Put.Key.str() == "config/head";
    if (IsHead)
      BeforeHeadWrite();
    if (Down)
      return unreachable();
    StoreValue &Value = Values_[Put.Key];
    if (Value.Version != Put.Expected)
      return makeError(ErrorKind::StoreConflict, "another version");
    Value = {Put.Data, Value.Version + 1};
    if (IsHead && LosesHeadReply())
      return makeError(ErrorKind::StoreOutcomeUnknown, "reply lost");
    return Value.Version;
  }

  VirtualTime &Time_;
  Values Values_;
  std::optional<Values> Old_;
};

} // namespace celerybeam::tests

#endif
