// The bytes of one direction of a connection, in a bounded ring.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstring>
#include <span>
#include <string_view>
#include <vector>

namespace graniterun::net {

class Ring {
 public:
  explicit Ring(std::size_t bound) : bound_(bound) {}

  std::size_t size() const { return size_; }
  std::size_t held() const { return storage_.size(); }  // memory, used or not
  bool empty() const { return size_ == 0; }
  std::size_t room() const { return bound_ - size_; }

  // False, and nothing taken, where it would not fit.
  bool put(std::string_view bytes) {
    if (bytes.size() > room()) return false;
    reserve(size_ + bytes.size());
    for (std::size_t done = 0; done < bytes.size();) {
      const std::span<char> free = gap();
      const std::size_t part = std::min(free.size(), bytes.size() - done);
      std::memcpy(free.data(), bytes.data() + done, part);
      filled(part);
      done += part;
    }
    return true;
  }

  // The first run of free bytes; `filled` says how many of them now hold something.
  std::span<char> gap() {
    const std::size_t tail = (head_ + size_) % storage_.size();
    const std::size_t end = tail >= head_ && size_ < storage_.size() ? storage_.size() : head_;
    return {storage_.data() + tail, size_ == storage_.size() ? 0 : end - tail};
  }
  void filled(std::size_t count) { size_ += count; }
  // Makes room for so many in all, within the bound. Grown by doubling: an idle connection holds little.
  void reserve(std::size_t wanted) {
    if (wanted <= storage_.size() && !storage_.empty()) return;
    std::size_t grown = std::max<std::size_t>(storage_.size(), 1024);
    while (grown < wanted) grown *= 2;
    std::vector<char> bigger(std::min(grown, bound_));
    const std::string_view whole = contents();
    std::copy(whole.begin(), whole.end(), bigger.begin());
    storage_.swap(bigger);
    head_ = 0;
  }

  // All that is held, in one piece.
  std::string_view contents() {
    if (storage_.empty()) return {};
    if (head_ + size_ > storage_.size()) {
      std::rotate(storage_.begin(), storage_.begin() + static_cast<std::ptrdiff_t>(head_), storage_.end());
      head_ = 0;
    }
    return {storage_.data() + head_, size_};
  }
  // Takes `count` bytes out from `at` on, counted from the first that is held.
  void cut(std::size_t at, std::size_t count) {
    contents();  // in one piece
    at = std::min(at, size_);
    count = std::min(count, size_ - at);
    std::memmove(storage_.data() + head_ + at, storage_.data() + head_ + at + count, size_ - at - count);
    size_ -= count;
  }
  void drop(std::size_t count) {
    count = std::min(count, size_);
    size_ -= count;
    if (size_ == 0 && storage_.size() > kMaxRetainedBytes) std::vector<char>().swap(storage_);
    head_ = size_ == 0 || storage_.empty() ? 0 : (head_ + count) % storage_.size();
  }

 private:
  static constexpr std::size_t kMaxRetainedBytes = 4096;  // an idle connection holds no more
  std::size_t bound_;
  std::vector<char> storage_;
  std::size_t head_ = 0;
  std::size_t size_ = 0;
};

}  // namespace graniterun::net
