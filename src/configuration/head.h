#ifndef CELERYBEAM_CONFIGURATION_HEAD_H
#define CELERYBEAM_CONFIGURATION_HEAD_H

#include <chrono>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "blackboard/idtypes.h"
#include "configuration/tablesrevision.h"
#include "framework/error.h"
#include "framework/storehooks.h"

namespace celerybeam {

/// Content address of a value in the store: SHA-256 in hexadecimal.
using ChunkId = StrongId<struct ChunkTag>;

/// The store key of a content-addressed value.
StoreKey chunkKey(const ChunkId &Id);

/// The store key of the head, which names the revision in force.
StoreKey headKey();

/// Identifies one accepted change of the tables and its record.
struct RevisionMark {
  Revision Number = 0;
  /// digestOf the rows.
  std::string Digest;
  /// Content address of the RevisionRecord.
  ChunkId Record;
  /// Random value of the writer for this change, by which it recognizes its own
  /// write.
  std::string Nonce;
  std::string Author;
  std::chrono::seconds WrittenAt{};
};

/// The value of the head key: the revision in force and those before it.
struct ConfigurationHead {
  RevisionMark Current;
  /// The previous revisions, newest first, at most HistoryLength.
  std::vector<RevisionMark> History;

  static constexpr std::size_t HistoryLength = 32;
};

/// The stored revision to which a mark refers: its description and the chunks
/// of its rows. Immutable.
struct RevisionRecord {
  Revision Number = 0;
  std::string Digest;
  std::string Author;
  std::chrono::seconds WrittenAt{};
  /// The previous record; empty for the first. It keeps the whole history
  /// reachable after the head has dropped old marks.
  ChunkId Parent;
  std::vector<ChunkId> Routes;
  std::vector<ChunkId> Pools;
};

std::string encodeHead(const ConfigurationHead &Head);
/// Fails with InvalidTable.
Result<ConfigurationHead> decodeHead(std::string_view Data);

std::string encodeRecord(const RevisionRecord &Record);
/// Fails with InvalidTable.
Result<RevisionRecord> decodeRecord(std::string_view Data);

/// A value with its content address.
struct Chunk {
  ChunkId Id;
  std::string Data;
};

Chunk makeChunk(std::string Data);

/// Splits a table's rows into chunks. Where it splits depends on the names of
/// the rows and the size limit, so that a change of one row usually changes
/// one chunk.
std::vector<Chunk> chunksOf(const RowTexts &Rows);

/// Adds the rows of a chunk's data to Rows. Fails with InvalidTable.
Result<void> addChunkRows(std::string_view Data, RowTexts &Rows);

} // namespace celerybeam

#endif
