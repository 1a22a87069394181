#ifndef CELERYBEAM_TESTS_FUZZ_SCRIPTEDCALLER_H
#define CELERYBEAM_TESTS_FUZZ_SCRIPTEDCALLER_H

#include <optional>
#include <string>
#include <vector>

#include "wire.h"

namespace celerybeam::fuzzing {

/// One whole request that a caller means to send.
struct MeantRequest {
  std::string Id;
  std::string Target;
  std::string Body;
  /// Bytes of the connection up to its end.
  std::size_t End = 0;
};

/// An answer as a caller has got it.
struct SeenAnswer {
  unsigned Status = 0;
  std::string Head;
  std::string Body;
};

/// One connection of a caller, played by the script.
class ScriptedCaller {
public:
  /// \param Last  the last number of its IP number.
  ScriptedCaller(const std::string &Server, unsigned Last)
      : Line_(Server, Last), Ip_("127.0.0." + std::to_string(Last)) {}

  /// Adds a whole request to what is to be sent. Shape chooses its framing.
  void mean(const std::string &Id, const std::string &Route, unsigned Shape);
  /// Adds bytes of the script; from then on only the weaker oracles count.
  void meanRaw(const std::string &Bytes);
  /// Sends up to so many bytes of what is to be sent.
  void send(std::size_t Bytes);
  void sendAll() { send(Unsent_.size()); }
  void read();

  Wire &line() { return Line_; }
  const std::string &ip() const { return Ip_; }
  const std::vector<MeantRequest> &requests() const { return Requests_; }
  bool isRaw() const { return Raw_; }
  const std::string &sent() const { return Sent_; }
  const std::string &received() const { return Received_; }
  bool hasSentWhole(const MeantRequest &R) const {
    return R.End <= Sent_.size();
  }
  /// Those that are whole, without interim ones. Empty when what came is not
  /// a row of answers.
  std::optional<std::vector<SeenAnswer>> answers() const;

  /// Set when the server has told that it refuses what comes here.
  bool Refused = false;

private:
  Wire Line_;
  std::string Ip_;
  std::vector<MeantRequest> Requests_;
  std::string Unsent_;
  std::string Sent_;
  std::string Received_;
  bool Raw_ = false;
};

} // namespace celerybeam::fuzzing

#endif
