#ifndef CELERYBEAM_CTL_SERVERS_H
#define CELERYBEAM_CTL_SERVERS_H

#include <memory>
#include <string>

#include "configuration/tableswriter.h"
#include "ctl/command.h"
#include "ctl/httpclient.h"
#include "ctl/output.h"
#include "ctl/taskloop.h"

namespace celerybeam::ctl {

/// Adds --operator and what goes with it.
void addOperatorOptions(po::options_description &Options);

/// Adds --platform and what goes with it.
void addPlatformOptions(po::options_description &Options);

/// The name that goes into the history: --author, else the user's.
std::string authorOf(const Invocation &I);

/// An entry host's operators' interface (docs/operations/admin-api.md).
class OperatorClient {
public:
  /// Fails with BadRequest when no address is given or a file is bad.
  static Result<OperatorClient> fromOptions(const Invocation &I);

  /// Calls and reads the JSON of an answer with a 2xx status. Fails with
  /// ConnectFailed or with what the host says.
  Result<Json> call(const std::string &Method, const std::string &Target);

private:
  explicit OperatorClient(ServerAccess Access);

  std::unique_ptr<HttpClient> Client_;
};

/// The tables in the platform's store.
class PlatformTables {
public:
  /// Fails with BadRequest when no address is given or a file is bad.
  static Result<std::unique_ptr<PlatformTables>>
  fromOptions(const Invocation &I);

  Result<StoredTables> read();
  Result<TablesRevision> readRecord(const ChunkId &Record);
  /// The tables of a revision. Fails with NotFound.
  Result<StoredTables> readRevision(Revision Number);
  Result<ApplyOutcome> apply(const ApplyRequest &Request);
  Result<ApplyOutcome> rollback(Revision To, const std::string &Author);
  Result<std::vector<RevisionMark>> history(std::size_t Limit);

private:
  explicit PlatformTables(ServerAccess Access);

  TaskLoop Loop_;
  TablesWriter Writer_;
};

} // namespace celerybeam::ctl

#endif
