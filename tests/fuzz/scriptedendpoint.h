#ifndef CELERYBEAM_TESTS_FUZZ_SCRIPTEDENDPOINT_H
#define CELERYBEAM_TESTS_FUZZ_SCRIPTEDENDPOINT_H

#include <deque>
#include <functional>
#include <list>
#include <string>

#include "wire.h"

namespace celerybeam::fuzzing {

/// What an endpoint does with the next whole request that comes.
struct AnswerPlan {
  enum class Way : std::uint8_t {
    Good,
    Hold,
    Reset,
    Close,
    NotRun,
    Failure,
    Events,
    Half,
    Raw,
    Long,
    OfAnother,
    GoodThenClose,
    Last = GoodThenClose
  };
  Way How = Way::Good;
  /// The bytes of Raw.
  std::string Bytes;
};

/// A whole request as an endpoint has got it.
struct ArrivedRequest {
  std::string Id;
  std::string Target;
  std::string Body;
  /// What the endpoint does with it.
  AnswerPlan Plan;
};

/// Endpoints of a pool behind one address, played by the script.
class ScriptedEndpoint {
public:
  using ArrivedHook = std::function<void(const ArrivedRequest &)>;

  ScriptedEndpoint(std::deque<AnswerPlan> &Plans, ArrivedHook Arrived)
      : Plans_(Plans), Arrived_(std::move(Arrived)) {}

  const std::string &address() const { return Listener_.address(); }

  /// Takes what has come. \return whether anything has.
  bool play();
  /// Sends what was held back of the oldest answer. \return whether there was.
  bool release();

private:
  struct Connection {
    explicit Connection(Wire W) : Line(std::move(W)) {}
    Wire Line;
    std::string In;
    /// What is held back, if IsHeld.
    std::string Held;
    bool IsHeld = false;
  };

  void serve(Connection &C);
  void answer(Connection &C, const ArrivedRequest &Request);

  WireListener Listener_;
  std::deque<AnswerPlan> &Plans_;
  ArrivedHook Arrived_;
  std::list<Connection> Connections_;
};

} // namespace celerybeam::fuzzing

#endif
