#include "platform/platformclient.h"

#include <future>

#include <boost/test/unit_test.hpp>

#include "fakes/fakeplatform.h"
#include "httpclient/tests/awaited.h"

using namespace celerybeam;
using namespace celerybeam::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const StoreKey Key("config/head of all");
const std::string UnreachableAddress = "http://127.0.0.1:1";

const std::string Hosts = R"({
  "entry_hosts": [
    {"id": "k1", "caller_address": "127.0.0.1:80",
     "peer_address": "127.0.0.1:81", "region": "kigali", "zone": "kigali-a",
     "leaving": true},
    {"id": "k2"}],
  "endpoints": [
    {"id": "m1", "address": "127.0.0.1:90", "region": "kigali",
     "zone": "kigali-a", "kind": "engine", "label": "cedar", "slots": 4,
     "leaving": false},
    {"id": "m2", "address": "127.0.0.1:90", "region": "kigali",
     "zone": "kigali-a", "kind": "typewriter", "label": "cedar"}]})";

struct Fixture {
  explicit Fixture(const std::vector<std::string> &Before = {})
      : Fake(0, Hosts) {
    PlatformClientOptions Settings;
    Settings.Addresses = Before;
    Settings.Addresses.push_back("http://" + Fake.address());
    Settings.CallTimeout = seconds(20);
    Client = std::make_unique<PlatformClient>(Http, Settings);
    Store = Client->hooks();
  }

  Result<StoreVersion> put(std::string Data, StoreVersion Expected,
                           std::optional<LeaseId> Lease = std::nullopt) {
    Awaited<StoreVersion> A;
    Store.Put({Key, std::move(Data), Expected, std::move(Lease)},
              A.completion());
    return A.get();
  }
  Result<StoreValue> get() {
    Awaited<StoreValue> A;
    Store.Get(Key, A.completion());
    return A.get();
  }
  Result<StoreValue> watch(StoreVersion After, Duration Wait) {
    Awaited<StoreValue> A;
    Store.Watch({Key, After, Wait}, A.completion());
    return A.get();
  }
  Result<StoreLease> grant(Duration TimeToLive) {
    Awaited<StoreLease> A;
    Store.GrantLease(TimeToLive, A.completion());
    return A.get();
  }
  void setMode(const std::string &Mode) {
    request(Http, "PUT", Fake.address(), "/control/mode?mode=" + Mode);
  }

  fakes::FakePlatform Fake;
  HttpClient Http;
  std::unique_ptr<PlatformClient> Client;
  StoreHooks Store;
};

struct FailoverFixture : Fixture {
  FailoverFixture() : Fixture(std::vector<std::string>{UnreachableAddress}) {}
};

} // namespace

BOOST_AUTO_TEST_SUITE(PlatformClientTests)

BOOST_FIXTURE_TEST_CASE(writesReplaceOnlyTheExpectedVersion, Fixture) {
  BOOST_TEST((errorOf(get()) == ErrorKind::NotFound));
  BOOST_TEST(put("one", 0).value() == 1);
  BOOST_TEST((errorOf(put("two", 0)) == ErrorKind::StoreConflict));
  BOOST_TEST(put("two", 1).value() == 2);
  BOOST_TEST(get().value().Data == "two");
  BOOST_TEST(get().value().Version == 2);
  BOOST_TEST(put("", 2).value() == 3);
  BOOST_TEST(get().value().Data.empty());
}

BOOST_FIXTURE_TEST_CASE(valueAboveTheLimitIsRefused, Fixture) {
  std::string Large(1024 * 1024 + 1, 'x');
  BOOST_TEST((errorOf(put(Large, 0)) == ErrorKind::BodyTooLarge));
  Large.pop_back();
  BOOST_TEST(put(Large, 0).value() == 1);
  BOOST_TEST((get().value().Data == Large));
}

BOOST_FIXTURE_TEST_CASE(watchReturnsAfterAWriteAndAfterItsWait, Fixture) {
  Awaited<StoreValue> A;
  Store.Watch({Key, 0, seconds(20)}, A.completion());
  put("one", 0);
  BOOST_TEST(A.get().value().Data == "one");
  Result<StoreValue> Current = watch(1, milliseconds(1));
  BOOST_TEST(Current.value().Data == "one");
  BOOST_TEST(Current.value().Version == 1);
}

BOOST_FIXTURE_TEST_CASE(watchOfAMissingKeyEndsWithoutAValue, Fixture) {
  Result<StoreValue> Missing = watch(0, milliseconds(1));
  BOOST_TEST(Missing.value().Version == 0);
}

BOOST_FIXTURE_TEST_CASE(valueIsRemovedWithItsLease, Fixture) {
  StoreLease Lease = grant(seconds(60)).value();
  BOOST_TEST((Lease.TimeToLive == seconds(60)));
  put("held", 0, Lease.Id);
  Awaited<StoreLease> Renewed;
  Store.RenewLease(Lease.Id, Renewed.completion());
  BOOST_TEST(Renewed.get().value().Id == Lease.Id);
  Awaited<void> Released;
  Store.ReleaseLease(Lease.Id, Released.completion());
  BOOST_TEST(Released.get().has_value());
  BOOST_TEST((errorOf(watch(1, seconds(20))) == ErrorKind::NotFound));
  BOOST_TEST((errorOf(put("x", 0, Lease.Id)) == ErrorKind::LeaseLost));
  Awaited<StoreLease> Ended;
  Store.RenewLease(Lease.Id, Ended.completion());
  BOOST_TEST((errorOf(Ended.get()) == ErrorKind::LeaseLost));
  // Removing the value increased the version, and so does this write.
  BOOST_TEST(put("again", 0).value() == 3);
}

BOOST_FIXTURE_TEST_CASE(expiredLeaseRemovesItsValue, Fixture) {
  StoreLease Lease = grant(milliseconds(300)).value();
  BOOST_REQUIRE(put("held", 0, Lease.Id).has_value());
  BOOST_TEST((errorOf(watch(1, seconds(20))) == ErrorKind::NotFound));
}

BOOST_FIXTURE_TEST_CASE(lostReplyMakesTheOutcomeOfAWriteUnknown, Fixture) {
  setMode("lose-replies");
  BOOST_TEST((errorOf(put("one", 0)) == ErrorKind::StoreOutcomeUnknown));
  BOOST_TEST((errorOf(grant(seconds(1))) == ErrorKind::StoreOutcomeUnknown));
  BOOST_TEST((errorOf(get()) == ErrorKind::StoreUnreachable));
  setMode("ok");
  BOOST_TEST(get().value().Data == "one");
  BOOST_TEST(Client->counts().Puts == 1);
}

BOOST_FIXTURE_TEST_CASE(failingServiceMakesOnlyWritesUnknown, Fixture) {
  setMode("down");
  BOOST_TEST((errorOf(put("one", 0)) == ErrorKind::StoreOutcomeUnknown));
  BOOST_TEST((errorOf(get()) == ErrorKind::StoreUnreachable));
  BOOST_TEST((errorOf(watch(0, seconds(1))) == ErrorKind::StoreUnreachable));
}

BOOST_AUTO_TEST_CASE(writeToAnUnreachableServiceHasNoEffect) {
  HttpClient Http;
  for (const std::vector<std::string> &Addresses :
       {std::vector<std::string>{UnreachableAddress, UnreachableAddress}, {}}) {
    PlatformClientOptions Settings;
    Settings.Addresses = Addresses;
    PlatformClient Client(Http, Settings);
    Awaited<StoreVersion> A;
    Client.hooks().Put({Key, "one", 0}, A.completion());
    BOOST_TEST((errorOf(A.get()) == ErrorKind::StoreUnreachable));
  }
}

BOOST_FIXTURE_TEST_CASE(nextAddressIsTriedAndKept, FailoverFixture) {
  BOOST_TEST(put("one", 0).value() == 1);
  BOOST_TEST(Client->counts().Puts == 2);
  BOOST_TEST(get().value().Data == "one");
  BOOST_TEST(Client->counts().Gets == 1);
  BOOST_TEST(Client->counts().Failures == 1);
}

BOOST_FIXTURE_TEST_CASE(listSkipsUnreadableRows, Fixture) {
  Awaited<PlatformList> A;
  Client->list(A.completion());
  PlatformList List = A.get().value();
  BOOST_REQUIRE(List.EntryHosts.size() == 1);
  BOOST_TEST(List.EntryHosts[0].Id == HostId("k1"));
  BOOST_TEST(List.EntryHosts[0].Leaving);
  BOOST_REQUIRE(List.Endpoints.size() == 1);
  const EndpointDescriptor &D = List.Endpoints[0].Descriptor;
  BOOST_TEST(D.Where == Address("127.0.0.1:90"));
  BOOST_TEST((D.Kind == PoolKind::Engine));
  BOOST_TEST(D.Slots == 4);
  BOOST_TEST(Client->counts().UnreadableRows == 2);
}

BOOST_AUTO_TEST_CASE(tokenIsSentAndErrorStatusesAreMapped) {
  std::atomic<int> Status{401};
  std::promise<std::string> Seen;
  std::once_flag Once;
  fakes::FakeServer Server(0, [&](const fakes::FakeRequest &R) {
    std::call_once(Once, [&] { Seen.set_value(R.header("authorization")); });
    fakes::FakeReply Reply;
    Reply.Status = Status;
    return Reply;
  });
  HttpClient Http;
  PlatformClientOptions Settings;
  Settings.Addresses = {"http://" + Server.address()};
  Settings.Token = "secret";
  PlatformClient Client(Http, Settings);
  auto Put = [&](int ResponseStatus) {
    Status = ResponseStatus;
    Awaited<StoreVersion> A;
    Client.hooks().Put({Key, "one", 0}, A.completion());
    return errorOf(A.get());
  };
  BOOST_TEST((Put(401) == ErrorKind::StoreUnreachable));
  BOOST_TEST(Seen.get_future().get() == "Bearer secret");
  BOOST_TEST((Put(429) == ErrorKind::StoreUnreachable));
  BOOST_TEST((Put(400) == ErrorKind::StoreUnreachable));
  BOOST_TEST((Put(502) == ErrorKind::StoreOutcomeUnknown));
  // The write may have taken effect, but the response has no version.
  BOOST_TEST((Put(200) == ErrorKind::StoreOutcomeUnknown));
}

BOOST_AUTO_TEST_CASE(completionsOutliveTheClient) {
  fakes::FakePlatform Fake(0, Hosts);
  Awaited<StoreValue> A;
  {
    HttpClient Http;
    PlatformClientOptions Settings;
    Settings.Addresses = {"http://" + Fake.address()};
    PlatformClient(Http, Settings)
        .hooks()
        .Watch({Key, 0, seconds(20)}, A.completion());
  }
  BOOST_TEST((errorOf(A.get()) == ErrorKind::StoreUnreachable));
}

BOOST_AUTO_TEST_SUITE_END()
