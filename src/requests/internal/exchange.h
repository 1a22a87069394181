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

/// A checked request that is about to run.
struct ExchangeStart {
  RequestId Id;
  RequestKind Kind = RequestKind::Chat;
  RequestHead Head;
  /// Path that the endpoint gets.
  std::string EndpointPath;
  std::shared_ptr<const std::string> Body;
  CustomerId Customer;
  RouteRow Route;
  PoolRow Pool;
  /// Empty fields for plain services.
  Prompt Asked;
  RequestClass Class = RequestClass::Short;
  TimePoint ReceivedAt{};
  TimePoint Deadline{};
  /// First token that the caller still needs.
  std::uint64_t ResumeFrom = 0;
  /// Set when another region sent the request here: one attempt, served here.
  bool Forwarded = false;
};

/// One request of a caller, from admission to the end of its answer.
///
/// Its state is touched only on its strand; events may come from any thread.
class Exchange : public std::enable_shared_from_this<Exchange> {
public:
  Exchange(const RequestServices &Services, ForwardClient &Forwards,
           ExchangeStart Start, ResponseHooks Answer,
           std::function<void()> OnDone);

  void begin();
  void callerReady();
  void callerGone();
  /// Looks for stalled attempts and starts a hedge when it is due.
  void tick();

  /// Attempts that may have done work and gave no token.
  static constexpr unsigned MaxAttempts = 4;
  /// Attempts in all, those that found nobody included.
  static constexpr unsigned MaxContacts = 16;

private:
  struct Attempt {
    AttemptId Id;
    EndpointId Endpoint;
    /// Set when another region serves the attempt.
    HostId RemoteHost;
    RegionId RemoteRegion;
    TimePoint StartedAt{};
    TimePoint LastProgress{};
    TimePoint FirstTokenAt{};
    /// Index of the first token that the attempt was asked for.
    std::uint64_t FirstIndex = 0;
    bool FirstToken = false;
    ReplyCollector Reply;

    bool remote() const { return !RemoteHost.empty(); }
  };

  void chooseSide();
  void askAdmission(const std::optional<SendAway> &Away);
  void onAdmitted(const Result<void> &Admitted,
                  const std::optional<SendAway> &Away);
  void startAttempt();
  void startHere(const ServeHere &Choice);
  void startAway(const SendAway &Choice);
  Attempt &addAttempt();
  RouteQuery makeQuery() const;
  EndpointCall makeCall(const Attempt &A) const;
  messages::ForwardRequest makeForward(const Attempt &A) const;
  CallObserver observe(AttemptNumber Number);

  void onHead(AttemptNumber Number, ResponseHead Head);
  void onData(AttemptNumber Number, const std::string &Data);
  void onEnd(AttemptNumber Number, const Result<void> &Outcome);
  void noteProgress(Attempt &A);
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
  bool givesUpSlow(const Attempt &A, TimePoint Now);
  void maybeHedge();

  void finish(const Result<void> &Outcome);
  RequestSummary summarize(const Result<void> &Outcome) const;
  template <typename Function> void post(Function Work);

  const RequestServices &Services_;
  ForwardClient &Forwards_;
  const ExchangeStart Start_;
  const Fingerprint Print_;
  ResponseHooks Answer_;
  std::function<void()> OnDone_;

  Strand Strand_;
  std::mutex PauseMutex_;
  std::atomic<std::uint64_t> ReadyCount_{0};
  std::atomic<bool> CallerPaused_{false};

  bool Finished_ = false;
  bool Admitted_ = false;
  bool HeadSent_ = false;
  /// Whether the answer that the caller gets has numbered tokens.
  bool AnswerIsStream_ = false;
  bool MayLeaveRegion_ = false;
  bool Hedged_ = false;
  /// Whether admission has given a place in this region's pool.
  bool HasPlaceHere_ = false;
  /// Whether the next retry's token has been taken.
  bool RetryPaid_ = false;
  unsigned WorkAttempts_ = 0;
  std::map<AttemptNumber, Attempt> Attempts_;
  std::vector<EndpointId> Excluded_;
  AttemptNumber LastAttempt_ = 0;
  std::optional<AttemptNumber> Winner_;
  StreamAssembler Assembler_;
  TimePoint AdmittedAt_{};
  TimePoint FirstTokenAt_{};
  bool SentAway_ = false;
  EndpointId LastEndpoint_;
};

} // namespace celerybeam::detail

#endif
