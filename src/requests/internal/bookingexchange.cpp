#include "requests/internal/bookingexchange.h"

#include <utility>

namespace celerybeam::detail {

namespace {

constexpr std::chrono::milliseconds BookingRetryAfter(1000);

// Runs one booking. The pending completions keep the object alive.
class BookingExchange : public std::enable_shared_from_this<BookingExchange> {
public:
  BookingExchange(const RequestServices &Services, ExchangeStart Start,
                  Uuid7 Key, ResponseHooks Response, Task OnDone)
      : Services_(Services), Start_(std::move(Start)), Key_(std::move(Key)),
        Response_(std::move(Response)), OnDone_(std::move(OnDone)) {}

  void begin() {
    AdmissionRequest Submission;
    Submission.Request = Start_.Id;
    Submission.Route = Start_.Route.Name;
    Submission.Pool = Start_.Pool.Name;
    Submission.Customer = Start_.Customer;
    Submission.Class = RequestClass::Short;
    Submission.Deadline = Start_.Deadline;
    Services_.Admission->submit(
        std::move(Submission),
        [Self = shared_from_this()](const Result<void> &Admitted) {
          Self->onAdmitted(Admitted);
        });
  }

private:
  void onAdmitted(const Result<void> &Admitted) {
    if (!Admitted) {
      finish(tl::unexpected(withOutcome(Admitted.error())));
      return;
    }
    Admitted_ = true;
    AdmittedAt_ = Services_.Time.Now();
    Services_.Bookings->book(makeOrder(), [Self = shared_from_this()](
                                              Result<BookingOutcome> Outcome) {
      Self->onOutcome(std::move(Outcome));
    });
  }

  BookingOrder makeOrder() const {
    BookingOrder Order{
        Start_.Id,        Key_, Start_.Customer, Start_.Route.Name,
        Start_.Pool.Name, {},   Start_.Body,     Start_.Deadline};
    Order.Head.Method = Start_.Head.Method;
    Order.Head.Path = Start_.EndpointPath;
    Order.Head.Query = Start_.Head.Query;
    std::string_view Type = findHeader(Start_.Head.Headers, "content-type");
    if (!Type.empty())
      Order.Head.Headers.push_back({"content-type", std::string(Type)});
    return Order;
  }

  void onOutcome(Result<BookingOutcome> Outcome) {
    if (!Outcome) {
      finish(tl::unexpected(withOutcome(Outcome.error())));
      return;
    }
    Result<ResponseHead> Head = bookingHead(*Outcome);
    if (!Head) {
      finish(tl::unexpected(Head.error()));
      return;
    }
    Response_.Head(std::move(*Head));
    Response_.Chunk(std::move(Outcome->Response));
    finish({});
  }

  void finish(const Result<void> &Outcome) {
    if (Admitted_)
      Services_.Admission->finished(Start_.Id, 0);
    Response_.End(Outcome);
    if (Services_.Events.Ended)
      Services_.Events.Ended(summarize(Outcome));
    OnDone_();
  }

  RequestSummary summarize(const Result<void> &Outcome) const {
    RequestSummary S;
    S.Request = Start_.Id;
    S.Customer = Start_.Customer;
    S.Route = Start_.Route.Name;
    if (!Outcome)
      S.Failure = Outcome.error().Kind;
    TimePoint Now = Services_.Time.Now();
    S.QueueWait = (Admitted_ ? AdmittedAt_ : Now) - Start_.ReceivedAt;
    S.Total = Now - Start_.ReceivedAt;
    S.Attempts = Admitted_ ? 1 : 0;
    return S;
  }

  const RequestServices &Services_;
  const ExchangeStart Start_;
  const Uuid7 Key_;
  ResponseHooks Response_;
  Task OnDone_;
  bool Admitted_ = false;
  TimePoint AdmittedAt_{};
};

} // namespace

void runBooking(const RequestServices &Services, ExchangeStart Start,
                const Uuid7 &Key, ResponseHooks Response, Task OnDone) {
  std::make_shared<BookingExchange>(Services, std::move(Start), Key,
                                    std::move(Response), std::move(OnDone))
      ->begin();
}

Error withOutcome(Error Why) {
  if (Why.Kind == ErrorKind::OutcomeUnknown)
    Why.Outcome = "unknown";
  return Why;
}

Result<ResponseHead> bookingHead(const BookingOutcome &Outcome) {
  Error Why;
  Why.RetryAfter = BookingRetryAfter;
  switch (Outcome.State) {
  case BookingState::Done: {
    ResponseHead Head;
    Head.Status = Outcome.Status;
    Head.Headers.push_back({"celerybeam-outcome", "done"});
    if (!Outcome.ContentType.empty())
      Head.Headers.push_back({"content-type", Outcome.ContentType});
    return Head;
  }
  case BookingState::NotRun:
    Why.Kind = ErrorKind::NoEndpoint;
    Why.Outcome = "not-run";
    Why.Message = "the booking did not run and will not under this key; send "
                  "it again with a new key";
    return tl::unexpected(Why);
  case BookingState::Running:
  case BookingState::Unknown:
    Why.Kind = ErrorKind::OutcomeUnknown;
    Why.Outcome = "unknown";
    Why.Message = "the booking may have run; ask GET /v1/bookings/<key>, and "
                  "do not send it again under another key";
    return tl::unexpected(Why);
  }
  return tl::unexpected(Why);
}

} // namespace celerybeam::detail
