#include "fakeplatform.h"

#include <map>
#include <mutex>
#include <thread>
#include <utility>

#include <nlohmann/json.hpp>

#include "fakestore.h"

namespace celerybeam::fakes {

namespace {

constexpr std::size_t ValueLimitBytes = 1024UL * 1024;
constexpr std::uint64_t DefaultDelayMs = 2000;
constexpr std::uint64_t DefaultLeaseMs = 10000;
const std::string KeyPrefix = "/v1/kv/";
const std::string LeasePrefix = "/v1/leases/";

FakeReply status(int Status) {
  FakeReply R;
  R.Status = Status;
  return R;
}

FakeReply versioned(int Status, std::uint64_t Version, std::string Data = "") {
  FakeReply R;
  R.Status = Status;
  R.Headers = {{"X-Version", std::to_string(Version)}};
  R.Body = std::move(Data);
  return R;
}

FakeReply leaseReply(const std::string &Id, Millis TimeToLive) {
  nlohmann::json Body = {{"id", Id}, {"ttl_ms", TimeToLive.count()}};
  return jsonReply(200, Body.dump());
}

/// The name under which a call is counted.
std::string kindOf(const FakeRequest &R) {
  if (R.Path.starts_with(KeyPrefix)) {
    if (R.Method == "PUT")
      return "put";
    return R.Query.contains("after") ? "watch" : "get";
  }
  return R.Path == "/v1/hosts" ? "hosts" : "lease";
}

} // namespace

class FakePlatform::Impl {
public:
  Impl(std::uint16_t Port, std::string Hosts, std::string State)
      : State_(std::move(State)), Store_(State_), Hosts_(std::move(Hosts)),
        Server_(Port, [this](const FakeRequest &R) { return handle(R); }) {}

  ~Impl() { stop(); }

  void stop() {
    Store_.stop();
    {
      std::lock_guard Lock(Mutex_);
      Stopping_ = true;
      ModeChanged_.notify_all();
    }
    Server_.stop();
    if (!State_.empty())
      Store_.save(State_);
  }

  std::uint16_t port() const { return Server_.port(); }

private:
  FakeReply handle(const FakeRequest &R) {
    if (R.Path.starts_with("/control/"))
      return control(R);
    std::string Mode = enter(R);
    if (Mode == "down")
      return status(503);
    FakeReply Reply = serve(R);
    return Mode == "lose-replies" ? cutOffReply() : Reply;
  }

  /// Counts the call, waits when calls are slow; returns the mode.
  std::string enter(const FakeRequest &R) {
    std::unique_lock Lock(Mutex_);
    ++Calls_[kindOf(R)];
    if (Mode_ == "slow")
      ModeChanged_.wait_for(Lock, Delay_, [this] { return Stopping_; });
    return Mode_;
  }

  FakeReply control(const FakeRequest &R) {
    std::lock_guard Lock(Mutex_);
    if (R.Path == "/control/hosts")
      Hosts_ = R.Body;
    else if (R.Path == "/control/mode") {
      Mode_ = R.query("mode");
      Delay_ = Millis(R.queryNumber("delay_ms", DefaultDelayMs));
    } else if (R.Path == "/control/calls")
      return jsonReply(200, nlohmann::json(Calls_).dump());
    else
      return status(404);
    return status(204);
  }

  FakeReply serve(const FakeRequest &R) {
    if (R.Path.starts_with(KeyPrefix))
      return serveKey(R, R.Path.substr(KeyPrefix.size()));
    if (R.Path == "/v1/leases" && R.Method == "POST") {
      Millis TimeToLive(R.queryNumber("ttl_ms", DefaultLeaseMs));
      return leaseReply(Store_.grant(TimeToLive), TimeToLive);
    }
    if (R.Path.starts_with(LeasePrefix))
      return serveLease(R, R.Path.substr(LeasePrefix.size()));
    if (R.Path != "/v1/hosts")
      return status(404);
    std::lock_guard Lock(Mutex_);
    return jsonReply(200, Hosts_);
  }

  FakeReply serveKey(const FakeRequest &R, const std::string &Key) {
    if (R.Method == "PUT")
      return write(R, Key);
    if (!R.Query.contains("after"))
      return read(Store_.get(Key));
    const std::uint64_t After = R.queryNumber("after", 0);
    FakeValue V =
        Store_.waitAfter(Key, After, Millis(R.queryNumber("wait_ms", 0)));
    return V.Version > After ? read(V) : status(304);
  }

  static FakeReply read(const FakeValue &V) {
    return V.Data ? versioned(200, V.Version, *V.Data)
                  : versioned(404, V.Version);
  }

  FakeReply write(const FakeRequest &R, const std::string &Key) {
    if (R.Body.size() > ValueLimitBytes)
      return status(413);
    FakeStore::PutOutcome Outcome =
        Store_.put(Key, R.Body, R.queryNumber("expected", 0), R.query("lease"));
    if (Outcome.Status == FakeStore::PutStatus::NoLease)
      return status(404);
    const bool Written = Outcome.Status == FakeStore::PutStatus::Written;
    return versioned(Written ? 200 : 409, Outcome.Version);
  }

  FakeReply serveLease(const FakeRequest &R, const std::string &Id) {
    if (R.Method == "DELETE") {
      Store_.release(Id);
      return status(204);
    }
    std::optional<Millis> TimeToLive = Store_.renew(Id);
    return TimeToLive ? leaseReply(Id, *TimeToLive) : status(404);
  }

  const std::string State_;
  FakeStore Store_;
  std::mutex Mutex_;
  std::condition_variable ModeChanged_;
  std::string Hosts_;
  std::string Mode_ = "ok";
  Millis Delay_{DefaultDelayMs};
  std::map<std::string, std::uint64_t> Calls_;
  bool Stopping_ = false;
  // Last, since it calls the members above from its threads.
  FakeServer Server_;
};

FakePlatform::FakePlatform(std::uint16_t Port, std::string Hosts,
                           std::string State)
    : Impl_(std::make_unique<Impl>(Port, std::move(Hosts), std::move(State))) {}

FakePlatform::~FakePlatform() = default;

std::uint16_t FakePlatform::port() const { return Impl_->port(); }

std::string FakePlatform::address() const {
  return "127.0.0.1:" + std::to_string(port());
}

void FakePlatform::stop() { Impl_->stop(); }

} // namespace celerybeam::fakes
