#ifndef CELERYBEAM_TESTS_SUPPORT_TEMPORARYFOLDER_H
#define CELERYBEAM_TESTS_SUPPORT_TEMPORARYFOLDER_H

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <string>

namespace celerybeam::testing {

/// A new folder that goes away with all that is in it.
class TemporaryFolder {
public:
  TemporaryFolder() {
    std::string Template =
        (std::filesystem::temp_directory_path() / "cbXXXXXX").string();
    const char *Made = ::mkdtemp(Template.data());
    if (!Made)
      throw std::runtime_error("cannot make a folder from " + Template);
    Folder_ = Made;
  }
  ~TemporaryFolder() { std::filesystem::remove_all(Folder_); }
  TemporaryFolder(const TemporaryFolder &) = delete;
  TemporaryFolder &operator=(const TemporaryFolder &) = delete;

  std::string path(const std::string &Name) const {
    return (Folder_ / Name).string();
  }

private:
  std::filesystem::path Folder_;
};

/// All of a file; empty when it cannot be read.
inline std::string readFile(const std::string &Path) {
  std::ifstream In(Path);
  return {std::istreambuf_iterator<char>(In), {}};
}

} // namespace celerybeam::testing

#endif
