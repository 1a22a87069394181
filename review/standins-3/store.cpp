#include "store.h"

#include <algorithm>
#include <stdexcept>
#include <utility>
#include <vector>

namespace review {

using namespace celerybeam;
using nlohmann::json;

namespace {

constexpr unsigned Ok = 200;
constexpr unsigned NotFound = 404;
constexpr unsigned Failed = 412;
constexpr unsigned Forbidden = 403;
constexpr std::size_t PageItems = 500;
constexpr Duration Tick = std::chrono::milliseconds(20);
constexpr std::string_view Digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string encode(const std::string &Bytes) {
  std::string Text;
  for (std::size_t At = 0; At < Bytes.size(); At += 3) {
    std::size_t Count = std::min<std::size_t>(3, Bytes.size() - At);
    unsigned Group = 0;
    for (std::size_t I = 0; I < 3; ++I)
      Group = (Group << 8U) |
              (I < Count ? static_cast<unsigned char>(Bytes[At + I]) : 0U);
    for (std::size_t I = 0; I < 4; ++I)
      Text += I <= Count ? Digits[(Group >> (18U - 6U * I)) & 63U] : '=';
  }
  return Text;
}

std::string decode(const std::string &Text) {
  std::string Bytes;
  unsigned Group = 0;
  unsigned Bits = 0;
  for (char C : Text) {
    auto Value = Digits.find(C);
    if (Value == std::string_view::npos)
      break;
    Group = (Group << 6U) | static_cast<unsigned>(Value);
    Bits += 6;
    if (Bits < 8)
      continue;
    Bits -= 8;
    Bytes += static_cast<char>((Group >> Bits) & 255U);
  }
  return Bytes;
}

std::string unescaped(const std::string &Text) {
  std::string Plain;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    if (Text[I] == '%' && I + 2 < Text.size()) {
      Plain +=
          static_cast<char>(std::stoul(Text.substr(I + 1, 2), nullptr, 16));
      I += 2;
    } else {
      Plain += Text[I];
    }
  }
  return Plain;
}

std::string query(const std::string &Target, const std::string &Name) {
  auto Mark = Target.find('?');
  std::string Fields =
      Mark == std::string::npos ? "" : "&" + Target.substr(Mark + 1) + "&";
  auto At = Fields.find("&" + Name + "=");
  if (At == std::string::npos)
    return {};
  At += Name.size() + 2;
  return unescaped(Fields.substr(At, Fields.find('&', At) - At));
}

std::uint64_t number(const std::string &Text) {
  return Text.empty() ? 0 : std::stoull(Text);
}

std::uint64_t lastNumber(const std::string &Target) {
  return number(Target.substr(Target.rfind('/') + 1));
}

void respond(HttpExchange &Answer, unsigned Status, const json &Body) {
  Answer.respond({Status, {{"Content-Type", "application/json"}}}, Body.dump());
}

bool isForeign(const std::string &Key) {
  return Key.starts_with("op/") || Key.starts_with("servers/");
}

} // namespace

Store::Store(EventLoop &Loop, const std::string &Address)
    : Time_(Loop.runtime()),
      Server_(Loop,
              [this](const HttpServerRequest &Request, const Exchange &Answer) {
                serve(Request, Answer);
              }) {
  if (auto Opened = Server_.listen(celerybeam::Address(Address)); !Opened)
    throw std::runtime_error(Opened.error().Message);
  tick();
}

void Store::tick() {
  TimePoint Now = Time_.Now();
  std::vector<std::uint64_t> Ended;
  for (const auto &[Id, L] : Leases_)
    if (L.EndsAt <= Now)
      Ended.push_back(Id);
  for (std::uint64_t Id : Ended)
    endLease(Id);
  for (auto It = Watchers_.begin(); It != Watchers_.end();) {
    if (It->Until > Now) {
      ++It;
      continue;
    }
    respond(*It->Answer, Ok, {{"events", json::array()}, {"asOf", Revision_}});
    It = Watchers_.erase(It);
  }
  Time_.After(Tick, [this] { tick(); });
}

void Store::endLease(std::uint64_t Id) {
  Leases_.erase(Id);
  std::vector<std::string> Keys;
  for (const auto &[Key, What] : Items_)
    if (What.Lease == Id)
      Keys.push_back(Key);
  for (const std::string &Key : Keys)
    remove(Key);
}

json Store::rowOf(const std::string &Key, const Item &Of) const {
  return {{"key", Key},
          {"value", encode(Of.Value)},
          {"revision", Of.Revision},
          {"createdRev", Of.Created},
          {"lease", Of.Lease}};
}

void Store::put(const std::string &Key, const std::string &Value,
                std::uint64_t Lease) {
  Item &What = Items_[Key];
  What.Value = Value;
  What.Revision = ++Revision_;
  What.Created = What.Created == 0 ? Revision_ : What.Created;
  What.Lease = Lease;
  added({Revision_, Key, rowOf(Key, What)});
}

void Store::remove(const std::string &Key) {
  if (Items_.erase(Key) == 0)
    return;
  ++Revision_;
  added({Revision_,
         Key,
         {{"key", Key}, {"revision", Revision_}, {"removed", true}}});
}

void Store::added(Event E) {
  History_.push_back(std::move(E));
  for (auto It = Watchers_.begin(); It != Watchers_.end();) {
    json Events = eventsAfter(*It);
    if (Events.empty()) {
      ++It;
      continue;
    }
    respond(*It->Answer, Ok, {{"events", Events}, {"asOf", Revision_}});
    It = Watchers_.erase(It);
  }
}

json Store::eventsAfter(const Watcher &W) const {
  json Events = json::array();
  for (const Event &E : History_)
    if (E.Revision > W.After && E.Key.starts_with(W.Prefix))
      Events.push_back(E.Body);
  return Events;
}

void Store::setCut(bool Cut) {
  Cut_ = Cut;
  for (Watcher &W : Watchers_)
    Lost_.push_back(std::move(W.Answer));
  Watchers_.clear();
  if (Cut)
    return;
  for (const Exchange &Answer : std::exchange(Lost_, {}))
    Answer->abort();
}

void Store::serve(const HttpServerRequest &Request, const Exchange &Answer) {
  if (Cut_)
    return Lost_.push_back(Answer);
  const std::string &Target = Request.Head.Target;
  if (Target.starts_with("/-/kv-key?"))
    return key(Target, *Answer);
  if (Target.starts_with("/-/kv-range?"))
    return range(Target, *Answer);
  if (Target.starts_with("/-/kv-watch?"))
    return watch(Target, Answer);
  if (Target == "/-/kv-txn")
    return transact(*Request.Body, *Answer);
  if (Target == "/-/kv-lease")
    return grant(*Request.Body, *Answer);
  if (Target.starts_with("/-/kv-keep/"))
    return keep(lastNumber(Target), *Answer);
  if (Target.starts_with("/-/kv-lease-end/")) {
    endLease(lastNumber(Target));
    return respond(*Answer, Ok, json::object());
  }
  respond(*Answer, NotFound, json::object());
}

void Store::key(const std::string &Target, HttpExchange &Answer) {
  std::string Key = query(Target, "key");
  auto Found = Items_.find(Key);
  if (Found == Items_.end())
    return respond(Answer, NotFound, {{"asOf", Revision_}});
  json Row = rowOf(Key, Found->second);
  Row["asOf"] = Revision_;
  respond(Answer, Ok, Row);
}

void Store::range(const std::string &Target, HttpExchange &Answer) {
  std::string Prefix = query(Target, "pathPrefix");
  std::string After = query(Target, "after");
  json Items = json::array();
  bool More = false;
  for (const auto &[Key, What] : Items_) {
    if (!Key.starts_with(Prefix) || Key <= After)
      continue;
    More = Items.size() == PageItems;
    if (More)
      break;
    Items.push_back(rowOf(Key, What));
  }
  respond(Answer, Ok,
          {{"items", Items}, {"morePages", More}, {"asOf", Revision_}});
}

void Store::watch(const std::string &Target, const Exchange &Answer) {
  std::chrono::milliseconds Wait(number(query(Target, "waitMs")));
  Watcher W{query(Target, "pathPrefix"), number(query(Target, "after")),
            Time_.Now() + Wait, Answer};
  json Events = eventsAfter(W);
  if (!Events.empty())
    return respond(*Answer, Ok, {{"events", Events}, {"asOf", Revision_}});
  Watchers_.push_back(W);
  HttpExchange *Which = Answer.get();
  Answer->onDisconnect([this, Which] {
    std::erase_if(Watchers_, [Which](const Watcher &Each) {
      return Each.Answer.get() == Which;
    });
  });
}

void Store::transact(const std::string &Body, HttpExchange &Answer) {
  json Call = json::parse(Body);
  json Current = json::array();
  bool Holds = true;
  for (const json &Row : Call.value("expected", json::array())) {
    auto Found = Items_.find(Row.at("key").get<std::string>());
    std::uint64_t Now = Found == Items_.end() ? 0 : Found->second.Revision;
    Holds = Holds && Now == Row.at("revision").get<std::uint64_t>();
    if (Found != Items_.end())
      Current.push_back(rowOf(Found->first, Found->second));
  }
  if (!Holds)
    return respond(Answer, Failed, {{"items", Current}});
  for (const json &Row : Call.value("setKeys", json::array())) {
    if (isForeign(Row.at("key").get<std::string>()))
      return respond(Answer, Forbidden, json::object());
    auto Lease = Row.value("lease", std::uint64_t{0});
    if (Lease != 0 && !Leases_.contains(Lease))
      return respond(Answer, NotFound, json::object());
  }
  for (const json &Row : Call.value("setKeys", json::array()))
    put(Row.at("key"), decode(Row.at("value")),
        Row.value("lease", std::uint64_t{0}));
  for (const json &Key : Call.value("remove", json::array()))
    remove(Key.get<std::string>());
  respond(Answer, Ok, {{"revision", Revision_}});
}

void Store::grant(const std::string &Body, HttpExchange &Answer) {
  std::chrono::milliseconds Span(
      json::parse(Body).at("ttlMs").get<std::int64_t>());
  Leases_[++LastLease_] = {Time_.Now() + Span, Span};
  respond(Answer, Ok, {{"lease", LastLease_}, {"ttlMs", Span.count()}});
}

void Store::keep(std::uint64_t Id, HttpExchange &Answer) {
  auto Found = Leases_.find(Id);
  if (Found == Leases_.end())
    return respond(Answer, NotFound, json::object());
  Lease &L = Found->second;
  L.EndsAt = Time_.Now() + L.Span;
  respond(Answer, Ok, {{"ttlMs", L.Span / std::chrono::milliseconds(1)}});
}

} // namespace review
