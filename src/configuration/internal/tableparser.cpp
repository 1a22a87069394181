#include "configuration/tableparser.h"

#include <algorithm>
#include <cctype>
#include <map>
#include <optional>

#include "configuration/internal/rowwriter.h"
#include "configuration/internal/tablefields.h"

namespace celerybeam {

namespace {

constexpr const char *RoutesFile = "routes.toml";
constexpr const char *PoolsFile = "pools.toml";
constexpr std::size_t MaxNameLength = 128;

using Problems = std::vector<TableProblem>;

/// A parsed row with the line of its name.
template <typename Row> struct LocatedRow {
  Row Value;
  unsigned Line = 0;
};

/// Parsed rows with their lines, for the checks that need both tables.
template <typename Row> struct ParsedRows {
  std::vector<LocatedRow<Row>> Rows;
  std::map<std::string, unsigned> FirstLines;
  /// False when the file as a whole could not be read.
  bool IsReadable = false;
};

bool isRowName(const std::string &Name) {
  return Name.size() <= MaxNameLength &&
         std::all_of(Name.begin(), Name.end(), [](unsigned char C) {
           return std::isalnum(C) != 0 || C == '-' || C == '_' || C == '.';
         });
}

void checkRow(TomlReader &Reader, const RouteRow &Row) {
  bool NamesRegion = !Row.ResidenceRegion.empty();
  if (Row.Residence == ResidenceRule::Region && !NamesRegion)
    Reader.problem("residence", "`residence` is \"region\" but no region is "
                                "named; add `residence_region`");
  if (Row.Residence != ResidenceRule::Region && NamesRegion)
    Reader.problem("residence_region",
                   "`residence_region` needs `residence` = \"region\"; add "
                   "that or remove this key");
  // A booking key that two regions may accept could run in both.
  if (!Row.Repeatable && Row.Residence != ResidenceRule::Region)
    Reader.problem("repeatable",
                   "bookings need one home region; set `residence` = "
                   "\"region\" and `residence_region`, with a route for each "
                   "region that takes bookings");
  if (!Row.Repeatable && Row.Hedge)
    Reader.problem("hedge", "a route with `repeatable` = false is never "
                            "hedged; remove `hedge`");
  if (!Row.Repeatable && Row.MayLeaveRegion)
    Reader.problem("may_leave_region",
                   "bookings stay in their home region; remove "
                   "`may_leave_region`");
  if (Row.MayLeaveRegion && Row.Residence != ResidenceRule::None)
    Reader.problem("may_leave_region",
                   "`residence` forbids it; remove `may_leave_region`");
}

void checkRow(TomlReader &Reader, const PoolRow &Row) {
  bool IsEngine = Row.Kind == PoolKind::Engine;
  if (IsEngine && Row.Model.empty())
    Reader.problem("model", "a pool of engines needs `model`; name the model "
                            "with its version, as in \"cedar-7b@3\"");
  if (!IsEngine && !Row.Model.empty())
    Reader.problem("model", "only a pool with `kind` = \"engine\" has a "
                            "`model`; remove it");
  if (Row.Kind != PoolKind::Runner && Row.Checks != RunnerCheck::None)
    Reader.problem("checks", "only a pool with `kind` = \"runner\" has "
                             "`checks`; remove it");
}

template <typename Row>
void readRow(const char *File, const char *Key, const toml::table &Table,
             ParsedRows<Row> &Read, Problems &Found) {
  Row R;
  std::string Name = Table["name"].value_or<std::string>("");
  TomlReader Reader(File, Table, std::string(Key) + " \"" + Name + "\"", Found);
  detail::visitFields(Reader, R);
  Reader.finish();
  if (!isRowName(Name))
    Reader.problem("name", "a name has at most 128 letters, digits, '-', '_' "
                           "and '.'; choose another");
  checkRow(Reader, R);
  unsigned Line = Reader.lineOf("name");
  auto [It, IsNew] = Read.FirstLines.emplace(Name, Line);
  if (!IsNew && !Name.empty())
    Reader.problem("name", "the name stands already in line " +
                               std::to_string(It->second) +
                               "; rename or remove one of them");
  Read.Rows.push_back({std::move(R), Line});
}

template <typename Row>
ParsedRows<Row> readRows(const char *File, const char *Key,
                         const std::string &Text, Problems &Found) {
  ParsedRows<Row> Read;
  std::optional<toml::table> Root = parseToml(File, Text, Found);
  if (!Root)
    return Read;
  Read.IsReadable = true;
  std::string Header = "[[" + std::string(Key) + "]]";
  for (const auto &[Other, Node] : *Root)
    if (Other.str() != Key)
      Found.push_back({File, Other.source().begin.line,
                       "unknown key `" + std::string(Other.str()) +
                           "`; the file has only rows that start with " +
                           Header});
  const toml::node *Node = Root->get(Key);
  if (!Node)
    return Read;
  const toml::array *Rows = Node->as_array();
  if (!Rows || !Rows->is_homogeneous(toml::node_type::table)) {
    Found.push_back({File, Node->source().begin.line,
                     "`" + std::string(Key) +
                         "` must be rows; start each "
                         "with " +
                         Header});
    return Read;
  }
  for (const toml::node &Each : *Rows)
    readRow(File, Key, *Each.as_table(), Read, Found);
  return Read;
}

template <typename Row>
std::vector<Row> sortedRows(const ParsedRows<Row> &Read) {
  std::vector<Row> Rows;
  for (const LocatedRow<Row> &Each : Read.Rows)
    Rows.push_back(Each.Value);
  std::sort(Rows.begin(), Rows.end(),
            [](const Row &A, const Row &B) { return A.Name < B.Name; });
  return Rows;
}

std::string suggestion(const std::string &Name,
                       const std::vector<std::string> &Among) {
  std::optional<std::string> Nearest = nearestName(Name, Among);
  return Nearest ? "; did you mean \"" + *Nearest + "\"?" : "";
}

/// Checks routes against all pools.
class RoutePoolCheck {
public:
  RoutePoolCheck(const ParsedRows<PoolRow> &Pools, Problems &Found)
      : Found_(Found) {
    for (const auto &[Pool, Line] : Pools.Rows) {
      Pools_.emplace(Pool.Name, &Pool);
      PoolNames_.push_back(Pool.Name.str());
      if (!Pool.Model.empty())
        Models_.push_back(Pool.Model.str());
    }
  }

  void check(const RouteRow &Route, unsigned Line) {
    if (Route.Pool.empty())
      return;
    auto It = Pools_.find(Route.Pool);
    if (It == Pools_.end())
      return report(Route, Line,
                    "pool \"" + Route.Pool.str() + "\" is not in pools.toml" +
                        suggestion(Route.Pool.str(), PoolNames_) +
                        " Add the pool or name another");
    const PoolRow &Pool = *It->second;
    if (!Route.Repeatable && Pool.Kind == PoolKind::Engine)
      report(Route, Line,
             "`repeatable` = false needs a pool of kind \"runner\" or "
             "\"service\", but \"" +
                 Pool.Name.str() + "\" has engines; name another pool");
    checkModels(Route, Line, Pool);
  }

private:
  void checkModels(const RouteRow &Route, unsigned Line, const PoolRow &Pool) {
    if (Pool.Kind == PoolKind::Engine && Route.Models.empty())
      report(Route, Line,
             "a route to engines needs `models`; add `models` = [\"" +
                 Pool.Model.str() + "\"]");
    for (const ModelName &Model : Route.Models)
      if (Model != Pool.Model)
        report(Route, Line,
               "pool \"" + Pool.Name.str() + "\" does not load model \"" +
                   Model.str() + "\"" + suggestion(Model.str(), Models_) +
                   " Name a pool whose `model` it is or remove it from "
                   "`models`");
  }

  void report(const RouteRow &Route, unsigned Line, std::string Message) {
    Found_.push_back(
        {RoutesFile, Line,
         "route \"" + Route.Name.str() + "\": " + std::move(Message)});
  }

  Problems &Found_;
  std::map<PoolName, const PoolRow *> Pools_;
  std::vector<std::string> PoolNames_;
  std::vector<std::string> Models_;
};

template <typename Row> std::string formatRow(const char *Key, Row R) {
  Row Default;
  detail::RowWriter Writer;
  detail::visitFields(Writer, Default);
  Writer.startWriting();
  detail::visitFields(Writer, R);
  return "[[" + std::string(Key) + "]]\n" + Writer.take();
}

template <typename Row, typename Format>
std::string formatRows(std::vector<Row> Rows, Format FormatOne) {
  std::sort(Rows.begin(), Rows.end(),
            [](const Row &A, const Row &B) { return A.Name < B.Name; });
  std::string Text;
  for (const Row &R : Rows)
    Text += (Text.empty() ? "" : "\n") + FormatOne(R);
  return Text;
}

} // namespace

CheckedTables parseTables(const TableTexts &Texts) {
  Problems Found;
  auto Routes =
      readRows<RouteRow>(RoutesFile, detail::RouteKey, Texts.Routes, Found);
  auto Pools =
      readRows<PoolRow>(PoolsFile, detail::PoolKey, Texts.Pools, Found);
  if (Routes.IsReadable && Pools.IsReadable) {
    RoutePoolCheck Join(Pools, Found);
    for (const auto &[Route, Line] : Routes.Rows)
      Join.check(Route, Line);
  }
  if (!Found.empty()) {
    std::stable_sort(Found.begin(), Found.end(), [](auto &A, auto &B) {
      return std::tie(B.File, A.Line) < std::tie(A.File, B.Line);
    });
    return tl::make_unexpected(std::move(Found));
  }
  Tables Result;
  Result.Routes = sortedRows(Routes);
  Result.Pools = sortedRows(Pools);
  return Result;
}

std::string formatRoute(const RouteRow &Row) {
  return formatRow(detail::RouteKey, Row);
}

std::string formatPool(const PoolRow &Row) {
  return formatRow(detail::PoolKey, Row);
}

TableTexts formatTables(const Tables &T) {
  return {formatRows(T.Routes, formatRoute), formatRows(T.Pools, formatPool)};
}

} // namespace celerybeam
