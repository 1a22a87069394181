#ifndef CELERYBEAM_GATEWAY_INTERNAL_CALLERCONNECTION_H
#define CELERYBEAM_GATEWAY_INTERNAL_CALLERCONNECTION_H

#include <chrono>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include <microhttpd.h>

#include "gateway/errorresponse.h"
#include "gateway/internal/callerroutes.h"
#include "gateway/internal/exchange.h"
#include "gateway/internal/headchecks.h"
#include "gateway/internal/servercontext.h"

namespace celerybeam {

/// One connection of a caller and its requests, which are handled one after
/// another.
///
/// The event loop calls beginRequest, handle and endRequest on the
/// connection's thread; tick, peerClosed and abort come from other threads.
class CallerConnection {
public:
  using Clock = Exchange::Clock;

  /// \param Refusal  set when the connection is above a limit: each request
  ///                 on it gets this failure.
  CallerConnection(ServerContext &Context, MHD_Connection *Raw, int Socket,
                   std::string Ip, std::optional<Error> Refusal);
  ~CallerConnection();

  /// Starts a request when its request line has arrived.
  void beginRequest(const char *Target);

  /// Called once with the head, then for each part of the body, then when the
  /// body is complete and each time the connection has been resumed.
  MHD_Result handle(const char *Method, const char *Data, std::size_t *Size);

  void endRequest(MHD_RequestTerminationCode Code);

  /// Closes the connection when the caller exceeds a time limit; sends
  /// keep-alive lines on idle streams.
  void tick(Clock::time_point Now);

  /// Handles that the caller has closed its side.
  void peerClosed();

  /// Ends a request in flight without completing its response and closes the
  /// connection.
  void abort();

  /// Must be called before the socket is closed; it is not used afterwards.
  /// \returns true when unread bytes of a refused request may follow.
  bool releaseSocket();

  int socket() const { return Socket_; }
  const std::string &ip() const { return Ip_; }

private:
  enum class Phase { AwaitingHead, ReadingBody, Responding };

  MHD_Result onHead(const char *Method);
  MHD_Result onBody(const char *Data, std::size_t *Size);
  MHD_Result onBodyComplete();
  MHD_Result accept(CallerTarget Target);
  MHD_Result acceptRequest();
  MHD_Result acceptBookingStatus();
  MHD_Result respondFromHead(CallerTarget Target);
  MHD_Result refuse(const Error &Failure);
  MHD_Result queue(CallerResponse Response);
  MHD_Result queueNow(const CallerResponse &Response);
  MHD_Result continueResponse();
  MHD_Result queueExchange(const ResponseHead &Head);
  CallerResponse wrongRegion(const Error &Failure) const;
  Result<void> checkHead(const char *Method);
  void readHeaders();
  void markInFlight(Phase Next, std::optional<ExchangeHooks> Hooks);
  ExchangeHooks exchangeHooks() const;
  std::shared_ptr<Exchange> exchange() const;
  void startBookingStatus();

  ServerContext &Context_;
  MHD_Connection *const Raw_;
  const int Socket_;
  const std::string Ip_;
  const std::optional<Error> Refusal_;

  // State of the current request; used on the connection's thread only.
  RequestHead Head_;
  BodyFraming Framing_;
  Result<void> TargetCheck_;
  CallerTarget Target_ = CallerTarget::Request;
  std::optional<AcceptedHead> Accepted_;
  std::optional<Uuid7> BookingKey_;
  std::optional<CallerResponse> Deferred_;
  CustomerId Customer_;
  std::string Body_;
  bool HeadSeen_ = false;
  /// Number of body bytes above the limit; they are discarded.
  std::size_t Discarded_ = 0;
  bool InFlight_ = false;
  bool Started_ = false;
  bool Queued_ = false;

  mutable std::mutex Mutex_;
  Phase Phase_ = Phase::AwaitingHead;
  Clock::time_point PhaseSince_ = Clock::now();
  std::shared_ptr<Exchange> Exchange_;
  bool PeerClosed_ = false;
  bool SocketOpen_ = true;
  bool Linger_ = false;
};

} // namespace celerybeam

#endif
