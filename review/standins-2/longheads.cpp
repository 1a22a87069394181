// Many users come at once, with prompts of many parts. Does the gateway stay
// within its machine's memory? A stand-in of the platform kills a process that
// exceeds it. Usage: longheads RECORD

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>
#include <iostream>

#include "fleet.h"
#include "record.h"

namespace {

using namespace celerybeam::review;

constexpr unsigned MemoryMb = 120;
constexpr unsigned ModelRunners = 30;
/// Users come at a steady rate, and for some seconds at 1.7 times that.
constexpr std::chrono::microseconds BetweenUsers(20000);
constexpr double Burst = 1.7;
constexpr Millis BeforeBurst(9500);
constexpr Millis BurstTime(3000);
constexpr Millis AfterBurst(1500);
constexpr unsigned Events = 29;
constexpr unsigned TimeLeftMs = 10000;
constexpr unsigned Parts = 1200;
constexpr unsigned TokensOfPart = 10;
constexpr unsigned OutputTokens = 377;
constexpr std::size_t ShortAnswer = 800;
constexpr Millis Patience(10500);
/// LOST allows as many.
constexpr unsigned MostLost = 3;

/// The parts of a prompt: all but the last are those of all users.
std::string partsOf(unsigned User) {
  constexpr std::uint64_t Spread = 2654435761;
  std::string Text;
  for (unsigned I = 0; I < Parts; ++I) {
    std::uint64_t Id = (I + 1 < Parts ? I : Parts + User) + std::uint64_t{1};
    std::array<char, 32> Part{};
    std::snprintf(Part.data(), Part.size(), "%s%08x:%u", I == 0 ? "" : ",",
                  static_cast<unsigned>(Id * Spread), TokensOfPart);
    Text += Part.data();
  }
  return Text;
}

std::string streamRequest(const std::string &Id, unsigned User) {
  return std::string("POST ") + Deployment::StreamPath +
         std::to_string(Events) + " HTTP/1.1\r\nHost: " + Deployment::Host +
         "\r\nX-Attempt-Id: " + Id +
         "\r\nX-Deadline-Ms: " + std::to_string(TimeLeftMs) +
         "\r\nX-Model: m\r\nX-Token-Count: " +
         std::to_string(Parts * TokensOfPart) + "," +
         std::to_string(OutputTokens) +
         "\r\nX-Prompt-Prefix: " + partsOf(User) +
         "\r\nContent-Length: 4\r\n\r\nplan";
}

class Test {
public:
  explicit Test(const std::string &RecordPath) : Record_(RecordPath) {}

  int run() {
    Deployment::Options O;
    O.MemoryMb = MemoryMb;
    O.TimeoutMs = TimeLeftMs;
    O.ModelRunners = ModelRunners;
    Deployment World(O, "longheads");
    if (!World.start())
      return NotRun;
    Record_.line("heads of " + std::to_string(streamRequest("q", 0).size()) +
                 " bytes");
    std::atomic<bool> Stops = false;
    std::thread Platform([&] { watchMemory(World.gateway(0), Stops); });
    std::vector<std::thread> Users;
    auto Begun = Clock::now();
    auto Next = Begun;
    for (unsigned I = 0; Next < Begun + BeforeBurst + BurstTime + AfterBurst;
         ++I) {
      std::this_thread::sleep_until(Next);
      Users.emplace_back([&, I] { call(World, I); });
      bool Bursts = hasTrouble() && Next >= Begun + BeforeBurst &&
                    Next < Begun + BeforeBurst + BurstTime;
      Next += Bursts ? std::chrono::duration_cast<Clock::duration>(
                           BetweenUsers / Burst)
                     : BetweenUsers;
    }
    for (std::thread &Each : Users)
      Each.join();
    Stops = true;
    Platform.join();
    std::string Result =
        "without any answer after they were passed on " +
        std::to_string(Lost_) + ", broken off " + std::to_string(BrokenOff_) +
        ", answered " + std::to_string(Answered_) + ", refused " +
        std::to_string(Refused_) + ", most memory " +
        std::to_string(MostMemory_) + " MB of " + std::to_string(MemoryMb);
    Record_.line(Result);
    std::cout << Result << "\n";
    return Lost_ > MostLost ? Broken : Held;
  }

private:
  /// The platform: "A process that exceeds memoryMb is killed."
  void watchMemory(Gateway &Watched, const std::atomic<bool> &Stops) {
    while (!Stops) {
      double Memory = Watched.memoryMb();
      MostMemory_ = std::max(MostMemory_, Memory);
      if (Memory > MemoryMb) {
        Watched.signal(SIGKILL);
        Record_.line("the platform kills the gateway at " +
                     std::to_string(Memory) + " MB");
        return;
      }
      std::this_thread::sleep_for(Millis(50));
    }
  }

  /// A booking, and a stream on the kept channel.
  void call(Deployment &World, unsigned User) {
    std::string Id = "q-" + std::to_string(User);
    auto Channel = Connection::to(World.gateway(0).callerAddress());
    if (!Channel)
      return Record_.line(Id + " no channel");
    Channel->write(requestText(Id + "-book", ShortAnswer, TimeLeftMs));
    auto First = readMessage(*Channel, Patience);
    if (!First)
      return Record_.line(Id + "-book " + Channel->ending());
    Channel->write(streamRequest(Id, User));
    auto Head = readHead(*Channel, Patience);
    bool Whole = Head && Head->secondWord() == "200" && readStream(*Channel);
    unsigned Runs = World.runsOf(Id);
    Record_.line(Id + " sent, ran " + std::to_string(Runs) + " times, " +
                 (Whole  ? "answered whole"
                  : Head ? "answered " + Head->secondWord() + ", then " +
                               Channel->ending()
                         : "no answer: " + Channel->ending()));
    if (Whole)
      ++Answered_;
    else if (!Head && Runs > 0)
      ++Lost_;
    else if (Head && Head->secondWord() == "200")
      ++BrokenOff_;
    else if (Head)
      ++Refused_;
  }

  /// Whether the chunks come to their end.
  static bool readStream(Connection &From) {
    constexpr int Hexadecimal = 16;
    for (;;) {
      auto Length = From.readLine(Patience);
      if (!Length)
        return false;
      std::size_t Bytes = std::stoul(*Length, nullptr, Hexadecimal);
      if (!From.readExactly(Bytes + 2, Patience))
        return false;
      if (Bytes == 0)
        return true;
    }
  }

  Record Record_;
  double MostMemory_ = 0;
  std::atomic<unsigned> Lost_ = 0;
  std::atomic<unsigned> BrokenOff_ = 0;
  std::atomic<unsigned> Answered_ = 0;
  std::atomic<unsigned> Refused_ = 0;
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
