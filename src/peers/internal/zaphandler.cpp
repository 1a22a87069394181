#include "peers/internal/zaphandler.h"

#include <array>
#include <string_view>

namespace celerybeam {

namespace {

constexpr const char *ZapEndpoint = "inproc://zeromq.zap.01";
constexpr std::string_view Version = "1.0";
constexpr std::string_view CurveMechanism = "CURVE";
/// Size of a binary key, and of its Z85 form with the terminating zero.
constexpr std::size_t KeyBytes = 32;
constexpr std::size_t KeyTextSize = 41;

// Frames of a request, in order.
constexpr std::size_t VersionFrame = 0;
constexpr std::size_t RequestIdFrame = 1;
constexpr std::size_t MechanismFrame = 5;
constexpr std::size_t CredentialsFrame = 6;
constexpr std::size_t FrameCount = 7;

std::vector<std::string> receiveFrames(zmq::socket_t &Socket) {
  std::vector<std::string> Frames;
  zmq::message_t Frame;
  while (Socket.recv(Frame, zmq::recv_flags::dontwait)) {
    Frames.push_back(Frame.to_string());
    if (!Frame.more())
      break;
  }
  return Frames;
}

} // namespace

ZapHandler::ZapHandler(zmq::context_t &Context,
                       const std::vector<std::string> &PermittedKeys)
    : Permitted_(PermittedKeys.begin(), PermittedKeys.end()),
      Socket_(Context, zmq::socket_type::rep) {
  Socket_.set(zmq::sockopt::linger, 0);
  Socket_.bind(ZapEndpoint);
}

bool ZapHandler::isPermitted(const std::vector<std::string> &Frames) const {
  if (Frames.size() != FrameCount || Frames[VersionFrame] != Version ||
      Frames[MechanismFrame] != CurveMechanism ||
      Frames[CredentialsFrame].size() != KeyBytes)
    return false;
  std::array<char, KeyTextSize> Key{};
  zmq_z85_encode(
      Key.data(),
      reinterpret_cast<const std::uint8_t *>(Frames[CredentialsFrame].data()),
      KeyBytes);
  return Permitted_.contains(Key.data());
}

bool ZapHandler::replyToOne() {
  auto Frames = receiveFrames(Socket_);
  if (Frames.empty())
    return false;
  bool Permitted = isPermitted(Frames);
  std::string RequestId =
      Frames.size() > RequestIdFrame ? Frames[RequestIdFrame] : "";
  const std::array<std::string_view, 6> Reply = {
      Version,
      RequestId,
      Permitted ? "200" : "400",
      Permitted ? "OK" : "Key not permitted",
      "",
      ""};
  for (std::size_t I = 0; I < Reply.size(); ++I) {
    bool Last = I + 1 == Reply.size();
    Socket_.send(zmq::buffer(Reply[I]),
                 Last ? zmq::send_flags::none : zmq::send_flags::sndmore);
  }
  return !Permitted;
}

} // namespace celerybeam
