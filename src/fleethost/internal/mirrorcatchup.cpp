#include "fleethost/internal/mirrorcatchup.h"

#include <algorithm>
#include <utility>

namespace celerybeam::detail {

namespace {

/// Whether a host that has not handed over its copy is not cut off from this
/// one.
bool isReached(const Result<StoreSnapshot> &Got) {
  return !Got && (Got.error().Kind == ErrorKind::StreamStalled ||
                  Got.error().Kind == ErrorKind::Overloaded);
}

} // namespace

MirrorCatchUp::MirrorCatchUp(Runtime R, SourceRanking &Sources,
                             StoreMirror &Mirror, MirrorPart Part, Hooks H)
    : Runtime_(std::move(R)), Sources_(Sources), Mirror_(Mirror), Part_(Part),
      Hooks_(std::move(H)) {}

void MirrorCatchUp::fetch(StoreMirrorHooks::Answer Then) {
  Pending_ = std::move(Then);
  // Not on the stack of the mirror, which must not be answered on it.
  Runtime_.After(Duration::zero(), [Weak = weak_from_this()] {
    if (auto Self = Weak.lock())
      Self->ask();
  });
}

void MirrorCatchUp::fetchFor(const std::string &Sender) {
  if (!RequestNeed_ || Mirror_.lastChange() > RequestNeed_->After)
    RequestNeed_ = RequestNeed{Runtime_.Now(), Mirror_.lastChange()};
  ask(true, Sender);
}

std::optional<TimePoint> MirrorCatchUp::behindSince() const {
  auto Since = Mirror_.behindSince();
  if (!RequestNeed_ || Mirror_.lastChange() > RequestNeed_->After)
    return Since;
  return std::min(Since.value_or(RequestNeed_->Since), RequestNeed_->Since);
}

bool MirrorCatchUp::isOffered() const {
  return Mirror_.behindSince() && Sources_.isOffered(Part_, Mirror_.revision());
}

bool MirrorCatchUp::awaitsNearReport() const {
  auto Since = Mirror_.behindSince();
  return Since && Runtime_.Now() - *Since < FarDelay && Sources_.hasNear() &&
         !Sources_.isReportedNear(Part_, Mirror_.revision());
}

void MirrorCatchUp::ask(bool ForRequest, const std::string &Sender) {
  if (!Pending_ && !ForRequest)
    return;
  TimePoint Now = Runtime_.Now();
  if (!isReceiving() && Plan_.isFull())
    replaceSlowest();
  if (isReceiving() || !Plan_.mayAsk(Now) ||
      (!ForRequest && awaitsNearReport()))
    return askLater();
  // Once the reports of this region are in, a host without the changes would
  // only keep those of other regions from being asked.
  auto Since = Mirror_.behindSince();
  bool AlsoLacking = !Since || Now - *Since < FarDelay;
  RankedSources Ranked = Sources_.newerThan(Part_, Mirror_.revision(),
                                            Plan_.asking(), AlsoLacking);
  auto From =
      Plan_.next(Now, {std::move(Ranked.Near), std::move(Ranked.Far), Sender});
  if (!From && Plan_.asking().empty() && AlsoLacking)
    return finish(
        makeError(ErrorKind::NoEndpoint,
                  "No other host hands over its copy now; the next report of "
                  "one that knows more starts the search again."));
  if (!From)
    return askLater();
  ++Asked_;
  StoreRevision Expected = Sources_.reportedBy(*From, Part_);
  Hooks_.Fetch(*From, Mirror_.revision(),
               [Weak = weak_from_this(), Ip = *From,
                Expected](const Result<StoreSnapshot> &Got) {
                 if (auto Self = Weak.lock())
                   Self->answered(Ip, Expected, Got);
               });
  askLater();
}

void MirrorCatchUp::replaceSlowest() {
  TimePoint Now = Runtime_.Now();
  if (!Hooks_.EndSlowest || Now - ReplacedAt_ < ReplaceInterval)
    return;
  ReplacedAt_ = Now;
  Hooks_.EndSlowest();
}

void MirrorCatchUp::askLater() {
  if (!Pending_ || std::exchange(AskScheduled_, true))
    return;
  Runtime_.After(TableFetchPlan::SecondSourceDelay, [Weak = weak_from_this()] {
    auto Self = Weak.lock();
    if (!Self)
      return;
    Self->AskScheduled_ = false;
    // Another call may have brought the changes.
    if (!Self->Mirror_.behindSince())
      return Self->finish(
          makeError(ErrorKind::NoEndpoint, "The changes came from elsewhere."));
    Self->ask();
  });
}

void MirrorCatchUp::answered(const std::string &Ip, StoreRevision Expected,
                             const Result<StoreSnapshot> &Got) {
  if (!Got && Got.error().Kind == ErrorKind::Cancelled) {
    Plan_.withdrawn(Ip);
    return askLater();
  }
  StoreRevision Before = Mirror_.lastChange();
  if (Got)
    Mirror_.applyFromPeer(*Got);
  // The revision alone also grows with changes of other prefixes.
  bool Newer = Mirror_.lastChange() > Before;
  bool Failed = !Got || Got->AsOf < Expected;
  if (Failed) {
    Sources_.recordFailure(Ip, isReached(Got));
    report(CatchUpEvent::Kind::SourceFailed, Ip,
           Got ? "older copy than reported" : Got.error().Message);
  } else {
    Sources_.recordSuccess(Ip);
  }
  Plan_.ended(Ip, Newer);
  if (Newer) {
    if (Hooks_.EndAll)
      Hooks_.EndAll();
    return finish(Got);
  }
  // A host that has nothing newer yet may have it in a moment.
  if (!Failed)
    return askLater();
  ask();
}

void MirrorCatchUp::finish(Result<StoreSnapshot> Got) {
  if (auto Then = std::exchange(Pending_, nullptr))
    Then(std::move(Got));
}

void MirrorCatchUp::tick() {
  auto Since = behindSince();
  if (Since != BehindSince_) {
    if (std::exchange(Reported_, false))
      report(CatchUpEvent::Kind::CaughtUp);
    BehindSince_ = Since;
    ReportedSources_.clear();
    Asked_ = 0;
    StoreReadInterval_ = StoreReadDelay;
    ReadsStoreAt_ = Since.value_or(Runtime_.Now()) + StoreReadDelay + spread();
  }
  if (Since && Runtime_.Now() >= ReadsStoreAt_ && !ReadingStore_ &&
      !isReceiving())
    readStore();
}

Duration MirrorCatchUp::spread() const {
  return Duration(static_cast<Duration::rep>(
      Runtime_.Random() % static_cast<std::uint64_t>(StoreReadDelay.count())));
}

void MirrorCatchUp::readStore() {
  StoreReadInterval_ = std::min(2 * StoreReadInterval_, LongestStoreReadDelay);
  ReadsStoreAt_ = Runtime_.Now() + StoreReadInterval_;
  ReadingStore_ = true;
  report(CatchUpEvent::Kind::StoreAsked);
  Mirror_.readChanges([Weak = weak_from_this()](const Result<void> &Done) {
    auto Self = Weak.lock();
    if (!Self)
      return;
    Self->ReadingStore_ = false;
    if (!Done)
      return Self->report(CatchUpEvent::Kind::StoreFailed, "",
                          Done.error().Message);
    Self->RequestNeed_.reset();
  });
}

void MirrorCatchUp::report(CatchUpEvent::Kind What, const std::string &From,
                           const std::string &Why) {
  if (What == CatchUpEvent::Kind::SourceFailed) {
    bool Known = ReportedSources_.contains(From);
    if (Known || ReportedSources_.size() >= MaxReportedSources)
      return;
    ReportedSources_.insert(From);
  }
  Reported_ = What != CatchUpEvent::Kind::CaughtUp;
  // A source may fail before the first tick of a lag.
  auto Since = BehindSince_ ? BehindSince_ : behindSince();
  if (Hooks_.Report)
    Hooks_.Report({What, Part_, From, Why,
                   Since ? Runtime_.Now() - *Since : Duration::zero(), Asked_,
                   Mirror_.revision(), Mirror_.newestReported()});
}

} // namespace celerybeam::detail
