#include "httpclient/httpfetch.h"

#include <utility>

namespace celerybeam {

namespace {

/// The part of the response that has arrived. The hooks of one call run one
/// at a time.
struct PartialResponse {
  HttpResponse Response;
  bool TooLarge = false;
};

} // namespace

void fetchHttp(HttpClient &Client, HttpCall Call, std::size_t BodyLimit,
               std::function<void(Result<HttpResponse>)> Done) {
  auto State = std::make_shared<PartialResponse>();
  ResponseHooks Hooks;
  Hooks.Head = [State](ResponseHead Head) {
    State->Response.Head = std::move(Head);
  };
  Hooks.Chunk = [State, BodyLimit](const std::string &Data) {
    std::string &Body = State->Response.Body;
    State->TooLarge |= Data.size() > BodyLimit - Body.size();
    if (!State->TooLarge)
      Body += Data;
    return Flow::Continue;
  };
  Hooks.End = [State, Done = std::move(Done)](Result<void> End) {
    if (!End)
      return Done(tl::unexpected(End.error()));
    if (State->TooLarge)
      return Done(makeError(ErrorKind::BodyTooLarge,
                            "the answer is larger than expected; check which "
                            "service listens at the address"));
    Done(std::move(State->Response));
  };
  Client.start(std::move(Call), std::move(Hooks));
}

} // namespace celerybeam
