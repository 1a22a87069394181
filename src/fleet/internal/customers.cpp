#include "fleet/customers.h"

#include <algorithm>
#include <charconv>
#include <cstring>

#include "framework/digest.h"

namespace celerybeam {

std::string KeyDigest::hex() const {
  static constexpr std::string_view Digits = "0123456789abcdef";
  std::string Text;
  Text.reserve(2 * Bytes.size());
  for (std::uint8_t Byte : Bytes) {
    Text.push_back(Digits[Byte >> 4U]);
    Text.push_back(Digits[Byte & 0xFU]);
  }
  return Text;
}

std::optional<KeyDigest> KeyDigest::fromHex(std::string_view Text) {
  constexpr int Hexadecimal = 16;
  KeyDigest Digest;
  if (Text.size() != 2 * Digest.Bytes.size())
    return std::nullopt;
  for (std::size_t I = 0; I < Digest.Bytes.size(); ++I) {
    const char *At = Text.data() + 2 * I;
    auto Read = std::from_chars(At, At + 2, Digest.Bytes[I], Hexadecimal);
    if (Read.ec != std::errc() || Read.ptr != At + 2)
      return std::nullopt;
  }
  return Digest;
}

KeyDigest digestOfKey(std::string_view Key) { return {sha256(Key)}; }

CustomerTable::CustomerTable(std::vector<Customer> Customers,
                             std::vector<CustomerProblem> Problems)
    : Customers_(std::move(Customers)), Problems_(std::move(Problems)) {
  if (!Customers_.empty())
    MostUrgentRank_ =
        std::min_element(Customers_.begin(), Customers_.end(),
                         [](const Customer &A, const Customer &B) {
                           return A.Rank < B.Rank;
                         })
            ->Rank;
  for (std::size_t I = 0; I < Customers_.size(); ++I) {
    if (!ByName_.try_emplace(Customers_[I].Name, I).second) {
      Problems_.push_back(
          {Customers_[I].Name, "name", "an earlier entry has the name"});
      continue;
    }
    addKeys(I);
    // The map holds them.
    Customers_[I].Keys.clear();
    Customers_[I].Keys.shrink_to_fit();
  }
}

void CustomerTable::addKeys(std::size_t Index) {
  for (const KeyDigest &Key : Customers_[Index].Keys) {
    auto [It, New] = ByKey_.try_emplace(Key, Index);
    if (New || It->second == Index)
      continue;
    It->second = NoCustomer;
    Problems_.push_back(
        {Customers_[Index].Name, "keys", "another customer holds a key too"});
  }
}

const Customer *CustomerTable::findByKey(const KeyDigest &Key) const {
  auto Found = ByKey_.find(Key);
  return Found == ByKey_.end() || Found->second == NoCustomer
             ? nullptr
             : &Customers_[Found->second];
}

const Customer *CustomerTable::find(const CustomerId &Name) const {
  auto Found = ByName_.find(Name);
  return Found == ByName_.end() ? nullptr : &Customers_[Found->second];
}

unsigned CustomerTable::combinedRank(const Customer &Of,
                                     unsigned RouteRank) const {
  unsigned Relative = Of.Rank - std::min(Of.Rank, MostUrgentRank_);
  return std::min(Relative, MaxPartialRank) * (MaxPartialRank + 1) +
         std::min(RouteRank, MaxPartialRank);
}

std::size_t
CustomerTable::DigestHash::operator()(const KeyDigest &Key) const noexcept {
  std::size_t Hash = 0;
  std::memcpy(&Hash, Key.Bytes.data(), sizeof Hash);
  return Hash;
}

} // namespace celerybeam
