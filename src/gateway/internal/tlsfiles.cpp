#include "gateway/internal/tlsfiles.h"

#include <fstream>
#include <iterator>

namespace celerybeam {

namespace {

Result<std::string> readFile(const std::string &Name) {
  std::ifstream In(Name, std::ios::binary);
  std::string Text{std::istreambuf_iterator<char>(In), {}};
  if (!In || Text.empty())
    return makeError(ErrorKind::InvalidSettings,
                     "The file \"" + Name +
                         "\" cannot be read or is empty; name a PEM file in "
                         "the TLS settings that this process may read.");
  return Text;
}

} // namespace

Result<std::optional<TlsMaterial>> readTlsFiles(const TlsFiles &Files) {
  if (Files.CertificateFile.empty() && Files.KeyFile.empty())
    return std::nullopt;
  auto Certificate = readFile(Files.CertificateFile);
  if (!Certificate)
    return tl::unexpected<Error>(Certificate.error());
  auto Key = readFile(Files.KeyFile);
  if (!Key)
    return tl::unexpected<Error>(Key.error());
  return TlsMaterial{std::move(*Certificate), std::move(*Key)};
}

} // namespace celerybeam
