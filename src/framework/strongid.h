#ifndef CELERYBEAM_FRAMEWORK_STRONGID_H
#define CELERYBEAM_FRAMEWORK_STRONGID_H

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace celerybeam {

/// An identifier that only compares with identifiers of the same tag.
///
/// \tparam Tag  an empty type that names the kind of identifier.
template <typename Tag> class StrongId {
public:
  StrongId() = default;
  explicit StrongId(std::string Text) : Text_(std::move(Text)) {}

  /// The identifier as it appears in settings, tables and messages.
  const std::string &str() const { return Text_; }
  bool empty() const { return Text_.empty(); }

  auto operator<=>(const StrongId &) const = default;

  friend std::ostream &operator<<(std::ostream &Out, const StrongId &Id) {
    return Out << Id.Text_;
  }

private:
  std::string Text_;
};

} // namespace celerybeam

template <typename Tag> struct std::hash<celerybeam::StrongId<Tag>> {
  size_t operator()(const celerybeam::StrongId<Tag> &Id) const noexcept {
    return std::hash<std::string>()(Id.str());
  }
};

#endif
