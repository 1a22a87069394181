#ifndef CELERYBEAM_MEMBERSHIP_INTERNAL_UPDATEQUEUE_H
#define CELERYBEAM_MEMBERSHIP_INTERNAL_UPDATEQUEUE_H

#include <algorithm>
#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace celerybeam::detail {

/// Queue of updates that are piggybacked on other messages: each item is sent a
/// set number of times and then dropped. Not thread-safe.
template <typename Message> class UpdateQueue {
public:
  /// Queues an item; it replaces an earlier one with the same name.
  void add(const std::string &Name, Message Item, unsigned Transmissions) {
    Items_.insert_or_assign(Name, Entry{std::move(Item), Transmissions});
  }

  /// Returns items for one message, those with the most transmissions left
  /// first, and subtracts their sizes from the budget of bytes.
  std::vector<Message> take(std::size_t &BudgetBytes) {
    std::vector<std::pair<unsigned, std::string>> Order;
    for (const auto &[Name, E] : Items_)
      Order.emplace_back(E.Left, Name);
    std::sort(Order.begin(), Order.end(), std::greater<>());
    std::vector<Message> Taken;
    for (const auto &[Left, Name] : Order) {
      auto It = Items_.find(Name);
      std::size_t Size = It->second.Item.ByteSizeLong() + FramingBytes;
      if (Size > BudgetBytes)
        continue;
      BudgetBytes -= Size;
      Taken.push_back(It->second.Item);
      if (--It->second.Left == 0)
        Items_.erase(It);
    }
    return Taken;
  }

  std::size_t size() const { return Items_.size(); }

private:
  /// Bytes that an item's tag and length take in the message.
  static constexpr std::size_t FramingBytes = 3;

  struct Entry {
    Message Item;
    unsigned Left = 0;
  };
  std::map<std::string, Entry> Items_;
};

} // namespace celerybeam::detail

#endif
