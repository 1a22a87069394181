#ifndef CELERYBEAM_APP_VERSION_H
#define CELERYBEAM_APP_VERSION_H

namespace celerybeam {

/// The version that the daemon prints and shows on its status page.
inline constexpr const char *Version = "0.1.0";

} // namespace celerybeam

#endif
