#ifndef CELERYBEAM_APP_VERSION_H
#define CELERYBEAM_APP_VERSION_H

namespace celerybeam {

/// The version that programs print.
inline constexpr const char *Version = "0.1.0";

} // namespace celerybeam

#endif
