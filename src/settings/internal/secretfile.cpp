#include "settings/secretfile.h"

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iterator>

#include <fcntl.h>
#include <unistd.h>

namespace celerybeam {

namespace {

namespace fs = std::filesystem;

tl::unexpected<Error> invalidSettings(std::string Message) {
  return makeError(ErrorKind::InvalidSettings, std::move(Message));
}

std::string errnoMessage() { return std::strerror(errno); }

bool writeAll(int Descriptor, const std::string &Content) {
  std::size_t Written = 0;
  while (Written < Content.size()) {
    ssize_t Count =
        ::write(Descriptor, Content.data() + Written, Content.size() - Written);
    if (Count < 0)
      return false;
    Written += static_cast<std::size_t>(Count);
  }
  return true;
}

} // namespace

Result<void> checkSecretFile(const std::string &Path) {
  std::error_code Code;
  fs::file_status Status = fs::status(Path, Code);
  if (!fs::exists(Status))
    return invalidSettings("file \"" + Path +
                           "\" does not exist; create it or fix "
                           "the path");
  if (!fs::is_regular_file(Status))
    return invalidSettings("\"" + Path + "\" is not a file; name a file");
  if ((Status.permissions() & fs::perms::others_read) != fs::perms::none)
    return invalidSettings("file \"" + Path +
                           "\" can be read by every user; run "
                           "chmod 600 on it");
  if (::access(Path.c_str(), R_OK) != 0)
    return invalidSettings("file \"" + Path +
                           "\" cannot be read by this process; "
                           "change its owner");
  return {};
}

Result<std::string> readSecretFile(const std::string &Path) {
  Result<void> Checked = checkSecretFile(Path);
  if (!Checked)
    return tl::make_unexpected(Checked.error());
  std::ifstream In(Path);
  std::string Content(std::istreambuf_iterator<char>(In), {});
  while (!Content.empty() && (Content.back() == '\n' || Content.back() == '\r'))
    Content.pop_back();
  if (Content.empty())
    return invalidSettings("file \"" + Path +
                           "\" is empty; write the secret into it "
                           "(celerybeamctl keygen makes one)");
  return Content;
}

Result<void> writeSecretFile(const std::string &Path,
                             const std::string &Content) {
  int Descriptor = ::open(Path.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC,
                          S_IRUSR | S_IWUSR);
  if (Descriptor < 0)
    return invalidSettings("file \"" + Path + "\" cannot be created (" +
                           errnoMessage() +
                           "); choose another path or remove the file");
  bool Written = writeAll(Descriptor, Content);
  std::string Reason = errnoMessage();
  if (::close(Descriptor) != 0 || !Written)
    return invalidSettings("file \"" + Path + "\" cannot be written (" +
                           Reason + "); free space or choose another path");
  return {};
}

} // namespace celerybeam
