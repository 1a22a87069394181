#ifndef CELERYBEAM_RELAY_BYTEBUDGET_H
#define CELERYBEAM_RELAY_BYTEBUDGET_H

#include <cstddef>

namespace celerybeam {

/// Bounds the bytes that a host holds of messages of one kind.
///
/// Answers to "others send without end, or never read": what one message, and
/// all of them together, may hold is fixed, however many connections they come
/// on. Not thread-safe.
class ByteBudget {
public:
  /// \param Limit  bytes of all messages together.
  explicit ByteBudget(std::size_t Limit) : Limit_(Limit) {}

  void setLimit(std::size_t Limit) { Limit_ = Limit; }
  std::size_t held() const { return Held_; }

  /// The bytes of one message.
  class Share {
  public:
    /// \param Most  bytes that this message may hold.
    Share(ByteBudget &Whole, std::size_t Most) : Whole_(Whole), Most_(Most) {}
    ~Share() { set(0); }
    Share(const Share &) = delete;
    Share &operator=(const Share &) = delete;

    std::size_t held() const { return Held_; }
    /// Holds so many bytes from now on. \return false when there is no room
    /// for more of them; what is held stays as it was, and the message is then
    /// to be given up.
    bool set(std::size_t Bytes) {
      bool Grows = Bytes > Held_;
      if (Grows &&
          (Bytes > Most_ || Whole_.Held_ - Held_ + Bytes > Whole_.Limit_))
        return false;
      Whole_.Held_ = Whole_.Held_ - Held_ + Bytes;
      Held_ = Bytes;
      return true;
    }
    bool take(std::size_t More) { return set(Held_ + More); }

  private:
    ByteBudget &Whole_;
    std::size_t Most_;
    std::size_t Held_ = 0;
  };

  /// As long as the longest request that is taken by default.
  static constexpr std::size_t MostOfOneAnswer = 4U << 20U;

private:
  std::size_t Limit_;
  std::size_t Held_ = 0;
};

} // namespace celerybeam

#endif
