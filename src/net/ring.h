// Bounded ring buffer for the bytes of one direction of a connection.
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
  explicit Ring(std::size_t max_size) : max_size_(max_size) {}

  std::size_t size() const { return size_; }
  std::size_t capacity() const { return storage_.size(); }  // allocated bytes, used or not
  bool empty() const { return size_ == 0; }
  std::size_t free_space() const { return max_size_ - size_; }

  // Appends all of `bytes`, or returns false and appends nothing if they do not fit.
  bool put(std::string_view bytes) {
    if (bytes.size() > free_space()) return false;
    reserve(size_ + bytes.size());
    for (std::size_t copied = 0; copied < bytes.size();) {
      const std::span<char> target = free_span();
      const std::size_t part = std::min(target.size(), bytes.size() - copied);
      std::memcpy(target.data(), bytes.data() + copied, part);
      commit(part);
      copied += part;
    }
    return true;
  }

  // The first contiguous run of free bytes; after writing into it, call `commit` with the number written.
  std::span<char> free_span() {
    const std::size_t tail = (head_ + size_) % storage_.size();
    const std::size_t end = tail >= head_ && size_ < storage_.size() ? storage_.size() : head_;
    return {storage_.data() + tail, size_ == storage_.size() ? 0 : end - tail};
  }
  void commit(std::size_t count) { size_ += count; }
  // Allocates space for `wanted` bytes in all, at most the maximum size. Storage grows by doubling, so that
  // an idle connection uses little memory.
  void reserve(std::size_t wanted) {
    if (wanted <= storage_.size() && !storage_.empty()) return;
    std::size_t new_capacity = std::max<std::size_t>(storage_.size(), 1024);
    while (new_capacity < wanted) new_capacity *= 2;
    std::vector<char> new_storage(std::min(new_capacity, max_size_));
    const std::string_view stored = contents();
    std::copy(stored.begin(), stored.end(), new_storage.begin());
    storage_.swap(new_storage);
    head_ = 0;
  }

  // All stored bytes, made contiguous.
  std::string_view contents() {
    if (storage_.empty()) return {};
    if (head_ + size_ > storage_.size()) {
      std::rotate(storage_.begin(), storage_.begin() + static_cast<std::ptrdiff_t>(head_), storage_.end());
      head_ = 0;
    }
    return {storage_.data() + head_, size_};
  }
  // Removes `count` bytes starting at offset `at` from the first stored byte.
  void erase(std::size_t at, std::size_t count) {
    contents();  // makes the bytes contiguous
    at = std::min(at, size_);
    count = std::min(count, size_ - at);
    std::memmove(storage_.data() + head_ + at, storage_.data() + head_ + at + count, size_ - at - count);
    size_ -= count;
  }
  // Removes the first `count` bytes.
  void drop(std::size_t count) {
    count = std::min(count, size_);
    size_ -= count;
    if (size_ == 0 && storage_.size() > kMaxRetainedBytes) std::vector<char>().swap(storage_);
    head_ = size_ == 0 || storage_.empty() ? 0 : (head_ + count) % storage_.size();
  }

 private:
  static constexpr std::size_t kMaxRetainedBytes = 4096;  // maximum memory of an empty buffer
  std::size_t max_size_;
  std::vector<char> storage_;
  std::size_t head_ = 0;
  std::size_t size_ = 0;
};

}  // namespace graniterun::net
