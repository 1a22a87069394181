#ifndef CELERYBEAM_REQUESTS_INTERNAL_EXCHANGE_H
#define CELERYBEAM_REQUESTS_INTERNAL_EXCHANGE_H

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "framework/strand.h"
#include "requests/internal/forwardclient.h"
#include "requests/internal/replycollector.h"
#include "requests/prompt.h"
#include "requests/requesttypes.h"

namespace celerybeam::detail {

/// The input of an Exchange: a checked request with its route and pool.
struct ExchangeStart {
  RequestId Id;
  RequestKind Kind = RequestKind::Chat;
  RequestHead Head;
  /// Path of the request to the endpoint.
  std::string EndpointPath;
  std::shared_ptr<const std::string> Body;
  CustomerId Customer;
  RouteRow Route;
  PoolRow Pool;
  /// Its fields are empty for plain services.
  Prompt ParsedPrompt;
  RequestClass Class = RequestClass::Short;
  TimePoint ReceivedAt{};
  TimePoint Deadline{};
  /// Index of the first token that the caller still needs.
  std::uint64_t ResumeFrom = 0;
  /// Set when another region forwarded the request to this one. It then gets
  /// a single attempt, on an endpoint of this region.
  bool Forwarded = false;
};

/// Runs one request of a caller from admission to the end of the response,
/// with retries, hedging and resumed streams.
///
/// State is accessed only on the strand; events may come from any thread.
class Exchange : public std::enable_shared_from_this<Exchange> {
public:
  Exchange(const RequestServices &Services, ForwardClient &Forwards,
           ExchangeStart Start, ResponseHooks Response,
           std::function<void()> OnDone);

  void begin();
  void callerReady();
  void callerGone();
  /// Cancels stalled attempts, which are then retried if that is allowed, and
  /// starts a hedge when one is due.
  void tick();

  /// Limit of attempts that may have done work but delivered no token.
  static constexpr unsigned MaxAttempts = 4;
  /// Limit of all attempts, including those that did not reach an endpoint.
  static constexpr unsigned MaxContacts = 16;

private:
  struct Attempt {
    AttemptId Id;
    EndpointId Endpoint;
    /// RemoteHost and RemoteRegion are set when another region serves the
    /// attempt.
    HostId RemoteHost;
    RegionId RemoteRegion;
    TimePoint StartedAt{};
    TimePoint LastProgress{};
    TimePoint FirstTokenAt{};
    /// Index of the first token requested from this attempt.
    std::uint64_t FirstIndex = 0;
    bool FirstToken = false;
    ReplyCollector Reply;

    bool remote() const { return !RemoteHost.empty(); }
  };

  void chooseRegion();
  void requestAdmission(const std::optional<ForwardToRegion> &Remote);
  void onAdmitted(const Result<void> &Admitted,
                  const std::optional<ForwardToRegion> &Remote);
  void startAttempt();
  void startLocal(const ServeLocally &Choice);
  void startRemote(const ForwardToRegion &Choice);
  Attempt &addAttempt();
  RouteQuery makeQuery() const;
  EndpointCall makeCall(const Attempt &A) const;
  messages::ForwardRequest makeForward(const Attempt &A) const;
  CallObserver observe(AttemptNumber Number);

  void onHead(AttemptNumber Number, ResponseHead Head);
  void onData(AttemptNumber Number, const std::string &Data);
  void onEnd(AttemptNumber Number, const Result<void> &Outcome);
  void recordProgress(Attempt &A);
  Duration progressLimit(const Attempt &A) const;
  std::uint32_t tokensDelivered() const;
  void deliver(Attempt &A, std::string Bytes);
  void chooseWinner(AttemptNumber Number);
  void attemptSucceeded(Attempt &A);
  void attemptFailed(AttemptNumber Number, const Error &Why);
  bool mayRetry(const Attempt &Failed, const Error &Why);
  void reportEnd(const Attempt &A, const Result<void> &Outcome);
  void cancelAttempt(const Attempt &A);
  void checkStalls();
  bool shouldAbandonSlow(const Attempt &A, TimePoint Now);
  void maybeHedge();

  void finish(const Result<void> &Outcome);
  RequestSummary summarize(const Result<void> &Outcome) const;
  template <typename Function> void post(Function Work);

  const RequestServices &Services_;
  ForwardClient &Forwards_;
  const ExchangeStart Start_;
  const Fingerprint Fingerprint_;
  ResponseHooks Response_;
  std::function<void()> OnDone_;

  Strand Strand_;
  std::mutex PauseMutex_;
  std::atomic<std::uint64_t> ReadyCount_{0};
  std::atomic<bool> CallerPaused_{false};

  bool Finished_ = false;
  bool Admitted_ = false;
  bool HeadSent_ = false;
  /// Whether the response to the caller is a stream with numbered tokens.
  bool ResponseIsStream_ = false;
  bool MayLeaveRegion_ = false;
  bool Hedged_ = false;
  /// Whether admission has granted a slot in this region's pool.
  bool HasLocalSlot_ = false;
  /// Whether the retry budget has already been charged for the next retry.
  bool RetryCharged_ = false;
  unsigned FailedWorkAttempts_ = 0;
  std::map<AttemptNumber, Attempt> Attempts_;
  std::vector<EndpointId> Excluded_;
  AttemptNumber LastAttempt_ = 0;
  std::optional<AttemptNumber> Winner_;
  StreamAssembler Assembler_;
  TimePoint AdmittedAt_{};
  TimePoint FirstTokenAt_{};
  bool ForwardedOut_ = false;
  EndpointId LastEndpoint_;
};

} // namespace celerybeam::detail

#endif
