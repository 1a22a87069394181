#include "recovery/poisonregistry.h"

#include <algorithm>
#include <string>
#include <vector>

#include "framework/shardedmap.h"
#include "framework/stablehash.h"

namespace celerybeam {

namespace {

/// When a caller may repeat a request of which another copy is running.
constexpr std::chrono::milliseconds BusyRetryAfter{1000};
/// Number of times each crash is reported, because reports may be lost.
constexpr unsigned ReportSends = 3;
constexpr Duration ReportInterval = std::chrono::seconds(1);

struct SuspectedRequest {
  std::vector<EndpointId> Crashed;
  /// The host that observed the first crash; only it runs the request again.
  HostId Owner;
  TimePoint LastCrash{};
  unsigned Running = 0;
  unsigned SendsLeft = 0;
  TimePoint NextSend{};
};

bool addEndpoint(SuspectedRequest &S, const EndpointId &Endpoint) {
  auto &Known = S.Crashed;
  if (std::find(Known.begin(), Known.end(), Endpoint) != Known.end())
    return false;
  Known.push_back(Endpoint);
  return true;
}

std::uint32_t ageMillis(TimePoint Now, TimePoint Then) {
  auto Age = std::chrono::duration_cast<std::chrono::milliseconds>(Now - Then);
  return static_cast<std::uint32_t>(std::max<std::int64_t>(Age.count(), 0));
}

tl::unexpected<Error> poisonError() {
  return makeError(ErrorKind::PoisonRequest,
                   "Endpoints crashed while they ran this request; it is not "
                   "run again. Change the request before sending it.");
}

tl::unexpected<Error> busyError(const HostId &Owner) {
  return makeError(ErrorKind::PoisonRequest,
                   "An endpoint crashed while it ran this request; only entry "
                   "host " +
                       Owner.str() +
                       " runs one copy of it at a time. Wait for that answer, "
                       "or send it there.",
                   BusyRetryAfter);
}

} // namespace

Fingerprint fingerprintOf(const CustomerId &Customer, const ModelName &Model,
                          std::string_view Body) {
  Fingerprint Hash = stableHash(Customer.str());
  Hash = stableHash(Model.str(), Hash);
  return stableHash(Body, Hash);
}

class PoisonRegistry::Impl {
public:
  Impl(Blackboard &Board, Runtime R, PeerHooks Peers)
      : Board_(Board), Runtime_(std::move(R)), Peers_(std::move(Peers)) {}

  Result<void> begin(Fingerprint Hash) {
    SuspectedRequest Before = Suspects_.find(Hash).value_or(SuspectedRequest());
    // Determined outside the shard's lock, under which the peers on the
    // blackboard must not be read.
    HostId Runner = runnerOf(Before);
    return Suspects_.upsert(Hash, [&](SuspectedRequest &S) -> Result<void> {
      if (S.Crashed.size() >= MaxEndpoints)
        return poisonError();
      bool RunsRemotely = Runner != Board_.self().Id;
      if (!S.Crashed.empty() && (S.Running > 0 || RunsRemotely))
        return busyError(Runner);
      ++S.Running;
      return {};
    });
  }

  void ended(Fingerprint Hash) {
    Suspects_.update(Hash, [](SuspectedRequest &S) {
      if (S.Running > 0)
        --S.Running;
    });
    removeIfClear(Hash);
  }

  void succeeded(Fingerprint Hash) {
    bool WasSuspect = false;
    Suspects_.update(Hash, [&](SuspectedRequest &S) {
      if (S.Running > 0)
        --S.Running;
      WasSuspect = !S.Crashed.empty();
      S.Crashed.clear();
      S.Owner = HostId();
      S.SendsLeft = 0;
    });
    removeIfClear(Hash);
    if (WasSuspect)
      report(Hash, {}, 0);
  }

  void crashed(Fingerprint Hash, const EndpointId &Endpoint) {
    TimePoint Now = Runtime_.Now();
    auto Endpoints = Suspects_.upsert(Hash, [&](SuspectedRequest &S) {
      if (S.Running > 0)
        --S.Running;
      if (S.Crashed.empty())
        S.Owner = Board_.self().Id;
      addEndpoint(S, Endpoint);
      S.LastCrash = Now;
      S.SendsLeft = ReportSends - 1;
      S.NextSend = Now + ReportInterval;
      return S.Crashed;
    });
    report(Hash, Endpoints, 0);
  }

  void handle(const messages::Envelope &Message) {
    if (!Message.has_poison_report())
      return;
    const messages::PoisonReport &Report = Message.poison_report();
    TimePoint At = Runtime_.Now() - std::chrono::milliseconds(Report.age_ms());
    if (Report.endpoints().empty()) {
      clearIfOlder(Report.fingerprint(), At);
      return;
    }
    Suspects_.upsert(Report.fingerprint(), [&](SuspectedRequest &S) {
      HostId From(Message.from());
      // When two hosts report crashes of the request, the one with the lower id
      // is the owner on every host.
      if (S.Crashed.empty() || From < S.Owner)
        S.Owner = From;
      for (const std::string &Endpoint : Report.endpoints())
        addEndpoint(S, EndpointId(Endpoint));
      S.LastCrash = std::max(S.LastCrash, At);
    });
  }

  void tick() {
    TimePoint Now = Runtime_.Now();
    Suspects_.eraseIf([&](Fingerprint, const SuspectedRequest &S) {
      return S.Running == 0 && Now - S.LastCrash > Retention;
    });
    resendReports(Now);
  }

private:
  void removeIfClear(Fingerprint Hash) {
    Suspects_.eraseIfMatches(Hash, [](const SuspectedRequest &S) {
      return S.Running == 0 && S.Crashed.empty();
    });
  }

  void clearIfOlder(Fingerprint Hash, TimePoint At) {
    Suspects_.update(Hash, [&](SuspectedRequest &S) {
      if (S.LastCrash > At)
        return;
      S.Crashed.clear();
      S.Owner = HostId();
      S.SendsLeft = 0;
    });
    removeIfClear(Hash);
  }

  void resendReports(TimePoint Now) {
    struct Due {
      Fingerprint Hash;
      std::vector<EndpointId> Endpoints;
      std::uint32_t AgeMillis;
    };
    std::vector<Fingerprint> Hashes;
    Suspects_.forEach([&](Fingerprint Hash, const SuspectedRequest &S) {
      if (S.SendsLeft > 0 && S.NextSend <= Now)
        Hashes.push_back(Hash);
    });
    std::vector<Due> Reports;
    for (Fingerprint Hash : Hashes)
      Suspects_.update(Hash, [&](SuspectedRequest &S) {
        if (S.SendsLeft == 0)
          return;
        --S.SendsLeft;
        S.NextSend = Now + ReportInterval;
        Reports.push_back({Hash, S.Crashed, ageMillis(Now, S.LastCrash)});
      });
    for (const Due &D : Reports)
      report(D.Hash, D.Endpoints, D.AgeMillis);
  }

  bool isServing(const HostId &Host) const {
    if (Host == Board_.self().Id)
      return true;
    auto Peer = Board_.peers().find(Host);
    return Peer && (Peer->State == PeerState::Alive ||
                    Peer->State == PeerState::Suspect);
  }

  /// The one host of the region that may run a suspected request: the owner,
  /// or in its absence the serving host with the lowest id.
  HostId runnerOf(const SuspectedRequest &S) const {
    HostId Runner = Board_.self().Id;
    if (S.Crashed.empty() || isServing(S.Owner))
      return S.Crashed.empty() ? Runner : S.Owner;
    for (const HostId &Host : regionPeers())
      if (Host < Runner && isServing(Host))
        Runner = Host;
    return Runner;
  }

  /// Sends a report to the region's hosts. A report without endpoints clears
  /// the request.
  void report(Fingerprint Hash, const std::vector<EndpointId> &Endpoints,
              std::uint32_t AgeMillis) {
    messages::Envelope Message;
    messages::PoisonReport *Report = Message.mutable_poison_report();
    Report->set_fingerprint(Hash);
    Report->set_age_ms(AgeMillis);
    for (const EndpointId &Endpoint : Endpoints)
      Report->add_endpoints(Endpoint.str());
    for (const HostId &Host : regionPeers())
      Peers_.Send(Host, Message);
  }

  std::vector<HostId> regionPeers() const {
    std::vector<HostId> Hosts;
    Board_.peers().forEach([&](const HostId &Id, const PeerRecord &Peer) {
      if (Peer.Region == Board_.self().Region && Id != Board_.self().Id &&
          Peer.State != PeerState::Dead)
        Hosts.push_back(Id);
    });
    return Hosts;
  }

  Blackboard &Board_;
  Runtime Runtime_;
  PeerHooks Peers_;
  ShardedMap<Fingerprint, SuspectedRequest> Suspects_;
};

PoisonRegistry::PoisonRegistry(Blackboard &Board, Runtime R, PeerHooks Peers)
    : Impl_(std::make_unique<Impl>(Board, std::move(R), std::move(Peers))) {}
PoisonRegistry::~PoisonRegistry() = default;

Result<void> PoisonRegistry::begin(Fingerprint Hash) {
  return Impl_->begin(Hash);
}
void PoisonRegistry::ended(Fingerprint Hash) { Impl_->ended(Hash); }
void PoisonRegistry::succeeded(Fingerprint Hash) { Impl_->succeeded(Hash); }
void PoisonRegistry::crashed(Fingerprint Hash, const EndpointId &Endpoint) {
  Impl_->crashed(Hash, Endpoint);
}
void PoisonRegistry::handle(const messages::Envelope &Message) {
  Impl_->handle(Message);
}
void PoisonRegistry::tick() { Impl_->tick(); }

} // namespace celerybeam
