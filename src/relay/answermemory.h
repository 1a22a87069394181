#ifndef CELERYBEAM_RELAY_ANSWERMEMORY_H
#define CELERYBEAM_RELAY_ANSWERMEMORY_H

#include <cstddef>

namespace celerybeam {

/// Bounds the bytes of answers that a host holds before they are complete.
///
/// Answers to "endpoints in trouble send bytes without end": what one answer,
/// and all of them together, may hold is fixed, however many connections such
/// bytes come in on. Not thread-safe.
class AnswerMemory {
public:
  /// \param Limit  bytes of all answers together.
  explicit AnswerMemory(std::size_t Limit) : Limit_(Limit) {}

  void setLimit(std::size_t Limit) { Limit_ = Limit; }
  std::size_t held() const { return Held_; }

  /// The bytes of one answer.
  class Share {
  public:
    explicit Share(AnswerMemory &Whole) : Whole_(Whole) {}
    ~Share() { Whole_.Held_ -= Held_; }
    Share(const Share &) = delete;
    Share &operator=(const Share &) = delete;

    /// Takes more bytes. \return false when there is no room for them; the
    /// answer is then to be given up.
    bool take(std::size_t Bytes) {
      if (Whole_.Held_ + Bytes > Whole_.Limit_ ||
          Held_ + Bytes > MostOfOneAnswer)
        return false;
      Held_ += Bytes;
      Whole_.Held_ += Bytes;
      return true;
    }

  private:
    AnswerMemory &Whole_;
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
