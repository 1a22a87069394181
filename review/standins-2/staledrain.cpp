// A machine is stopped as planned and started again, three times. While it
// finishes its streams, a version of the config makes bookings unsafe. Do the
// other machines, which are in touch, take over the version in time? Usage:
// staledrain RECORD

#include <csignal>
#include <iostream>
#include <random>
#include <set>

#include "fleet.h"
#include "record.h"

namespace {

using namespace celerybeam::review;

constexpr unsigned Rounds = 5;
constexpr unsigned VersionStep = 10;
constexpr unsigned Gateways = 5;
constexpr unsigned Streams = 3;
constexpr unsigned Events = 34;
constexpr unsigned TimeLeftMs = 10000;
constexpr const char *SafePath = "/room/";
constexpr const char *UnsafePath = "/room/book/";
constexpr std::size_t AnswerBytes = 800;
/// configDeadlineMs of the site.
constexpr Millis ConfigDeadline(5000);
/// From SIGTERM to the acknowledgement of the new version.
constexpr Millis BeforeConfig(1700);
constexpr Millis AfterConfig(8500);
constexpr Millis BetweenBookings(50);
constexpr Millis Patience(6000);
/// A runner answers one booking in so many with a 500.
constexpr unsigned FailingOneIn = 8;

std::string post(const std::string &Path, const std::string &Id,
                 std::size_t Number) {
  return "POST " + Path + std::to_string(Number) +
         " HTTP/1.1\r\nHost: " + Deployment::Host + "\r\nX-Attempt-Id: " + Id +
         "\r\nX-Deadline-Ms: " + std::to_string(TimeLeftMs) +
         "\r\nContent-Length: 4\r\n\r\nbook";
}

class Test {
public:
  explicit Test(const std::string &RecordPath) : Record_(RecordPath) {}

  int run() {
    Deployment::Options O;
    O.TimeoutMs = TimeLeftMs;
    O.ModelRunners = 2;
    O.Gateways = Gateways;
    O.Runners = 2;
    O.HasDesk = true;
    Deployment World(O, "staledrain");
    World.writeConfig(VersionStep, versionWith(World, false));
    if (!World.start())
      return NotRun;
    for (unsigned Round = 1; Round <= Rounds; ++Round) {
      playRound(World, Round);
      if (Round < Rounds && !prepareRound(World, Round))
        return NotRun;
    }
    return judge(World);
  }

private:
  struct Booking {
    std::string Id;
    unsigned Gateway = 0;
    Millis AfterAcknowledgement{};
    std::string Status;
  };

  /// The safe route, and in newer versions the unsafe one below it.
  static nlohmann::json versionWith(const Deployment &World, bool Unsafe) {
    auto Routes = nlohmann::json::array(
        {World.route("room", SafePath, "safe", 2, Deployment::BookingService)});
    if (Unsafe)
      Routes.push_back(World.route("booking", UnsafePath, "unsafe", 1,
                                   Deployment::DeskService));
    return Routes;
  }

  void playRound(Deployment &World, unsigned Round) {
    Stops_ = HasNext_ = false;
    std::vector<std::thread> Threads;
    for (unsigned I = 0; I < Streams; ++I)
      Threads.emplace_back([&, I] { stream(World, Round, I); });
    for (unsigned I = 1; I < Gateways; ++I)
      Threads.emplace_back([&, I] { keepBooking(World, Round, I); });
    std::this_thread::sleep_for(Millis(500));
    unsigned Version = Round * VersionStep * 2;
    // A change just before, as in a quick succession of them.
    World.writeConfig(Version, versionWith(World, false));
    std::this_thread::sleep_for(Millis(200));
    if (hasTrouble()) {
      Record_.line("SIGTERM to the first gateway");
      World.gateway(0).signal(SIGTERM);
    }
    constexpr unsigned Jitter = 200;
    std::this_thread::sleep_for(BeforeConfig +
                                Millis(std::random_device{}() % Jitter));
    World.writeConfig(Version + 1, versionWith(World, true));
    Acknowledged_ = Clock::now();
    HasNext_ = true;
    Record_.line("version " + std::to_string(Version + 1) +
                 " acknowledged: " + UnsafePath + " is unsafe");
    std::this_thread::sleep_for(AfterConfig);
    Stops_ = true;
    for (std::thread &Each : Threads)
      Each.join();
  }

  /// Removes the unsafe route, and starts the first gateway again.
  bool prepareRound(Deployment &World, unsigned Round) {
    World.writeConfig((Round * 2 + 1) * VersionStep, versionWith(World, false));
    if (!World.gateway(0).runs())
      World.gateway(0).start();
    return World.start();
  }

  /// A stream through the machine that is to stop.
  void stream(Deployment &World, unsigned Round, unsigned Number) {
    std::string Id =
        "stream-" + std::to_string(Round) + "-" + std::to_string(Number);
    auto Channel = Connection::to(World.gateway(0).callerAddress());
    if (!Channel)
      return;
    Channel->write(post(Deployment::StreamPath, Id, Events));
    auto Head = readHead(*Channel, Patience);
    Record_.line(Id + (Head ? " begins, status " + Head->secondWord()
                            : std::string(" has no answer")));
    while (!Channel->readSome(AnswerBytes, Patience).empty())
      if (Stops_)
        return;
    Record_.line(Id + " ends");
  }

  /// Bookings to a machine in touch, each on a channel of its own.
  void keepBooking(Deployment &World, unsigned Round, unsigned Gateway) {
    for (unsigned I = 0; !Stops_; ++I) {
      bool IsLate = HasNext_ && Clock::now() - Acknowledged_ > ConfigDeadline;
      bool Fails = IsLate && I % FailingOneIn == 0;
      Booking B{
          "r" + std::to_string(Round) + "-g" + std::to_string(Gateway) + "-" +
              std::to_string(I) + (Fails ? std::string(Runner::FailingId) : ""),
          Gateway,
          HasNext_
              ? std::chrono::duration_cast<Millis>(Clock::now() - Acknowledged_)
              : Millis(-1),
          "none"};
      auto Channel = Connection::to(World.gateway(Gateway).callerAddress());
      if (Channel && Channel->write(post(UnsafePath, B.Id, AnswerBytes)))
        if (auto Got = readMessage(*Channel, Patience))
          B.Status = Got->secondWord();
      {
        std::lock_guard Lock(Mutex_);
        Bookings_.push_back(B);
      }
      std::this_thread::sleep_for(BetweenBookings);
    }
  }

  int judge(Deployment &World) {
    unsigned Late = 0;
    unsigned Twice = 0;
    unsigned Old = 0;
    std::set<unsigned> Machines;
    for (const Booking &B : Bookings_) {
      if (B.AfterAcknowledgement <= ConfigDeadline)
        continue;
      ++Late;
      unsigned Runs = World.runsOf(B.Id);
      std::string Services = World.servicesOf(B.Id);
      Twice += Runs > 1 ? 1 : 0;
      if (Services.find(Deployment::BookingService) != std::string::npos) {
        ++Old;
        Machines.insert(B.Gateway);
      }
      Record_.line(B.Id + " sent " +
                   std::to_string(B.AfterAcknowledgement.count()) +
                   " ms after the acknowledgement, answered " + B.Status +
                   ", ran at " + Services);
    }
    std::string Result = std::to_string(Twice) + " of " + std::to_string(Late) +
                         " late bookings ran twice, " + std::to_string(Old) +
                         " ran at the old service, through " +
                         std::to_string(Machines.size()) + " of " +
                         std::to_string(Gateways - 1) + " machines in touch";
    Record_.line(Result);
    std::cout << Result << "\n";
    return Twice > 0 ? Broken : Held;
  }

  Record Record_;
  std::mutex Mutex_;
  std::vector<Booking> Bookings_;
  Clock::time_point Acknowledged_{};
  std::atomic<bool> HasNext_ = false;
  std::atomic<bool> Stops_ = false;
};

} // namespace

int main(int Count, char **Words) {
  if (Count != 2)
    return NotRun;
  try {
    return Test(Words[1]).run();
  } catch (const std::exception &Wrong) {
    std::cerr << Wrong.what() << "\n";
    return NotRun;
  }
}
