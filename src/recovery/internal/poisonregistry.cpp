#include "recovery/poisonregistry.h"

#include <algorithm>
#include <string>
#include <vector>

#include "framework/shardedmap.h"
#include "framework/stablehash.h"

namespace celerybeam {

namespace {

/// When a caller whose request runs elsewhere may ask again.
constexpr std::chrono::milliseconds BusyRetryAfter{1000};
/// Reports may be lost: each crash is told this often.
constexpr unsigned ReportSends = 3;
constexpr Duration ReportInterval = std::chrono::seconds(1);

struct Suspect {
  std::vector<EndpointId> Crashed;
  /// The host that saw the first crash; it alone runs the request again.
  HostId Owner;
  TimePoint LastCrash{};
  unsigned Running = 0;
  unsigned SendsLeft = 0;
  TimePoint NextSend{};
};

bool addEndpoint(Suspect &S, const EndpointId &Endpoint) {
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

tl::unexpected<Error> refusePoison() {
  return makeError(ErrorKind::PoisonRequest,
                   "Endpoints crashed while they ran this request; it is not "
                   "run again. Change the request before sending it.");
}

tl::unexpected<Error> refuseBusy(const HostId &Owner) {
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
  Fingerprint Print = stableHash(Customer.str());
  Print = stableHash(Model.str(), Print);
  return stableHash(Body, Print);
}

class PoisonRegistry::Impl {
public:
  Impl(Blackboard &Board, Runtime R, PeerHooks Peers)
      : Board_(Board), Runtime_(std::move(R)), Peers_(std::move(Peers)) {}

  Result<void> begin(Fingerprint Print) {
    Suspect Before = Suspects_.find(Print).value_or(Suspect());
    // Judged outside the shard's lock, which must not call the peers' board.
    HostId Runner = runnerOf(Before);
    return Suspects_.upsert(Print, [&](Suspect &S) -> Result<void> {
      if (S.Crashed.size() >= MaxEndpoints)
        return refusePoison();
      bool Elsewhere = Runner != Board_.self().Id;
      if (!S.Crashed.empty() && (S.Running > 0 || Elsewhere))
        return refuseBusy(Runner);
      ++S.Running;
      return {};
    });
  }

  void ended(Fingerprint Print) {
    Suspects_.update(Print, [](Suspect &S) {
      if (S.Running > 0)
        --S.Running;
    });
    dropIfUnsuspected(Print);
  }

  void succeeded(Fingerprint Print) {
    bool WasSuspect = false;
    Suspects_.update(Print, [&](Suspect &S) {
      if (S.Running > 0)
        --S.Running;
      WasSuspect = !S.Crashed.empty();
      S.Crashed.clear();
      S.Owner = HostId();
      S.SendsLeft = 0;
    });
    dropIfUnsuspected(Print);
    if (WasSuspect)
      report(Print, {}, 0);
  }

  void crashed(Fingerprint Print, const EndpointId &Endpoint) {
    TimePoint Now = Runtime_.Now();
    auto Endpoints = Suspects_.upsert(Print, [&](Suspect &S) {
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
    report(Print, Endpoints, 0);
  }

  void handle(const messages::Envelope &Message) {
    if (!Message.has_poison_report())
      return;
    const messages::PoisonReport &Report = Message.poison_report();
    TimePoint At = Runtime_.Now() - std::chrono::milliseconds(Report.age_ms());
    if (Report.endpoints().empty()) {
      clearReported(Report.fingerprint(), At);
      return;
    }
    Suspects_.upsert(Report.fingerprint(), [&](Suspect &S) {
      HostId From(Message.from());
      // Of two hosts that saw the same crash, all keep the lower id.
      if (S.Crashed.empty() || From < S.Owner)
        S.Owner = From;
      for (const std::string &Endpoint : Report.endpoints())
        addEndpoint(S, EndpointId(Endpoint));
      S.LastCrash = std::max(S.LastCrash, At);
    });
  }

  void tick() {
    TimePoint Now = Runtime_.Now();
    Suspects_.eraseIf([&](Fingerprint, const Suspect &S) {
      return S.Running == 0 && Now - S.LastCrash > Retention;
    });
    resendReports(Now);
  }

private:
  void dropIfUnsuspected(Fingerprint Print) {
    Suspects_.eraseIfMatches(Print, [](const Suspect &S) {
      return S.Running == 0 && S.Crashed.empty();
    });
  }

  void clearReported(Fingerprint Print, TimePoint At) {
    Suspects_.update(Print, [&](Suspect &S) {
      if (S.LastCrash > At)
        return;
      S.Crashed.clear();
      S.Owner = HostId();
      S.SendsLeft = 0;
    });
    dropIfUnsuspected(Print);
  }

  void resendReports(TimePoint Now) {
    struct Due {
      Fingerprint Print;
      std::vector<EndpointId> Endpoints;
      std::uint32_t AgeMillis;
    };
    std::vector<Fingerprint> Prints;
    Suspects_.forEach([&](Fingerprint Print, const Suspect &S) {
      if (S.SendsLeft > 0 && S.NextSend <= Now)
        Prints.push_back(Print);
    });
    std::vector<Due> Reports;
    for (Fingerprint Print : Prints)
      Suspects_.update(Print, [&](Suspect &S) {
        if (S.SendsLeft == 0)
          return;
        --S.SendsLeft;
        S.NextSend = Now + ReportInterval;
        Reports.push_back({Print, S.Crashed, ageMillis(Now, S.LastCrash)});
      });
    for (const Due &D : Reports)
      report(D.Print, D.Endpoints, D.AgeMillis);
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
  HostId runnerOf(const Suspect &S) const {
    HostId Runner = Board_.self().Id;
    if (S.Crashed.empty() || isServing(S.Owner))
      return S.Crashed.empty() ? Runner : S.Owner;
    for (const HostId &Host : regionPeers())
      if (Host < Runner && isServing(Host))
        Runner = Host;
    return Runner;
  }

  /// Without endpoints the report clears the request.
  void report(Fingerprint Print, const std::vector<EndpointId> &Endpoints,
              std::uint32_t AgeMillis) {
    messages::Envelope Message;
    messages::PoisonReport *Report = Message.mutable_poison_report();
    Report->set_fingerprint(Print);
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
  ShardedMap<Fingerprint, Suspect> Suspects_;
};

PoisonRegistry::PoisonRegistry(Blackboard &Board, Runtime R, PeerHooks Peers)
    : Impl_(std::make_unique<Impl>(Board, std::move(R), std::move(Peers))) {}
PoisonRegistry::~PoisonRegistry() = default;

Result<void> PoisonRegistry::begin(Fingerprint Print) {
  return Impl_->begin(Print);
}
void PoisonRegistry::ended(Fingerprint Print) { Impl_->ended(Print); }
void PoisonRegistry::succeeded(Fingerprint Print) { Impl_->succeeded(Print); }
void PoisonRegistry::crashed(Fingerprint Print, const EndpointId &Endpoint) {
  Impl_->crashed(Print, Endpoint);
}
void PoisonRegistry::handle(const messages::Envelope &Message) {
  Impl_->handle(Message);
}
void PoisonRegistry::tick() { Impl_->tick(); }

} // namespace celerybeam
