#include "ctl/internal/hostcommands.h"

#include "ctl/servers.h"

namespace celerybeam::ctl::detail {

ExitCode showAnswer(const Invocation &I, const std::string &Method,
                    const std::string &Target,
                    const std::function<void(const Json &)> &Print) {
  Result<OperatorClient> Client = OperatorClient::fromOptions(I);
  if (!Client)
    return I.fail(Client.error());
  Result<Json> Answer = Client->call(Method, Target);
  if (!Answer)
    return I.fail(Answer.error());
  if (I.wantsJson())
    I.Out << Answer->dump(2) << "\n";
  else
    Print(*Answer);
  return ExitCode::Ok;
}

Command listCommand(const std::string &Name, const std::string &Summary,
                    const std::string &Target, const std::string &Field,
                    const std::vector<Column> &Columns) {
  auto Run = [=](const Invocation &I) {
    return showAnswer(I, "GET", Target, [&](const Json &Answer) {
      printTable(I.Out, Columns, Answer.value(Field, Json::array()));
    });
  };
  return {Name, Summary, {}, addOperatorOptions, Run};
}

} // namespace celerybeam::ctl::detail
