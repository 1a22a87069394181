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

/// Adds --operator, its token and certificate options, and --timeout.
void addOperatorOptions(po::options_description &Options);

/// Adds --platform, its token and certificate options, and --timeout.
void addPlatformOptions(po::options_description &Options);

/// The author's name for the history: --author, or else the user's name.
std::string authorOf(const Invocation &I);

/// Calls an entry host's operators' interface (docs/operations/admin-api.md).
class OperatorClient {
public:
  /// Fails with BadRequest when no address is given or a file is bad.
  static Result<OperatorClient> fromOptions(const Invocation &I);

  /// Sends a call and parses the JSON of a response with a 2xx status. Fails
  /// with ConnectFailed, or with Internal and the host's error message.
  Result<Json> call(const std::string &Method, const std::string &Target);

private:
  explicit OperatorClient(ServerAccess Access);

  std::unique_ptr<HttpClient> Client_;
};

/// Reads and writes the tables in the platform's store.
class PlatformTables {
public:
  /// Fails with BadRequest when no address is given or a file is bad.
  static Result<std::unique_ptr<PlatformTables>>
  fromOptions(const Invocation &I);

  Result<StoredTables> read();
  Result<TablesRevision> readRecord(const ChunkId &Record);
  /// Reads the tables of a revision. Fails with NotFound.
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
