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

/// Where a content-addressed value stands in the store.
StoreKey chunkKey(const ChunkId &Id);

/// The one key that says which revision is in force.
StoreKey headKey();

/// Names one accepted change.
struct RevisionMark {
  Revision Number = 0;
  /// digestOf the rows.
  std::string Digest;
  /// Where the RevisionRecord stands.
  ChunkId Record;
  /// Drawn by the writer for this change, so that it knows its own write.
  std::string Nonce;
  std::string Author;
  std::chrono::seconds WrittenAt{};
};

/// The value of the head key.
struct ConfigurationHead {
  RevisionMark Current;
  /// The revisions before, newest first, at most HistoryLength.
  std::vector<RevisionMark> History;

  static constexpr std::size_t HistoryLength = 32;
};

/// What stands behind a mark. Immutable.
struct RevisionRecord {
  Revision Number = 0;
  std::string Digest;
  std::string Author;
  std::chrono::seconds WrittenAt{};
  /// The record before; empty for the first. It keeps the whole history
  /// within reach when the head has dropped it.
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

/// Cuts a table's rows into chunks. The cuts depend on the names of the rows
/// alone, so that a change of one row changes one chunk.
std::vector<Chunk> chunksOf(const RowTexts &Rows);

/// Adds a chunk's rows. Fails with InvalidTable.
Result<void> addChunkRows(std::string_view Data, RowTexts &Rows);

} // namespace celerybeam

#endif
