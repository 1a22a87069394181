#include "soak/endpointprocess.h"

#include <cstdio>
#include <iostream>
#include <random>
#include <utility>

#include "framework/stablehash.h"
#include "relay/httpserver.h"

namespace celerybeam::testing {

namespace {

constexpr unsigned Ok = 200;
constexpr unsigned Misdirected = 421;
constexpr unsigned Failure = 500;
constexpr unsigned Unavailable = 503;
constexpr unsigned MostEvents = 12;
constexpr unsigned BodyRepeats = 40;
/// Above the 2.6 MB that loopback sockets buffer, below the 4 MiB that a server
/// keeps of an answer.
constexpr std::size_t BigBody = 4000000;
constexpr Duration EventGap = std::chrono::milliseconds(25);

class Endpoint {
public:
  explicit Endpoint(const EndpointOptions &Options)
      : Options_(Options), Random_(Options.Seed),
        Server_(Loop_, [this](const HttpServerRequest &Request,
                              const std::shared_ptr<HttpExchange> &Answer) {
          take(Request, Answer);
        }) {}

  int serve() {
    if (auto Opened = Server_.listen(Address("127.0.0.1:0")); !Opened) {
      std::cerr << Opened.error().Message << "\n";
      return 1;
    }
    say("address " + Server_.address().str());
    Loop_.run();
    return 0;
  }

private:
  static void say(const std::string &Line) { std::cout << Line << std::endl; }

  bool isPlanted(const char *Name) {
    constexpr unsigned OneIn = 20;
    return Options_.Plant == Name && Random_() % OneIn == 0;
  }

  HttpResponseHead head(unsigned Status, const std::string &Id) {
    HttpResponseHead Head{Status, {{"X-Attempt-Id", Id}}};
    Head.Fields.push_back({"X-Server-Load", std::to_string(Busy_) + ",0," +
                                                std::to_string(Options_.Slots) +
                                                ",100"});
    return Head;
  }

  void refuse(unsigned Status, const std::string &Id, HttpExchange &Answer) {
    HttpResponseHead Head = head(Status, Id);
    Head.Fields.push_back({"X-Not-Executed", "1"});
    Answer.respond(std::move(Head), "");
  }

  /// The customer whose name came with a request, or what no endpoint may see.
  static std::string customerSeen(const HttpFields &Fields) {
    for (const HttpField &Field : Fields)
      if (sameFieldName(Field.Name, "X-Credential") ||
          sameFieldName(Field.Name, "Celerybeam-Key") ||
          Field.Value.find(KeyPrefix) != std::string::npos)
        return SeenKey;
    return std::string(findField(Fields, "X-Tenant").value_or(""));
  }

  void take(const HttpServerRequest &Request,
            const std::shared_ptr<HttpExchange> &Answer) {
    std::string Id(findField(Request.Head.Fields, "X-Attempt-Id").value_or(""));
    auto Expected = findField(Request.Head.Fields, "X-Expect-Instance");
    if (Request.Head.Target == "/healthz")
      return Answer->respond({Ok, {{"X-Instance-Id", Options_.Id}}}, "");
    if (Expected && *Expected != Options_.Id)
      return refuse(Misdirected, Id, *Answer);
    if (Busy_ >= Options_.Slots)
      return refuse(Unavailable, Id, *Answer);
    std::string Ran = "ran " + Id + " " + customerSeen(Request.Head.Fields);
    say(Ran);
    if (isPlanted("run-twice"))
      say(Ran);
    if (isPlanted("run-refused"))
      return refuse(Unavailable, Id, *Answer);
    ++Busy_;
    auto HasSlot = std::make_shared<bool>(true);
    Answer->onDisconnect([this, HasSlot] { release(HasSlot); });
    constexpr unsigned MostMs = 90;
    auto Work = std::chrono::milliseconds(5 + Random_() % MostMs);
    constexpr unsigned FailsOneIn = 16;
    bool Fails = Request.Head.Target.starts_with("/look/") &&
                 Random_() % FailsOneIn == 0;
    Loop_.runtime().After(
        Work, [this, Id, Answer, HasSlot, Fails,
               Streams = Request.Head.Target.starts_with("/s")] {
          if (!*HasSlot)
            return;
          if (Streams)
            return stream(Id, Answer, HasSlot, 1);
          release(HasSlot);
          HttpResponseHead Head = head(Fails ? Failure : Ok, Id);
          Head.Fields.push_back({"X-Response-Stamp", Options_.Id});
          Answer->respond(std::move(Head),
                          endpointBody(isPlanted("wrong-body") ? "other" : Id));
        });
  }

  void stream(const std::string &Id,
              const std::shared_ptr<HttpExchange> &Answer,
              const std::shared_ptr<bool> &HasSlot, unsigned Next) {
    if (!*HasSlot)
      return;
    if (Next == 1) {
      HttpResponseHead Head = head(Ok, Id);
      Head.Fields.push_back({"X-Response-Stamp", Options_.Id});
      Head.Fields.push_back({"Content-Type", "text/event-stream"});
      Answer->beginStream(std::move(Head));
    }
    if (Next > endpointEvents(Id)) {
      release(HasSlot);
      return Answer->endStream();
    }
    if (!isPlanted("skip-event"))
      Answer->streamPiece("id: " + std::to_string(Next) + "\ndata: " + Id +
                          "\n\n");
    Loop_.runtime().After(EventGap, [this, Id, Answer, HasSlot, Next] {
      stream(Id, Answer, HasSlot, Next + 1);
    });
  }

  /// Frees a request's slot once: the response and the loss of the caller may
  /// come in one turn of the loop.
  void release(const std::shared_ptr<bool> &HasSlot) {
    if (std::exchange(*HasSlot, false))
      --Busy_;
  }

  EndpointOptions Options_;
  std::mt19937_64 Random_;
  EventLoop Loop_;
  HttpServer Server_;
  unsigned Busy_ = 0;
};

} // namespace

std::string endpointBody(const std::string &RequestId) {
  std::string Body;
  std::size_t Repeats = RequestId.ends_with("-big")
                            ? BigBody / (RequestId.size() + 1)
                            : BodyRepeats;
  for (std::size_t I = 0; I < Repeats; ++I)
    Body += RequestId + ";";
  return Body;
}

unsigned endpointEvents(const std::string &RequestId) {
  return 1 + static_cast<unsigned>(stableHash(RequestId) % MostEvents);
}

int serveEndpoint(const EndpointOptions &Options) {
  return Endpoint(Options).serve();
}

} // namespace celerybeam::testing
