#ifndef CELERYBEAM_REVIEW_FLEET_H
#define CELERYBEAM_REVIEW_FLEET_H

#include <memory>

#include <sys/types.h>

#include "store.h"

namespace celerybeam::review {

/// A runner of one service. It answers a path that ends in a number with a body
/// of so many bytes, after a short time of work; a model runner answers with a
/// stream of so many events. A request whose id ends with FailingId runs and is
/// answered with 500.
class Runner {
public:
  Runner(std::string Id, std::string Address, std::string Service,
         std::string Zone, bool Streams);

  const std::string &id() const { return Id_; }
  const std::string &service() const { return Service_; }
  /// What it writes to the store with each check-in.
  nlohmann::json entry();
  /// How often it has run a request.
  unsigned runsOf(const std::string &Request) const;

  static constexpr std::string_view FailingId = "-fails";

private:
  void serve(Connection &Peer);
  bool answer(Connection &Peer, const Message &Request);
  bool run(Connection &Peer, const Message &Request, unsigned Running);
  static bool stream(Connection &Peer, const std::string &Head,
                     unsigned Events);

  std::string Id_;
  std::string Address_;
  std::string Service_;
  std::string Zone_;
  bool Streams_;
  mutable std::mutex Mutex_;
  std::map<std::string, unsigned> Runs_;
  unsigned Running_ = 0;
  unsigned Sequence_ = 0;
  std::int64_t Born_;
  std::unique_ptr<Listener> Listener_;
};

/// One process of the gateway, started with the command of the deploy file.
class Gateway {
public:
  struct Options {
    std::string Name;
    std::string Ip;
    std::string Zone;
    std::string StoreAddress;
    std::vector<std::string> Seeds;
    unsigned MemoryMb = 182;
    double CpuShare = 0.5;
  };

  /// Writes its settings.
  Gateway(const Options &O, const std::string &Folder);
  ~Gateway();
  Gateway(const Gateway &) = delete;
  Gateway &operator=(const Gateway &) = delete;

  std::string callerAddress() const;
  bool isReady() const;
  /// Whether it still runs.
  bool runs();
  /// The memory that it occupies, in MB of a million bytes; 0 once it has
  /// ended.
  double memoryMb();
  void signal(int Number);
  void start();

private:
  Options Options_;
  std::string Settings_;
  std::string Log_;
  pid_t Process_ = -1;
};

/// A small deployment: the store, three regions with one gateway and one runner
/// each, and a route whose requests may run once. With model runners, which
/// stand in the first region, also a route of streams that may not be resumed.
class Deployment {
public:
  struct Options {
    unsigned MemoryMb = 182;
    unsigned TimeoutMs = 12000;
    unsigned IdleTimeoutMs = 15000;
    unsigned ModelRunners = 0;
    /// Gateways in the first region; its first one has the lowest address and
    /// is the largest.
    unsigned Gateways = 1;
    /// Runners of bookings in the first region.
    unsigned Runners = 1;
    /// Whether that region also has a runner of DeskService.
    bool HasDesk = false;
  };

  Deployment(const Options &O, const std::string &Program);
  ~Deployment();

  /// Waits until all gateways are ready and know each other.
  bool start();
  Gateway &gateway(std::size_t Index) { return *Gateways_.at(Index); }
  bool allRun();
  /// Writes a version with further routes; the store acknowledges it at once.
  void writeConfig(unsigned Version, const nlohmann::json &MoreRoutes);
  nlohmann::json route(const char *Name, const char *Path, const char *Kind,
                       unsigned MaxAttempts, const char *Service) const;
  unsigned runsOf(const std::string &Request) const;
  /// The services at which a request has run, once for each run.
  std::string servicesOf(const std::string &Request) const;

  static constexpr const char *BookingService = "school-api";
  static constexpr const char *DeskService = "room-desk";
  static constexpr const char *ModelService = "planner-llm";

  static constexpr const char *Host = "shop.example";
  static constexpr const char *Path = "/book/";
  static constexpr const char *StreamPath = "/plan/";

private:
  void addRunner(const char *Zone, const char *Service);
  nlohmann::json config() const;
  void keepCheckingIn();

  Options Options_;
  std::string Folder_;
  std::unique_ptr<Store> Store_;
  std::vector<std::unique_ptr<Runner>> Runners_;
  std::atomic<bool> Stops_ = false;
  std::thread CheckIns_;
  std::vector<std::unique_ptr<Gateway>> Gateways_;
};

/// A request for an answer of so many bytes.
std::string requestText(const std::string &Id, std::size_t AnswerBytes,
                        unsigned TimeLeftMs);

/// Whether the disruption is to be made: false with TROUBLE=0.
bool hasTrouble();

} // namespace celerybeam::review

#endif
