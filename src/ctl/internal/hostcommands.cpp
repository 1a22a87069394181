#include "ctl/internal/hostcommands.h"

#include "ctl/servers.h"

namespace celerybeam::ctl::detail {

ExitCode showResponse(const Invocation &I, const std::string &Method,
                      const std::string &Target,
                      const std::function<void(const Json &)> &Print) {
  Result<OperatorClient> Client = OperatorClient::fromOptions(I);
  if (!Client)
    return I.fail(Client.error());
  Result<Json> Response = Client->call(Method, Target);
  if (!Response)
    return I.fail(Response.error());
  if (I.wantsJson())
    I.Out << Response->dump(2) << "\n";
  else
    Print(*Response);
  return ExitCode::Ok;
}

Command listCommand(const std::string &Name, const std::string &Summary,
                    const std::string &Target, const std::string &Field,
                    const std::vector<Column> &Columns) {
  auto Run = [=](const Invocation &I) {
    return showResponse(I, "GET", Target, [&](const Json &Response) {
      printTable(I.Out, Columns, Response.value(Field, Json::array()));
    });
  };
  return {Name, Summary, {}, addOperatorOptions, Run};
}

} // namespace celerybeam::ctl::detail
