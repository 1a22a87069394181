#include "relay/datagramlink.h"

#include <vector>

#include "relay/internal/sockets.h"

namespace celerybeam {

namespace {
using namespace detail;
} // namespace

class DatagramLink::Impl : public std::enable_shared_from_this<Impl> {
public:
  Impl(EventLoop &Loop, Receiver Receive)
      : Socket_(Loop.context()), Receive_(std::move(Receive)),
        Buffer_(MaxBytes) {}

  void receive() {
    Socket_.async_receive_from(
        asio::buffer(Buffer_), From_,
        [Weak = weak_from_this()](ErrorCode Error, std::size_t Bytes) {
          auto Self = Weak.lock();
          if (!Self || Error == asio::error::operation_aborted)
            return;
          // The buffer is in use until the receiver returns or throws.
          struct ReceiveNext {
            Impl &Link;
            ~ReceiveNext() { Link.receive(); }
          } Next{*Self};
          // An error concerns an earlier datagram that could not be delivered;
          // the socket remains usable.
          if (!Error)
            Self->Receive_({Self->Buffer_.data(), Bytes});
        });
  }

  Udp::socket Socket_;
  Receiver Receive_;
  std::vector<char> Buffer_;
  Udp::endpoint From_;
  unsigned short Port_ = 0;
};

DatagramLink::DatagramLink(EventLoop &Loop, Receiver Receive)
    : Impl_(std::make_shared<Impl>(Loop, std::move(Receive))) {}
DatagramLink::~DatagramLink() = default;

Result<void> DatagramLink::open(const Address &Where) {
  auto To = parseEndpoint(Where);
  ErrorCode Error = asio::error::invalid_argument;
  if (To) {
    Impl_->Socket_.open(Udp::v4(), Error);
    if (!Error)
      Impl_->Socket_.bind({To->address(), To->port()}, Error);
    if (!Error)
      Impl_->Socket_.non_blocking(true, Error);
  }
  if (Error)
    return makeError(ErrorKind::InvalidSettings,
                     "Cannot open a datagram socket on " + Where.str() + ": " +
                         Error.message() +
                         "; free the port or configure another.");
  Impl_->Port_ = To->port();
  Impl_->receive();
  return {};
}

bool DatagramLink::send(const std::string &Ip, const std::string &Bytes) {
  ErrorCode Error;
  auto To = asio::ip::make_address(Ip, Error);
  if (Error || Bytes.size() > MaxBytes)
    return false;
  // A datagram that cannot be sent now counts as lost.
  Impl_->Socket_.send_to(asio::buffer(Bytes), {To, Impl_->Port_}, 0, Error);
  return true;
}

} // namespace celerybeam
