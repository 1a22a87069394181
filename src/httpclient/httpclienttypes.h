#ifndef CELERYBEAM_HTTPCLIENT_HTTPCLIENTTYPES_H
#define CELERYBEAM_HTTPCLIENT_HTTPCLIENTTYPES_H

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "framework/httptypes.h"

namespace celerybeam {

/// Identifies one call of an HttpClient; never reused, never 0.
enum class HttpCallId : std::uint64_t {};

/// Request and limits of one HTTP call. Header fields that frame the message or
/// concern only one connection (Content-Length, Transfer-Encoding, Connection,
/// ...) are not sent: the client frames the message itself.
struct HttpCall {
  std::string Method;
  /// Absolute http or https URL; path and query are percent-encoded.
  std::string Url;
  HeaderFields Headers;
  /// Null: no body.
  std::shared_ptr<const std::string> Body;
  /// Limit for establishing the connection, including TLS; 0: no limit.
  std::chrono::milliseconds ConnectTimeout{0};
  /// Limit for the whole call, from its start; 0: no limit.
  std::chrono::milliseconds Timeout{0};
  /// Opens a new connection for this call, so that the call cannot use one
  /// that is unresponsive or being closed.
  bool FreshConnection = false;
  /// Lets the client resend the request once when a reused connection closes
  /// within HttpClientSettings::ResendWindow and before any byte of the
  /// response. Otherwise a request is sent at most once.
  bool Repeatable = false;
  /// PEM file of the certificate authorities trusted for HTTPS; empty: the
  /// system's.
  std::string CaFile;
};

/// Threads, connection reuse and limits of an HttpClient.
struct HttpClientSettings {
  /// Threads that drive the calls; at least 1.
  std::size_t Threads = 2;
  /// Idle connections kept by each thread.
  std::size_t IdleConnections = 128;
  /// A connection that was idle for longer is not reused.
  std::chrono::seconds IdleLimit{20};
  /// When a call ends after its connection has transferred nothing for this
  /// long, the client stops reusing idle connections to the same server.
  std::chrono::milliseconds SilenceLimit{500};
  /// A reused connection that closes within this time after the request was
  /// sent was already being closed. A later close may mean that the request
  /// itself crashed the server.
  std::chrono::milliseconds ResendWindow{250};
};

/// Counters of an HttpClient since its start.
struct HttpClientCounts {
  /// Calls started.
  std::uint64_t Started = 0;
  /// Connections opened.
  std::uint64_t Connections = 0;
  /// Calls that ended on an unresponsive connection. For the idle limit, later
  /// calls to the same server use fresh connections.
  std::uint64_t SilentConnections = 0;
};

} // namespace celerybeam

#endif
