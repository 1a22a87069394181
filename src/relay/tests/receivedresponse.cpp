#include "relay/tests/receivedresponse.h"

#include "relay/tests/relayfixture.h"

namespace celerybeam::testing {

Received parseResponse(const std::string &Text) {
  Received R;
  auto HeadEnd = Text.find("\r\n\r\n");
  if (HeadEnd == std::string::npos)
    return R;
  R.Status = std::stoul(Text.substr(Text.find(' ')));
  std::string Body = Text.substr(HeadEnd + 4);
  std::string Length = RelayFixture::field(Text, "Content-Length");
  if (!Length.empty()) {
    R.Body = Body;
    R.Complete = Body.size() == std::stoul(Length);
    return R;
  }
  for (std::size_t At = 0; At < Body.size();) {
    std::size_t Size = std::stoul(Body.substr(At), nullptr, 16);
    At = Body.find("\r\n", At) + 2;
    R.Complete = Size == 0;
    R.Body += Body.substr(At, Size);
    At += Size + 2;
  }
  return R;
}

} // namespace celerybeam::testing
