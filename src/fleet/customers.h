#ifndef CELERYBEAM_FLEET_CUSTOMERS_H
#define CELERYBEAM_FLEET_CUSTOMERS_H

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "fleet/homeregions.h"
#include "framework/customerkey.h"

namespace celerybeam {

/// SHA-256 digest of a customer's key. Keys themselves are neither kept nor
/// compared, so that none can reach a log and no comparison tells how much of a
/// guessed key is right.
struct KeyDigest {
  std::array<std::uint8_t, 32> Bytes{};

  bool operator==(const KeyDigest &) const = default;

  /// In lower-case hexadecimal, for messages between entry hosts.
  std::string hex() const;
  /// Unset when the text is no digest.
  static std::optional<KeyDigest> fromHex(std::string_view Text);
};

KeyDigest digestOfKey(std::string_view Key);

/// What a customer's limit counts.
enum class LimitUnit { Requests, Tokens };

/// The limit of a customer over all entry hosts.
struct CustomerLimit {
  LimitUnit Unit = LimitUnit::Requests;
  /// Units per second. Zero lets nothing pass.
  double PerSecond = 0;
  /// Units beyond the rate that may come at once.
  double Burst = 0;
  /// Tokens that a request without a number of tokens counts as.
  std::uint32_t PlainTokens = 0;
};

/// A customer of the operator's configuration.
struct Customer {
  CustomerId Name;
  /// Empty in a CustomerTable, which finds customers by key.
  std::vector<KeyDigest> Keys;
  /// 0 is the most urgent; precedes the route's rank.
  unsigned Rank = 0;
  /// Unset when there is none.
  std::optional<CustomerLimit> Limit;
  HomeRegions Homes;
};

/// Greatest part of a combined rank that the customer's or the route's rank can
/// have; see CustomerTable::combinedRank.
inline constexpr unsigned MaxPartialRank = 15;
/// The customer's part of a combined rank.
constexpr unsigned customerRankOf(unsigned CombinedRank) {
  return CombinedRank / (MaxPartialRank + 1);
}

/// A problem of one entry of the configuration, which costs only this entry its
/// effect. Names no key.
struct CustomerProblem {
  /// Empty when the entry has no name.
  CustomerId Name;
  std::string Field;
  std::string Text;
};

/// The customers of a configuration, by key and by name. Immutable.
class CustomerTable {
public:
  /// A key that several customers hold finds none of them; of customers with
  /// the same name, the first has effect.
  explicit CustomerTable(std::vector<Customer> Customers,
                         std::vector<CustomerProblem> Problems = {});

  /// The customer that holds the key, or null.
  const Customer *findByKey(const KeyDigest &Key) const;
  const Customer *find(const CustomerId &Name) const;

  /// Rank of a customer's requests on a route. The customer's rank precedes the
  /// route's. It counts from the most urgent customer, so that ranks are those
  /// of the routes where all customers are equal.
  unsigned combinedRank(const Customer &Of, unsigned RouteRank) const;

  std::size_t size() const { return Customers_.size(); }
  const std::vector<CustomerProblem> &problems() const { return Problems_; }

private:
  struct DigestHash {
    std::size_t operator()(const KeyDigest &Key) const noexcept;
  };

  void addKeys(std::size_t Index);

  std::vector<Customer> Customers_;
  std::vector<CustomerProblem> Problems_;
  unsigned MostUrgentRank_ = 0;
  std::map<CustomerId, std::size_t> ByName_;
  /// Indexes into Customers_; NoCustomer for a key that several hold.
  std::unordered_map<KeyDigest, std::uint32_t, DigestHash> ByKey_;
  static constexpr std::uint32_t NoCustomer = UINT32_MAX;
};

using CustomerTablePtr = std::shared_ptr<const CustomerTable>;

} // namespace celerybeam

#endif
