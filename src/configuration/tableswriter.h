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

/// The tables as the store holds them, with the mark of their revision.
struct StoredTables {
  /// Number 0 and no rows when the store has no tables yet.
  TablesRevision Content;
  RevisionMark Mark;
};

/// An edit of the tables, for TablesWriter::apply.
struct ApplyRequest {
  /// The rows from which the operator started.
  TableRows Base;
  /// The rows that the operator wants; they have passed parseTables.
  TableRows Next;
  std::string Author;
  /// The new revision gets a higher number than this. Set it when the store
  /// has lost revisions that hosts have in force.
  Revision Above = 0;
};

/// The result of an accepted edit.
struct ApplyOutcome {
  RevisionMark Mark;
  /// False: the store has these rows already and nothing was written.
  bool Changed = false;
  /// Rows that others changed since the base; they are part of the revision.
  std::vector<RowChange> ChangedByOthers;
};

/// Writes revisions of the tables to the platform's store.
///
/// The rows go into content-addressed chunks first; one compare-and-swap of
/// the head key then puts both tables in force in one step. An edit that
/// races with another one is merged row by row and retried. When the reply to a
/// write was lost, the nonce shows whether the write took effect before
/// anything else is written.
/// Thread-safe; calls of one writer are independent of each other.
class TablesWriter {
public:
  TablesWriter(StoreHooks Store, Runtime R);
  ~TablesWriter();

  /// Reads the tables that the head names. Fails with StoreUnreachable after
  /// several attempts, or with InvalidTable.
  void read(Completion<StoredTables> Done);

  /// Reads the tables of the record that a mark names. Fails with NotFound.
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

  /// Reads the marks of the newest revisions, newest first, at most Limit.
  void history(std::size_t Limit, Completion<std::vector<RevisionMark>> Done);

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace celerybeam

#endif
