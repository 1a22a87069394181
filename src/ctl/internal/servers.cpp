#include "ctl/servers.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "ctl/platformstore.h"
#include "settings/addresstext.h"
#include "settings/secretfile.h"

namespace celerybeam::ctl {

namespace {

constexpr std::uint32_t DefaultTimeoutSeconds = 5;
constexpr long MinSuccessStatus = 200;
constexpr long MaxSuccessStatus = 299;

/// Names of the options and environment variables for access to a server.
struct AccessNames {
  std::string Address;
  std::string AddressVariable;
  std::string TokenFile;
  std::string TokenVariable;
  std::string CaFile;
};

const AccessNames &operatorNames() {
  static const AccessNames Names = {
      "operator", "CELERYBEAM_OPERATOR", "token-file",
      "CELERYBEAM_OPERATOR_TOKEN_FILE", "ca-file"};
  return Names;
}

const AccessNames &platformNames() {
  static const AccessNames Names = {
      "platform", "CELERYBEAM_PLATFORM", "platform-token-file",
      "CELERYBEAM_PLATFORM_TOKEN_FILE", "platform-ca-file"};
  return Names;
}

void addAccessOptions(po::options_description &Options,
                      const AccessNames &Names, const std::string &What) {
  std::string AddressHelp = "address of " + What + ", several with commas (" +
                            Names.AddressVariable + ")";
  std::string TokenHelp =
      "file with the token for it (" + Names.TokenVariable + ")";
  std::string CaHelp = "certificate authority for it; plain HTTP without";
  Options.add_options()(Names.Address.c_str(), po::value<std::string>(),
                        AddressHelp.c_str())(
      Names.TokenFile.c_str(), po::value<std::string>(), TokenHelp.c_str())(
      Names.CaFile.c_str(), po::value<std::string>(), CaHelp.c_str());
  if (Options.find_nothrow("timeout", false) == nullptr)
    Options.add_options()(
        "timeout",
        po::value<std::uint32_t>()->default_value(DefaultTimeoutSeconds),
        "seconds to wait for a response");
}

std::string optionOrVariable(const Invocation &I, const std::string &Option,
                             const std::string &Variable) {
  std::string Text = I.text(Option);
  if (!Text.empty())
    return Text;
  const char *Value = std::getenv(Variable.c_str());
  return Value ? Value : "";
}

Result<std::vector<Address>> parseAddresses(const std::string &Text) {
  std::vector<Address> Addresses;
  std::size_t Begin = 0;
  while (Begin <= Text.size()) {
    std::size_t End = std::min(Text.find(',', Begin), Text.size());
    std::string Item = Text.substr(Begin, End - Begin);
    if (!parseAddress(Item))
      return makeError(ErrorKind::BadRequest,
                       "\"" + Item +
                           "\" is no address; give an IP number and "
                           "a port, as in 10.0.0.1:8081.");
    Addresses.emplace_back(std::move(Item));
    Begin = End + 1;
  }
  return Addresses;
}

Result<ServerAccess> accessFrom(const Invocation &I, const AccessNames &Names) {
  std::string Text = optionOrVariable(I, Names.Address, Names.AddressVariable);
  if (Text.empty())
    return makeError(ErrorKind::BadRequest,
                     "No address is given; add --" + Names.Address +
                         " IP:PORT or set " + Names.AddressVariable + ".");
  Result<std::vector<Address>> Addresses = parseAddresses(Text);
  if (!Addresses)
    return tl::make_unexpected(Addresses.error());
  ServerAccess Access;
  Access.Addresses = std::move(*Addresses);
  Access.CaFile = I.text(Names.CaFile);
  Access.Timeout =
      std::chrono::seconds(I.Options["timeout"].as<std::uint32_t>());
  std::string TokenFile =
      optionOrVariable(I, Names.TokenFile, Names.TokenVariable);
  if (TokenFile.empty())
    return Access;
  Result<std::string> Token = readSecretFile(TokenFile);
  if (!Token)
    return tl::make_unexpected(Token.error());
  Access.Token = std::move(*Token);
  return Access;
}

/// Returns the message in the JSON of an error response, or else a message with
/// its status.
Error errorFromResponse(const HttpResponse &Response) {
  Json Parsed = Json::parse(Response.Body, nullptr, false);
  std::string Message = "the host answers with status " +
                        std::to_string(Response.Status) +
                        "; see its log for the reason";
  if (Parsed.is_object() && Parsed.contains("error"))
    Message = Parsed["error"].value("message", Message);
  return {ErrorKind::Internal, Message};
}

} // namespace

void addOperatorOptions(po::options_description &Options) {
  addAccessOptions(Options, operatorNames(),
                   "an entry host's operators' interface");
}

void addPlatformOptions(po::options_description &Options) {
  addAccessOptions(Options, platformNames(),
                   "the platform's key-value service");
}

std::string authorOf(const Invocation &I) {
  std::string Author = optionOrVariable(I, "author", "USER");
  return Author.empty() ? "unknown" : Author;
}

OperatorClient::OperatorClient(ServerAccess Access)
    : Client_(std::make_unique<HttpClient>(std::move(Access))) {}

Result<OperatorClient> OperatorClient::fromOptions(const Invocation &I) {
  Result<ServerAccess> Access = accessFrom(I, operatorNames());
  if (!Access)
    return tl::make_unexpected(Access.error());
  return OperatorClient(std::move(*Access));
}

Result<Json> OperatorClient::call(const std::string &Method,
                                  const std::string &Target) {
  Result<HttpResponse> Response = Client_->send({Method, Target, ""});
  if (!Response)
    return tl::make_unexpected(Response.error());
  if (Response->Status < MinSuccessStatus ||
      Response->Status > MaxSuccessStatus)
    return tl::make_unexpected(errorFromResponse(*Response));
  Json Parsed = Json::parse(Response->Body, nullptr, false);
  if (!Parsed.is_object())
    return makeError(ErrorKind::Internal,
                     "The answer is no JSON object; check that the address is "
                     "that of an operators' interface.");
  return Parsed;
}

PlatformTables::PlatformTables(ServerAccess Access)
    : Writer_(
          platformStore(std::make_shared<HttpClient>(std::move(Access)), Loop_),
          Loop_.runtime()) {}

Result<std::unique_ptr<PlatformTables>>
PlatformTables::fromOptions(const Invocation &I) {
  Result<ServerAccess> Access = accessFrom(I, platformNames());
  if (!Access)
    return tl::make_unexpected(Access.error());
  return std::unique_ptr<PlatformTables>(
      new PlatformTables(std::move(*Access)));
}

Result<StoredTables> PlatformTables::read() {
  return Loop_.await<StoredTables>([&](auto Done) { Writer_.read(Done); });
}

Result<TablesRevision> PlatformTables::readRecord(const ChunkId &Record) {
  return Loop_.await<TablesRevision>(
      [&](auto Done) { Writer_.readRecord(Record, Done); });
}

Result<StoredTables> PlatformTables::readRevision(Revision Number) {
  Result<StoredTables> Newest = read();
  if (!Newest || Newest->Mark.Number == Number)
    return Newest;
  tl::unexpected<Error> Absent = makeError(
      ErrorKind::NotFound, "There is no revision " + std::to_string(Number) +
                               "; celerybeamctl history lists them.");
  if (Number == 0 || Number > Newest->Mark.Number)
    return Absent;
  Result<std::vector<RevisionMark>> Marks =
      history(Newest->Mark.Number - Number + 1);
  if (!Marks)
    return tl::make_unexpected(Marks.error());
  auto It = std::find_if(Marks->begin(), Marks->end(),
                         [&](const auto &M) { return M.Number == Number; });
  if (It == Marks->end())
    return Absent;
  Result<TablesRevision> Content = readRecord(It->Record);
  if (!Content)
    return tl::make_unexpected(Content.error());
  return StoredTables{std::move(*Content), *It};
}

Result<ApplyOutcome> PlatformTables::apply(const ApplyRequest &Request) {
  return Loop_.await<ApplyOutcome>(
      [&](auto Done) { Writer_.apply(Request, Done); });
}

Result<ApplyOutcome> PlatformTables::rollback(Revision To,
                                              const std::string &Author) {
  return Loop_.await<ApplyOutcome>(
      [&](auto Done) { Writer_.rollback(To, Author, Done); });
}

Result<std::vector<RevisionMark>> PlatformTables::history(std::size_t Limit) {
  return Loop_.await<std::vector<RevisionMark>>(
      [&](auto Done) { Writer_.history(Limit, Done); });
}

} // namespace celerybeam::ctl
