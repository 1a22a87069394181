#ifndef CELERYBEAM_RELAY_INTERNAL_BEAST_H
#define CELERYBEAM_RELAY_INTERNAL_BEAST_H

// Asio 1.74 needs <utility> to be included first in C++20.
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http.hpp>

namespace celerybeam::detail {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = boost::asio::ip::tcp;
using Udp = boost::asio::ip::udp;
using ErrorCode = boost::system::error_code;

} // namespace celerybeam::detail

#endif
