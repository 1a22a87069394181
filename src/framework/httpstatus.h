#ifndef CELERYBEAM_FRAMEWORK_HTTPSTATUS_H
#define CELERYBEAM_FRAMEWORK_HTTPSTATUS_H

namespace celerybeam {

enum class StatusKind {
  /// Another response to the same request follows.
  Interim,
  Final,
  /// The response is broken, whatever else it states.
  Invalid,
};

/// Classifies the status of a response that was received (RFC 9110, 15).
constexpr StatusKind statusKindOf(unsigned Status) {
  constexpr unsigned FirstInterim = 100;
  constexpr unsigned SwitchingProtocols = 101;
  constexpr unsigned FirstFinal = 200;
  constexpr unsigned LastFinal = 599;
  // The gateway never asks for an upgrade.
  if (Status < FirstInterim || Status == SwitchingProtocols ||
      Status > LastFinal)
    return StatusKind::Invalid;
  return Status < FirstFinal ? StatusKind::Interim : StatusKind::Final;
}

} // namespace celerybeam

#endif
