#ifndef CELERYBEAM_CONFIGURATION_TABLESWRITER_H
#define CELERYBEAM_CONFIGURATION_TABLESWRITER_H

#include <memory>
#include <string>
#include <vector>

#include "configuration/head.h"
#include "configuration/tablesrevision.h"
#include "framework/runtime.h"
#include "framework/storehooks.h"

namespace celerybeam {

/// The tables as they stand in the store.
struct StoredTables {
  /// Number 0 and no rows when the store has no tables yet.
  TablesRevision Content;
  RevisionMark Mark;
};

/// An edit of the tables.
struct ApplyRequest {
  /// What the operator started from.
  TableRows Base;
  /// What the operator wants; has passed parseTables.
  TableRows Next;
  std::string Author;
  /// The new revision gets a higher number than this. Set it when the store
  /// has lost revisions that hosts have in force.
  Revision Above = 0;
};

/// An accepted edit.
struct ApplyOutcome {
  RevisionMark Mark;
  /// False: the store has these rows already and nothing was written.
  bool Changed = false;
  /// What others changed since the base; part of the revision.
  std::vector<RowChange> ChangedByOthers;
};

/// Writes revisions of the tables to the platform's store.
///
/// The rows go into content-addressed chunks first; one compare-and-swap of
/// the head key then puts both tables in force in one step. An edit that
/// meets another one is merged row by row and tried again; an edit whose
/// reply was lost is settled by its nonce before anything else is written.
/// Thread-safe; calls of one writer are independent of each other.
class TablesWriter {
public:
  TablesWriter(StoreHooks Store, Runtime R);
  ~TablesWriter();

  /// The tables that the head names. Fails with StoreUnreachable after
  /// several attempts, or with InvalidTable.
  void read(Completion<StoredTables> Done);

  /// The tables of a record, as marks name them. Fails with NotFound.
  void readRecord(const ChunkId &Record, Completion<TablesRevision> Done);

  /// Puts an edit in force. Fails with
  ///   StoreConflict        others changed the same rows; the message lists
  ///                        them with both texts,
  ///   InvalidTable         the merged tables do not pass the check,
  ///   StoreUnreachable     nothing was changed,
  ///   StoreOutcomeUnknown  the edit may be in force; applying it again is
  ///                        safe.
  void apply(ApplyRequest Request, Completion<ApplyOutcome> Done);

  /// Puts the rows of an older revision in force as a new revision. Fails as
  /// apply does, or with NotFound when there is no such revision.
  void rollback(Revision To, std::string Author, Completion<ApplyOutcome> Done);

  /// Marks of the newest revisions, newest first, at most Limit.
  void history(std::size_t Limit, Completion<std::vector<RevisionMark>> Done);

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace celerybeam

#endif
