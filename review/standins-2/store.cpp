#include "store.h"

namespace celerybeam::review {

namespace {

using nlohmann::json;

constexpr unsigned Ok = 200;
constexpr unsigned NotFound = 404;
constexpr unsigned ConditionFailed = 412;
constexpr Millis LongestIdle(30000);

constexpr std::string_view Digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string encode(const std::string &Bytes) {
  std::string Text;
  for (std::size_t I = 0; I < Bytes.size(); I += 3) {
    std::uint32_t Group = 0;
    for (std::size_t J = 0; J < 3; ++J)
      Group = Group * 256 + (I + J < Bytes.size()
                                 ? static_cast<unsigned char>(Bytes[I + J])
                                 : 0U);
    for (std::size_t J = 0; J < 4; ++J)
      Text +=
          J <= Bytes.size() - I ? Digits[(Group >> (18 - 6 * J)) & 63U] : '=';
  }
  return Text;
}

std::string decode(const std::string &Text) {
  std::string Bytes;
  std::uint32_t Group = 0;
  unsigned Bits = 0;
  for (char C : Text) {
    std::size_t Digit = Digits.find(C);
    if (Digit == std::string_view::npos)
      break;
    Group = Group * 64 + static_cast<std::uint32_t>(Digit);
    Bits += 6;
    if (Bits < 8)
      continue;
    Bits -= 8;
    Bytes += static_cast<char>((Group >> Bits) & 255U);
  }
  return Bytes;
}

/// A field of the query. The gateways' keys need no decoding.
std::string query(const std::string &Target, const std::string &Name) {
  std::size_t At = Target.find(Name + "=");
  if (At == std::string::npos)
    return "";
  At += Name.size() + 1;
  return Target.substr(At, Target.find('&', At) - At);
}

} // namespace

Store::Store(const std::string &Address)
    : Listener_(std::make_unique<Listener>(
          Address, [this](Connection &Peer) { serve(Peer); })) {}

Store::~Store() {
  {
    std::lock_guard Lock(Mutex_);
    Stops_ = true;
  }
  Changed_.notify_all();
  Listener_.reset();
}

void Store::put(const std::string &Key, const json &Value) {
  std::lock_guard Lock(Mutex_);
  write(Key, Value.dump(), 0);
}

void Store::remove(const std::string &Key) {
  std::lock_guard Lock(Mutex_);
  erase(Key);
}

void Store::write(const std::string &Key, const std::string &Value,
                  std::uint64_t Lease) {
  auto [It, New] = Items_.try_emplace(Key);
  std::uint64_t Created = New ? Revision_ + 1 : It->second.Created;
  It->second = {Value, ++Revision_, Created, Lease};
  History_.push_back(itemOf(Key, It->second));
  Changed_.notify_all();
}

void Store::erase(const std::string &Key) {
  if (Items_.erase(Key) == 0)
    return;
  History_.push_back(
      {{"key", Key}, {"revision", ++Revision_}, {"removed", true}});
  Changed_.notify_all();
}

json Store::itemOf(const std::string &Key, const Item &What) const {
  return {{"key", Key},
          {"value", encode(What.Value)},
          {"revision", What.Revision},
          {"createdRev", What.Created},
          {"lease", What.Lease}};
}

void Store::serve(Connection &Peer) {
  while (auto Request = readMessage(Peer, LongestIdle)) {
    auto [Status, Body] = answer(*Request);
    std::string Text = Body.dump();
    if (!Peer.write("HTTP/1.1 " + std::to_string(Status) +
                    " Answer\r\nContent-Type: application/json\r\n"
                    "Content-Length: " +
                    std::to_string(Text.size()) + "\r\n\r\n" + Text))
      return;
  }
}

std::pair<unsigned, json> Store::answer(const Message &Request) {
  std::string Target = Request.secondWord();
  auto Begins = [&](const char *Path) { return Target.starts_with(Path); };
  if (Begins("/-/kv-range"))
    return {Ok, range(Target)};
  if (Begins("/-/kv-watch"))
    return {Ok, watch(Target)};
  if (Begins("/-/kv-txn"))
    return transact(Request.Body);
  if (Begins("/-/kv-lease") || Begins("/-/kv-keep/"))
    return leaseCall(Request);
  return {NotFound, json::object()};
}

std::pair<unsigned, json> Store::leaseCall(const Message &Request) {
  std::string Target = Request.secondWord();
  std::lock_guard Lock(Mutex_);
  dropEnded();
  if (Target == "/-/kv-lease") {
    Millis TimeToLive(json::parse(Request.Body).at("ttlMs").get<int>());
    Leases_[++LastLease_] = {TimeToLive, Clock::now() + TimeToLive};
    return {Ok, {{"lease", LastLease_}, {"ttlMs", TimeToLive.count()}}};
  }
  auto Found = Leases_.find(std::stoull(Target.substr(Target.rfind('/') + 1)));
  if (Found == Leases_.end())
    return {NotFound, json::object()};
  if (Target.starts_with("/-/kv-keep/")) {
    Found->second.EndsAt = Clock::now() + Found->second.TimeToLive;
    return {Ok, {{"ttlMs", Found->second.TimeToLive.count()}}};
  }
  endLease(Found->first);
  return {Ok, json::object()};
}

void Store::dropEnded() {
  std::vector<std::uint64_t> Ended;
  for (const auto &[Id, L] : Leases_)
    if (L.EndsAt <= Clock::now())
      Ended.push_back(Id);
  for (std::uint64_t Id : Ended)
    endLease(Id);
}

void Store::endLease(std::uint64_t Lease) {
  Leases_.erase(Lease);
  std::vector<std::string> Keys;
  for (const auto &[Key, What] : Items_)
    if (What.Lease == Lease)
      Keys.push_back(Key);
  for (const std::string &Key : Keys)
    erase(Key);
}

json Store::range(const std::string &Target) {
  std::string Prefix = query(Target, "pathPrefix");
  json Items = json::array();
  std::lock_guard Lock(Mutex_);
  dropEnded();
  for (const auto &[Key, What] : Items_)
    if (Key.starts_with(Prefix) && Key > query(Target, "after"))
      Items.push_back(itemOf(Key, What));
  return {{"items", Items}, {"morePages", false}, {"asOf", Revision_}};
}

json Store::watch(const std::string &Target) {
  std::string Prefix = query(Target, "pathPrefix");
  std::uint64_t After = std::stoull(query(Target, "after"));
  auto Until = Clock::now() + Millis(std::stoul(query(Target, "waitMs")));
  std::unique_lock Lock(Mutex_);
  json Events = json::array();
  auto Look = [&] {
    for (const json &Event : History_)
      if (Event.at("revision").get<std::uint64_t>() > After &&
          Event.at("key").get<std::string>().starts_with(Prefix))
        Events.push_back(Event);
    return !Events.empty() || Stops_;
  };
  Changed_.wait_until(Lock, Until, Look);
  return {{"events", Events}, {"asOf", Revision_}};
}

std::pair<unsigned, json> Store::transact(const std::string &Body) {
  json Call = json::parse(Body);
  std::lock_guard Lock(Mutex_);
  dropEnded();
  for (const json &Row : Call.at("expected")) {
    auto Found = Items_.find(Row.at("key").get<std::string>());
    std::uint64_t Stands = Found == Items_.end() ? 0 : Found->second.Revision;
    if (Stands != Row.at("revision").get<std::uint64_t>())
      return {ConditionFailed, {{"items", json::array()}}};
  }
  for (const json &Row : Call.at("setKeys")) {
    auto Lease = Row.at("lease").get<std::uint64_t>();
    if (Lease != 0 && !Leases_.contains(Lease))
      return {NotFound, json::object()};
  }
  for (const json &Row : Call.at("setKeys"))
    write(Row.at("key"), decode(Row.at("value")),
          Row.at("lease").get<std::uint64_t>());
  for (const json &Key : Call.at("remove"))
    erase(Key);
  return {Ok, {{"revision", Revision_}}};
}

} // namespace celerybeam::review
