#include "gateway/storestandin.h"

#include <stdexcept>

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/binary_from_base64.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <nlohmann/json.hpp>

namespace celerybeam::testing {

namespace {

using nlohmann::json;
namespace iterators = boost::archive::iterators;

constexpr unsigned Ok = 200;
constexpr unsigned NotFound = 404;
constexpr unsigned HistoryGone = 410;
constexpr unsigned Unavailable = 503;

std::string encode(const std::string &Bytes) {
  using Encoder = iterators::base64_from_binary<
      iterators::transform_width<std::string::const_iterator, 6, 8>>;
  std::string Text(Encoder(Bytes.begin()), Encoder(Bytes.end()));
  return Text.append((3 - Bytes.size() % 3) % 3, '=');
}

std::string decode(std::string Text) {
  using Decoder = iterators::transform_width<
      iterators::binary_from_base64<std::string::const_iterator>, 8, 6>;
  while (!Text.empty() && Text.back() == '=')
    Text.pop_back();
  return {Decoder(Text.begin()), Decoder(Text.end())};
}

/// A field of the query; the stand-in's tests need no percent-decoding.
std::string query(const std::string &Target, const std::string &Name) {
  auto At = Target.find(Name + "=");
  if (At == std::string::npos)
    return {};
  At += Name.size() + 1;
  return Target.substr(At, Target.find('&', At) - At);
}

void respond(HttpExchange &Answer, unsigned Status, const json &Body) {
  Answer.respond({Status, {{"Content-Type", "application/json"}}}, Body.dump());
}

} // namespace

StoreStandIn::StoreStandIn(EventLoop &Loop)
    : Time_(Loop.runtime()),
      Server_(Loop, [this](const HttpServerRequest &Request,
                           const std::shared_ptr<HttpExchange> &Answer) {
        serve(Request, Answer);
      }) {
  if (auto Opened = Server_.listen(Address("127.0.0.1:0")); !Opened)
    throw std::runtime_error(Opened.error().Message);
}

void StoreStandIn::put(const std::string &Key, const std::string &Value) {
  change(Key, {Value, ++Revision_, false});
}

void StoreStandIn::remove(const std::string &Key) {
  change(Key, {"", ++Revision_, true});
}

void StoreStandIn::change(const std::string &Key, Item What) {
  History_.push_back({Key, What});
  if (What.Removed)
    Items_.erase(Key);
  else
    Items_[Key] = std::move(What);
  std::erase_if(Watchers_,
                [this](const Watcher &W) { return answerWatcher(W, false); });
}

void StoreStandIn::setDown(bool Down) {
  Down_ = Down;
  if (!Down)
    return;
  for (const Watcher &W : Watchers_)
    respond(*W.Answer, Unavailable, json::object());
  Watchers_.clear();
}

void StoreStandIn::forgetHistory() {
  History_.clear();
  Forgotten_ = Revision_;
}

std::vector<std::string> StoreStandIn::keys(const std::string &Prefix) const {
  std::vector<std::string> Found;
  for (const auto &[Key, What] : Items_)
    if (Key.starts_with(Prefix))
      Found.push_back(Key);
  return Found;
}

void StoreStandIn::serve(const HttpServerRequest &Request,
                         const std::shared_ptr<HttpExchange> &Answer) {
  ++Calls_;
  const std::string &Target = Request.Head.Target;
  if (Down_)
    return respond(*Answer, Unavailable, json::object());
  if (Target.starts_with("/-/kv-range"))
    return range(Target, *Answer);
  if (Target.starts_with("/-/kv-watch"))
    return watch(Target, Answer);
  if (Target.starts_with("/-/kv-txn"))
    return transact(*Request.Body, *Answer);
  if (Target.starts_with("/-/kv-lease"))
    return respond(*Answer, Ok, {{"lease", 7}, {"ttlMs", 30000}});
  if (Target.starts_with("/-/kv-keep"))
    return respond(*Answer, Ok, {{"ttlMs", 30000}});
  respond(*Answer, NotFound, json::object());
}

void StoreStandIn::range(const std::string &Target, HttpExchange &Answer) {
  std::string Prefix = query(Target, "pathPrefix");
  json Items = json::array();
  for (const auto &[Key, What] : Items_)
    if (Key.starts_with(Prefix))
      Items.push_back({{"key", Key},
                       {"value", encode(What.Value)},
                       {"revision", What.At},
                       {"createdRev", What.At},
                       {"lease", 0}});
  respond(Answer, Ok,
          {{"items", Items}, {"morePages", false}, {"asOf", Revision_}});
}

void StoreStandIn::watch(const std::string &Target,
                         const std::shared_ptr<HttpExchange> &Answer) {
  Watcher W{query(Target, "pathPrefix"), std::stoull(query(Target, "after")),
            Answer};
  if (W.After < Forgotten_)
    return respond(*Answer, HistoryGone, json::object());
  if (answerWatcher(W, false))
    return;
  Watchers_.push_back(W);
  Answer->onDisconnect([this, Answer] {
    std::erase_if(Watchers_,
                  [&](const Watcher &Each) { return Each.Answer == Answer; });
  });
  std::chrono::milliseconds Wait(std::stoul(query(Target, "waitMs")));
  Time_.After(Wait, [this, Answer] {
    std::erase_if(Watchers_, [&](const Watcher &Each) {
      return Each.Answer == Answer && answerWatcher(Each, true);
    });
  });
}

bool StoreStandIn::answerWatcher(const Watcher &W, bool Always) {
  json Events = json::array();
  for (const Change &C : History_) {
    if (C.What.At <= W.After || !C.Key.starts_with(W.Prefix))
      continue;
    json Event = {{"key", C.Key}, {"revision", C.What.At}};
    if (C.What.Removed)
      Event["removed"] = true;
    else
      Event["value"] = encode(C.What.Value);
    Events.push_back(Event);
  }
  if (Events.empty() && !Always)
    return false;
  respond(*W.Answer, Ok, {{"events", Events}, {"asOf", Revision_}});
  return true;
}

void StoreStandIn::transact(const std::string &Body, HttpExchange &Answer) {
  json Call = json::parse(Body);
  for (const json &Row : Call.at("setKeys"))
    put(Row.at("key"), decode(Row.at("value")));
  respond(Answer, Ok, {{"revision", Revision_}});
}

} // namespace celerybeam::testing
