#include "framework/customerkey.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdint>
#include <optional>

#include "framework/digest.h"

namespace celerybeam {

namespace {

constexpr std::string_view Scheme = "Bearer ";
constexpr std::string_view Prefix = "cbk1.";
constexpr std::size_t MaxCustomerLength = 128;

struct KeyParts {
  std::string_view Customer;
  std::int64_t Expiry = 0;
  /// The part before the signature and its dot.
  std::string_view Signed;
  std::string_view Signature;
};

bool isCustomerName(std::string_view Name) {
  return !Name.empty() && Name.size() <= MaxCustomerLength &&
         std::all_of(Name.begin(), Name.end(), [](unsigned char C) {
           return std::isalnum(C) != 0 || C == '-' || C == '_';
         });
}

std::optional<KeyParts> splitKey(std::string_view Key) {
  if (!Key.starts_with(Prefix))
    return std::nullopt;
  std::size_t CustomerEnd = Key.find('.', Prefix.size());
  if (CustomerEnd == std::string_view::npos)
    return std::nullopt;
  std::size_t ExpiryEnd = Key.find('.', CustomerEnd + 1);
  if (ExpiryEnd == std::string_view::npos)
    return std::nullopt;
  KeyParts Parts;
  Parts.Customer = Key.substr(Prefix.size(), CustomerEnd - Prefix.size());
  std::string_view Expiry =
      Key.substr(CustomerEnd + 1, ExpiryEnd - CustomerEnd - 1);
  const char *End = Expiry.data() + Expiry.size();
  auto [Parsed, Code] = std::from_chars(Expiry.data(), End, Parts.Expiry);
  if (Code != std::errc() || Parsed != End || Parts.Expiry < 0)
    return std::nullopt;
  Parts.Signed = Key.substr(0, ExpiryEnd);
  Parts.Signature = Key.substr(ExpiryEnd + 1);
  if (!isCustomerName(Parts.Customer))
    return std::nullopt;
  return Parts;
}

tl::unexpected<Error> unauthorized(std::string Message) {
  return makeError(ErrorKind::Unauthorized, std::move(Message));
}

} // namespace

class CustomerKeys::Impl {
public:
  bool isSigned(const KeyParts &Parts) const {
    bool Matches = false;
    // Every secret is tried, so that the time does not reveal which one
    // matches.
    for (const std::string &Secret : Secrets_)
      Matches |= equalConstantTime(hmacSha256Hex(Secret, Parts.Signed),
                                   Parts.Signature);
    return Matches;
  }

  std::vector<std::string> Secrets_;
};

CustomerKeys::CustomerKeys(std::vector<std::string> Secrets)
    : Impl_(std::make_unique<Impl>()) {
  Impl_->Secrets_ = std::move(Secrets);
}
CustomerKeys::~CustomerKeys() = default;
CustomerKeys::CustomerKeys(CustomerKeys &&) noexcept = default;
CustomerKeys &CustomerKeys::operator=(CustomerKeys &&) noexcept = default;

Result<CustomerId> CustomerKeys::verify(std::string_view Authorization,
                                        UnixMillis Now) const {
  if (!Authorization.starts_with(Scheme))
    return unauthorized("The request carries no customer key; send the header "
                        "\"Authorization: Bearer KEY\".");
  std::optional<KeyParts> Parts = splitKey(Authorization.substr(Scheme.size()));
  if (!Parts || !Impl_->isSigned(*Parts))
    return unauthorized("The customer key is not valid; ask the operators for "
                        "a new one (celerybeamctl customer-key).");
  if (Parts->Expiry != 0 && Now >= std::chrono::seconds(Parts->Expiry))
    return unauthorized("The customer key has expired; ask the operators for a "
                        "new one (celerybeamctl customer-key).");
  return CustomerId(std::string(Parts->Customer));
}

Result<std::string> CustomerKeys::mint(const CustomerId &Customer,
                                       std::chrono::seconds Expiry) const {
  if (!isCustomerName(Customer.str()))
    return makeError(ErrorKind::BadRequest,
                     "A customer's name has 1 to 128 letters, digits, '-' and "
                     "'_'; choose another name.");
  if (Impl_->Secrets_.empty())
    return makeError(ErrorKind::InvalidSettings,
                     "No customer key secret is given; make one with "
                     "celerybeamctl keygen --customer.");
  std::string Signed = std::string(Prefix) + Customer.str() + "." +
                       std::to_string(Expiry.count());
  return Signed + "." + hmacSha256Hex(Impl_->Secrets_.front(), Signed);
}

} // namespace celerybeam
