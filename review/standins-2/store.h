#ifndef CELERYBEAM_REVIEW_STORE_H
#define CELERYBEAM_REVIEW_STORE_H

#include <condition_variable>
#include <cstdint>

#include <nlohmann/json.hpp>

#include "wire.h"

namespace celerybeam::review {

/// The platform's store: keys, revisions, watches and leases, as the users'
/// pages describe them.
class Store {
public:
  explicit Store(const std::string &Address);
  ~Store();

  void put(const std::string &Key, const nlohmann::json &Value);
  void remove(const std::string &Key);

private:
  struct Item {
    std::string Value;
    std::uint64_t Revision = 0;
    std::uint64_t Created = 0;
    std::uint64_t Lease = 0;
  };

  void serve(Connection &Peer);
  std::pair<unsigned, nlohmann::json> answer(const Message &Request);
  nlohmann::json range(const std::string &Target);
  nlohmann::json watch(const std::string &Target);
  std::pair<unsigned, nlohmann::json> transact(const std::string &Body);
  std::pair<unsigned, nlohmann::json> leaseCall(const Message &Request);
  /// Ends the leases that have run out, with their keys.
  void dropEnded();
  void endLease(std::uint64_t Lease);
  void write(const std::string &Key, const std::string &Value,
             std::uint64_t Lease);
  void erase(const std::string &Key);
  nlohmann::json itemOf(const std::string &Key, const Item &What) const;

  std::mutex Mutex_;
  std::condition_variable Changed_;
  bool Stops_ = false;
  std::uint64_t Revision_ = 1;
  struct Lease {
    Millis TimeToLive{};
    Clock::time_point EndsAt{};
  };

  std::uint64_t LastLease_ = 100;
  std::map<std::uint64_t, Lease> Leases_;
  std::map<std::string, Item> Items_;
  std::vector<nlohmann::json> History_;
  std::unique_ptr<Listener> Listener_;
};

} // namespace celerybeam::review

#endif
