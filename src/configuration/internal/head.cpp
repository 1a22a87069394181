#include "configuration/head.h"

#include <cstdint>

#include <nlohmann/json.hpp>

#include "framework/digest.h"
#include "framework/stablehash.h"

namespace celerybeam {

namespace {

using Json = nlohmann::json;

// On average one row in this many, by the hash of its name, ends a chunk.
constexpr std::uint64_t RowsPerChunk = 64;
// The platform's store accepts values up to 1 MiB; names and JSON need the
// rest.
constexpr std::size_t MaxChunkBytes = 256U << 10U;

tl::unexpected<Error> malformed(const char *What, const Json::exception &E) {
  return makeError(ErrorKind::InvalidTable,
                   std::string("The ") + What +
                       " in the platform's store is malformed (" + E.what() +
                       "); see who writes to the keys under config/ beside "
                       "celerybeamctl.");
}

Json toJson(const RevisionMark &Mark) {
  return {{"revision", Mark.Number},     {"digest", Mark.Digest},
          {"record", Mark.Record.str()}, {"nonce", Mark.Nonce},
          {"author", Mark.Author},       {"unix_time", Mark.WrittenAt.count()}};
}

RevisionMark markFrom(const Json &J) {
  return {J.at("revision").get<Revision>(),
          J.at("digest").get<std::string>(),
          ChunkId(J.at("record").get<std::string>()),
          J.at("nonce").get<std::string>(),
          J.at("author").get<std::string>(),
          std::chrono::seconds(J.at("unix_time").get<std::int64_t>())};
}

Json toJson(const std::vector<ChunkId> &Ids) {
  Json List = Json::array();
  for (const ChunkId &Id : Ids)
    List.push_back(Id.str());
  return List;
}

std::vector<ChunkId> idsFrom(const Json &J) {
  std::vector<ChunkId> Ids;
  for (const Json &Each : J)
    Ids.emplace_back(Each.get<std::string>());
  return Ids;
}

// Replaces bytes that are not UTF-8, since an author's name may contain any.
std::string dump(const Json &J) {
  return J.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace

StoreKey chunkKey(const ChunkId &Id) {
  return StoreKey("config/chunks/" + Id.str());
}

StoreKey headKey() { return StoreKey("config/head"); }

std::string encodeHead(const ConfigurationHead &Head) {
  Json History = Json::array();
  for (const RevisionMark &Mark : Head.History)
    History.push_back(toJson(Mark));
  return dump({{"current", toJson(Head.Current)}, {"history", History}});
}

Result<ConfigurationHead> decodeHead(std::string_view Data) {
  try {
    Json J = Json::parse(Data);
    ConfigurationHead Head;
    Head.Current = markFrom(J.at("current"));
    for (const Json &Each : J.at("history"))
      Head.History.push_back(markFrom(Each));
    return Head;
  } catch (const Json::exception &E) {
    return malformed("head", E);
  }
}

std::string encodeRecord(const RevisionRecord &Record) {
  return dump({{"revision", Record.Number},
               {"digest", Record.Digest},
               {"author", Record.Author},
               {"unix_time", Record.WrittenAt.count()},
               {"parent", Record.Parent.str()},
               {"routes", toJson(Record.Routes)},
               {"pools", toJson(Record.Pools)}});
}

Result<RevisionRecord> decodeRecord(std::string_view Data) {
  try {
    Json J = Json::parse(Data);
    RevisionRecord Record;
    Record.Number = J.at("revision").get<Revision>();
    Record.Digest = J.at("digest").get<std::string>();
    Record.Author = J.at("author").get<std::string>();
    Record.WrittenAt =
        std::chrono::seconds(J.at("unix_time").get<std::int64_t>());
    Record.Parent = ChunkId(J.at("parent").get<std::string>());
    Record.Routes = idsFrom(J.at("routes"));
    Record.Pools = idsFrom(J.at("pools"));
    return Record;
  } catch (const Json::exception &E) {
    return malformed("revision record", E);
  }
}

Chunk makeChunk(std::string Data) {
  ChunkId Id(sha256Hex(Data));
  return {std::move(Id), std::move(Data)};
}

std::vector<Chunk> chunksOf(const RowTexts &Rows) {
  std::vector<Chunk> Chunks;
  Json Open = Json::object();
  std::size_t OpenBytes = 0;
  auto Close = [&] {
    if (!Open.empty())
      Chunks.push_back(makeChunk(dump(Open)));
    Open = Json::object();
    OpenBytes = 0;
  };
  for (const auto &[Name, Row] : Rows) {
    Open[Name] = Row;
    OpenBytes += Row.size();
    if (stableHash(Name) % RowsPerChunk == 0 || OpenBytes >= MaxChunkBytes)
      Close();
  }
  Close();
  return Chunks;
}

Result<void> addChunkRows(std::string_view Data, RowTexts &Rows) {
  try {
    const Json Parsed = Json::parse(Data);
    for (const auto &[Name, Row] : Parsed.items())
      Rows[Name] = Row.get<std::string>();
    return {};
  } catch (const Json::exception &E) {
    return malformed("chunk", E);
  }
}

} // namespace celerybeam
