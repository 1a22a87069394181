#include "ctl/tablefiles.h"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>

#include "ctl/output.h"

namespace celerybeam::ctl {

namespace {

constexpr std::string_view OriginPrefix = "# celerybeam: revision ";

Result<std::string> readWholeFile(const std::string &Path) {
  std::ifstream In(Path);
  std::string Text(std::istreambuf_iterator<char>(In), {});
  if (!In.is_open() || In.bad())
    return makeError(ErrorKind::InvalidTable,
                     Path + " cannot be read; correct the path.");
  return Text;
}

/// Returns the first line of the text with its line break if it names a
/// revision; empty otherwise.
std::string_view originLineIn(std::string_view Text) {
  if (!Text.starts_with(OriginPrefix))
    return {};
  std::size_t End = Text.find('\n');
  return End == std::string_view::npos ? Text : Text.substr(0, End + 1);
}

std::optional<FileOrigin> originIn(const std::string &Text) {
  std::istringstream Words(std::string(originLineIn(Text)));
  std::string Hash;
  std::string Program;
  std::string Word;
  std::string Record;
  FileOrigin Origin;
  if (!(Words >> Hash >> Program >> Word >> Origin.Number >> Word >> Record))
    return std::nullopt;
  Origin.Record = ChunkId(Record);
  return Origin;
}

std::string stamped(const std::string &Text, const FileOrigin &Origin) {
  return originLine(Origin) + Text.substr(originLineIn(Text).size());
}

} // namespace

std::string originLine(const FileOrigin &Origin) {
  return std::string(OriginPrefix) + std::to_string(Origin.Number) +
         " record " + Origin.Record.str() + "\n";
}

Result<TableFiles> readTableFiles(const std::string &RoutesPath,
                                  const std::string &PoolsPath) {
  Result<std::string> Routes = readWholeFile(RoutesPath);
  if (!Routes)
    return tl::make_unexpected(Routes.error());
  Result<std::string> Pools = readWholeFile(PoolsPath);
  if (!Pools)
    return tl::make_unexpected(Pools.error());
  TableFiles Files{RoutesPath, PoolsPath, {*Routes, *Pools}, originIn(*Routes)};
  if (Files.Origin != originIn(*Pools))
    return makeError(ErrorKind::InvalidTable,
                     RoutesPath + " and " + PoolsPath +
                         " name different revisions in their first lines; get "
                         "both again with celerybeamctl get.");
  return Files;
}

std::optional<TableRows> checkTableFiles(const TableFiles &Files,
                                         const Invocation &I) {
  CheckedTables Checked = parseTables(Files.Texts);
  if (Checked)
    return rowsOf(*Checked);
  Json Problems = Json::array();
  for (TableProblem Problem : Checked.error()) {
    Problem.File =
        Problem.File == "routes.toml" ? Files.RoutesPath : Files.PoolsPath;
    I.Err << formatProblem(Problem) << "\n";
    Problems.push_back({{"file", Problem.File},
                        {"line", Problem.Line},
                        {"message", Problem.Message}});
  }
  if (I.wantsJson())
    I.Out << Json{{"problems", Problems}}.dump(2) << "\n";
  return std::nullopt;
}

Result<void> stampTableFiles(const TableFiles &Files,
                             const FileOrigin &Origin) {
  Result<void> Written =
      writeWholeFile(Files.RoutesPath, stamped(Files.Texts.Routes, Origin));
  if (!Written)
    return Written;
  return writeWholeFile(Files.PoolsPath, stamped(Files.Texts.Pools, Origin));
}

Result<void> writeWholeFile(const std::string &Path, const std::string &Text) {
  std::string Temporary = Path + ".new";
  {
    std::ofstream Out(Temporary, std::ios::trunc);
    Out << Text;
    if (!Out.flush())
      return makeError(ErrorKind::InvalidTable,
                       Temporary + " cannot be written; check the folder's "
                                   "rights and free space.");
  }
  std::error_code Code;
  std::filesystem::rename(Temporary, Path, Code);
  if (Code)
    return makeError(ErrorKind::InvalidTable,
                     Path + " cannot be replaced (" + Code.message() +
                         "); check the folder's rights.");
  return {};
}

} // namespace celerybeam::ctl
