#ifndef CELERYBEAM_HTTPCLIENT_HTTPCLIENTTYPES_H
#define CELERYBEAM_HTTPCLIENT_HTTPCLIENTTYPES_H

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "framework/httptypes.h"

namespace celerybeam {

/// Names one call of an HttpClient; never reused, never 0.
enum class HttpCallId : std::uint64_t {};

/// One HTTP call. Header fields that frame the message or concern only one
/// connection (Content-Length, Transfer-Encoding, Connection, ...) are left
/// out when it is sent: the client frames the message itself.
struct HttpCall {
  std::string Method;
  /// Absolute, with http or https; path and query are percent-encoded.
  std::string Url;
  HeaderFields Headers;
  /// May be null: no body.
  std::shared_ptr<const std::string> Body;
  /// Limit for the connection to stand, TLS included; 0: no limit.
  std::chrono::milliseconds ConnectTimeout{0};
  /// Limit for the whole call, from its start; 0: no limit.
  std::chrono::milliseconds Timeout{0};
  /// Opens a connection for this call, so that the call cannot meet one that
  /// has gone silent or is being closed.
  bool FreshConnection = false;
  /// Lets the client send the request once more by itself when a reused
  /// connection closes within HttpClientSettings::ResendWindow and before any
  /// byte of the answer. Otherwise a request leaves at most once.
  bool Repeatable = false;
  /// PEM file of the authorities trusted for https; empty: the system's.
  std::string CaFile;
};

struct HttpClientSettings {
  /// Threads that drive the calls; at least 1.
  std::size_t Threads = 2;
  /// Idle connections kept by each thread.
  std::size_t IdleConnections = 128;
  /// A connection idle for longer is not used again.
  std::chrono::seconds IdleLimit{20};
  /// A call that ends after its connection has carried nothing for this long
  /// makes the client distrust idle connections to the same server.
  std::chrono::milliseconds SilenceLimit{500};
  /// A reused connection that closes this soon after the request was being
  /// closed already; later, the request itself may have ended the server.
  std::chrono::milliseconds ResendWindow{250};
};

/// What the client did since it started.
struct HttpClientCounts {
  std::uint64_t Started = 0;
  /// Connections opened.
  std::uint64_t Connections = 0;
  /// Calls that ended on a connection that had gone silent; their server gets
  /// fresh connections for the idle limit.
  std::uint64_t SilentConnections = 0;
};

} // namespace celerybeam

#endif
