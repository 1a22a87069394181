#ifndef CELERYBEAM_CONFIGURATION_TESTS_FLEET_H
#define CELERYBEAM_CONFIGURATION_TESTS_FLEET_H

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "configuration/configurationcontroller.h"
#include "configuration/tableswriter.h"
#include "configuration/tests/fakestore.h"

namespace celerybeam::tests {

/// Some entry hosts on one virtual clock, with a store and a network whose
/// messages can be dropped, duplicated and changed.
class Fleet {
public:
  struct Host {
    Host(HostIdentity Self) : Board(std::move(Self)) {}

    Blackboard Board;
    std::unique_ptr<ConfigurationController> Controller;
    bool Paused = false;
    bool StorePartitioned = false;
    int Adoptions = 0;
    int Refusals = 0;

    Revision inForce() const { return Board.tables()->Number; }
  };

  VirtualTime Time{1};
  FakeStore Store{Time};
  TablesWriter Writer{Store.hooks(), Time.runtime()};
  /// Called with each message before it is sent; when false it is dropped.
  std::function<bool(const HostId &, const HostId &, messages::Envelope &)>
      Passes = [](const auto &, const auto &, auto &) { return true; };
  /// Number of times that each message arrives.
  int Copies = 1;

  /// Adds a host; its id starts with its zone, its zone with its region, as
  /// in region "k", zone "ka", host "ka1".
  Host &add(const std::string &Id) {
    HostIdentity Self;
    Self.Id = HostId(Id);
    Self.Zone = ZoneId(Id.substr(0, 2));
    Self.Region = RegionId(Id.substr(0, 1));
    auto Made = std::make_unique<Host>(Self);
    Host &H = *Made;
    for (auto &[OtherId, Other] : Hosts_) {
      addPeer(H, Other->Board.self());
      addPeer(*Other, Self);
    }
    Hosts_[Self.Id] = std::move(Made);
    PeerHooks Peers;
    Peers.Send = [this, From = Self.Id](const HostId &To,
                                        messages::Envelope Message) {
      Message.set_from(From.str());
      send(From, To, std::move(Message));
    };
    H.Controller = std::make_unique<ConfigurationController>(
        H.Board, Time.runtime(), hooksOf(H), Peers,
        ConfigurationEvents{[&H](Revision) { ++H.Adoptions; },
                            [&H](const Error &) { ++H.Refusals; }});
    tickLater(Self.Id);
    gossipLater(Self.Id);
    return H;
  }

  Host &operator[](const std::string &Id) { return *Hosts_.at(HostId(Id)); }

  std::optional<Result<ApplyOutcome>> apply(const TableRows &Base,
                                            const TableRows &Next) {
    std::optional<Result<ApplyOutcome>> Outcome;
    Writer.apply({Base, Next, "ann"},
                 [&](const Result<ApplyOutcome> &R) { Outcome.emplace(R); });
    Time.runFor(std::chrono::seconds(1));
    return Outcome;
  }

  /// Whether all hosts have the revision in force.
  bool allHave(Revision Number) const {
    for (const auto &[Id, H] : Hosts_)
      if (H->inForce() != Number)
        return false;
    return true;
  }

private:
  static void addPeer(Host &To, const HostIdentity &Who) {
    PeerRecord Peer;
    Peer.Id = Who.Id;
    Peer.Region = Who.Region;
    Peer.Zone = Who.Zone;
    To.Board.peers().set(Who.Id, Peer);
  }

  StoreHooks hooksOf(Host &H) {
    StoreHooks Hooks = Store.hooks();
    auto Guard = [this, &H](auto Call) {
      return [this, &H, Call](auto Argument, auto Done) {
        if (!H.StorePartitioned)
          return Call(Argument, Done);
        Time.after(std::chrono::milliseconds(5), [Done] {
          Done(makeError(ErrorKind::StoreUnreachable, "cut"));
        });
      };
    };
    Hooks.Get = Guard(Hooks.Get);
    Hooks.Watch = Guard(Hooks.Watch);
    return Hooks;
  }

  void send(const HostId &From, const HostId &To, messages::Envelope Message) {
    if (!Hosts_.contains(To) || !Passes(From, To, Message))
      return;
    for (int I = 0; I < Copies; ++I)
      Time.after(std::chrono::milliseconds(20 + 70 * I), [=, this] {
        if (!Hosts_[To]->Paused)
          Hosts_[To]->Controller->handle(Message);
      });
  }

  void tickLater(const HostId &Id) {
    Time.after(ConfigurationController::TickInterval, [=, this] {
      if (!Hosts_[Id]->Paused)
        Hosts_[Id]->Controller->tick();
      tickLater(Id);
    });
  }

  void gossipLater(const HostId &Id) {
    Time.after(std::chrono::seconds(1), [=, this] {
      messages::Envelope Message;
      Message.set_from(Id.str());
      Message.mutable_gossip()->set_revision_in_force(Hosts_[Id]->inForce());
      for (const auto &[Other, H] : Hosts_)
        if (Other != Id && !Hosts_[Id]->Paused)
          send(Id, Other, Message);
      gossipLater(Id);
    });
  }

  std::map<HostId, std::unique_ptr<Host>> Hosts_;
};

} // namespace celerybeam::tests

#endif
