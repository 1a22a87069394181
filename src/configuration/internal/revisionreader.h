#ifndef CELERYBEAM_CONFIGURATION_INTERNAL_REVISIONREADER_H
#define CELERYBEAM_CONFIGURATION_INTERNAL_REVISIONREADER_H

#include <map>
#include <memory>

#include "configuration/head.h"
#include "framework/storehooks.h"

namespace celerybeam::detail {

/// Chunks that were read already, by content address.
using ChunkCache = std::map<ChunkId, std::string>;

/// A revision read from the store.
struct ReadRevision {
  TablesRevision Content;
  RevisionRecord Record;
  /// The chunks of the revision, as cache for the next read.
  std::shared_ptr<const ChunkCache> Chunks;
};

/// Reads the record and its chunks, except those in the cache (may be null),
/// and checks every value against its address. Fails with the store's errors,
/// or with InvalidTable.
void readRevision(const StoreHooks &Store, const ChunkId &Record,
                  std::shared_ptr<const ChunkCache> Cache,
                  Completion<ReadRevision> Done);

} // namespace celerybeam::detail

#endif
