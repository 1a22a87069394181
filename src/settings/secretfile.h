#ifndef CELERYBEAM_SETTINGS_SECRETFILE_H
#define CELERYBEAM_SETTINGS_SECRETFILE_H

#include <string>

#include "framework/error.h"

namespace celerybeam {

/// Fails with InvalidSettings unless the file exists, can be read by this
/// process and not by every user of the machine.
Result<void> checkSecretFile(const std::string &Path);

/// Reads a file that holds one secret and strips the line end. Fails as
/// checkSecretFile does, and when the file is empty.
Result<std::string> readSecretFile(const std::string &Path);

/// Writes a file that only its owner may read and write. Fails with
/// InvalidSettings; an existing file is left as it is.
Result<void> writeSecretFile(const std::string &Path,
                             const std::string &Content);

} // namespace celerybeam

#endif
