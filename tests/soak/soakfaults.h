#ifndef CELERYBEAM_TESTS_SOAK_SOAKFAULTS_H
#define CELERYBEAM_TESTS_SOAK_SOAKFAULTS_H

#include <functional>
#include <random>
#include <string>
#include <vector>

#include "soak/soakworld.h"

namespace celerybeam::testing {

/// Injects faults at moments and in an order that follow from the seed alone:
/// signals to processes, harm to connections, trouble of the store, changes by
/// the operator; one after the other and several at once.
class SoakFaults {
public:
  SoakFaults(SoakWorld &World, std::uint64_t Seed);

  /// Begins; no fault begins after this time, and each ends by itself.
  void start(Duration Length);
  /// What was done, in order.
  const std::vector<std::string> &done() const { return Done_; }

  static constexpr Duration LongestGap = std::chrono::milliseconds(1500);
  static constexpr Duration LongestFault = std::chrono::milliseconds(3500);
  /// A pause exceeds the time-out that it is drawn for by less than this.
  static constexpr Duration MostBeyond = std::chrono::milliseconds(600);
  /// How long all hosts miss the store once: removed keys end meanwhile.
  static constexpr Duration KeyOutage =
      SoakJudge::KeyLifetime + std::chrono::seconds(3);
  static constexpr Duration LongestPause =
      SoakWorld::WholeTime + MostBeyond + FaultProxy::SynRetry;

private:
  struct Kind {
    const char *Name;
    void (SoakFaults::*Inject)();
  };

  void next();
  void later(Duration After, std::function<void()> Work);
  Duration draw(Duration Most) { return draw(Most, Random_); }
  static Duration draw(Duration Most, std::mt19937_64 &Random);
  SoakHost &anyHost();
  SoakEndpoint &anyEndpoint();
  void note(const std::string &What);

  void killHost();
  void killAllHosts();
  void stopHost();
  void freezeHost();
  void reloadHost();
  void killEndpoint();
  void freezeEndpoint();
  void drainEndpoint();
  void harmWayToEndpoint();
  void breakWaysToEndpoint();
  void harmWayToStore();
  void stopStore();
  void forgetHistory();
  void changeTables();
  void evacuate();

  void changeCustomers();
  void cutOffStore();
  void pauseSeries();
  void hangConnects(Duration Span);
  void crashEndpoints();

  SoakWorld &World_;
  std::mt19937_64 Random_;
  /// Of the series of pauses, which leaves the order of the others as it is.
  std::mt19937_64 PauseRandom_;
  std::mt19937_64 CustomerRandom_;
  Runtime Time_;
  TimePoint Until_{};
  std::vector<std::string> Done_;
};

} // namespace celerybeam::testing

#endif
