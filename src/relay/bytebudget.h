#ifndef CELERYBEAM_RELAY_BYTEBUDGET_H
#define CELERYBEAM_RELAY_BYTEBUDGET_H

#include <cstddef>

namespace celerybeam {

/// Limits the memory that all messages of one kind may hold, for example the
/// responses being received or the request bodies of a server.
///
/// Handles this load pattern: "others send without end, or never read". One
/// message and all of them together have fixed limits, regardless of the number
/// of connections. Not thread-safe.
class ByteBudget {
public:
  /// \param Limit  limit for all messages together, in bytes.
  explicit ByteBudget(std::size_t Limit) : Limit_(Limit) {}

  void setLimit(std::size_t Limit) { Limit_ = Limit; }
  std::size_t held() const { return Held_; }

  /// The part of a budget that one message uses. Returned to the budget on
  /// destruction.
  class Share {
  public:
    /// \param MaxBytes  limit for this message, in bytes.
    Share(ByteBudget &Budget, std::size_t MaxBytes)
        : Budget_(Budget), MaxBytes_(MaxBytes) {}
    ~Share() { set(0); }
    Share(const Share &) = delete;
    Share &operator=(const Share &) = delete;

    std::size_t held() const { return Held_; }
    /// Sets the number of bytes that the message holds. \return false when an
    /// increase exceeds the limit of the message or of the budget; the share is
    /// then unchanged, and the owner must give up the message.
    bool set(std::size_t Bytes) {
      bool Grows = Bytes > Held_;
      if (Grows &&
          (Bytes > MaxBytes_ || Budget_.Held_ - Held_ + Bytes > Budget_.Limit_))
        return false;
      Budget_.Held_ = Budget_.Held_ - Held_ + Bytes;
      Held_ = Bytes;
      return true;
    }
    bool take(std::size_t More) { return set(Held_ + More); }

  private:
    ByteBudget &Budget_;
    std::size_t MaxBytes_;
    std::size_t Held_ = 0;
  };

  /// Limit of one buffered response. Equals the default limit of a request
  /// body.
  static constexpr std::size_t MaxResponseBytes = 4U << 20U;

private:
  std::size_t Limit_;
  std::size_t Held_ = 0;
};

} // namespace celerybeam

#endif
