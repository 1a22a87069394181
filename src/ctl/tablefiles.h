#ifndef CELERYBEAM_CTL_TABLEFILES_H
#define CELERYBEAM_CTL_TABLEFILES_H

#include <optional>
#include <string>

#include "configuration/head.h"
#include "configuration/tablesrevision.h"
#include "ctl/command.h"

namespace celerybeam::ctl {

/// The revision that a pair of files was edited from. The first line of both
/// files names it: "# celerybeam: revision 12 record <digest>".
struct FileOrigin {
  Revision Number = 0;
  ChunkId Record;

  bool operator==(const FileOrigin &) const = default;
};

/// Holds the content of an operator's two table files.
struct TableFiles {
  std::string RoutesPath;
  std::string PoolsPath;
  TableTexts Texts;
  /// Empty when neither file names a revision.
  std::optional<FileOrigin> Origin;
};

/// Reads both files. Fails with InvalidTable when a file cannot be read or the
/// two name different revisions.
Result<TableFiles> readTableFiles(const std::string &RoutesPath,
                                  const std::string &PoolsPath);

/// Checks both files and prints every problem; empty when there are any.
std::optional<TableRows> checkTableFiles(const TableFiles &Files,
                                         const Invocation &I);

/// Returns the line that names a revision, with a line break.
std::string originLine(const FileOrigin &Origin);

/// Replaces or adds the line that names the revision in both files. Fails with
/// InvalidTable.
Result<void> stampTableFiles(const TableFiles &Files, const FileOrigin &Origin);

/// Writes a file through a temporary one, so that it is never partially
/// written. Fails with InvalidTable.
Result<void> writeWholeFile(const std::string &Path, const std::string &Text);

} // namespace celerybeam::ctl

#endif
