// A relay of TCP connections between chosen parties, on loopback: who is told its port instead of the real
// one speaks through it. It can hold what goes one way, cut one way or both, and heal. A cut takes bytes for
// good: a connection that lost some is reset when it is healed, as no stream may go on with a gap. What was
// cut is counted, so that a fault that never took hold shows.
#pragma once

#include <array>
#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace graniterun::lab {

class StreamRelay {
 public:
  enum Way : std::uint8_t { there, back };  // from who connected to the real one, and from that one
  struct Counts {
    std::atomic<std::uint64_t> connections{0};
    std::atomic<std::uint64_t> passed{0};     // bytes
    std::atomic<std::uint64_t> cut{0};        // bytes that a cut took
    std::atomic<std::uint64_t> cut_off{0};    // connections that lost some, or were begun meanwhile
    std::atomic<std::uint64_t> held_back{0};  // times that a hold kept bytes waiting
  };

  // `real`: the ports that the real ones listen on.
  explicit StreamRelay(std::vector<int> real);
  ~StreamRelay();
  StreamRelay(const StreamRelay&) = delete;
  StreamRelay& operator=(const StreamRelay&) = delete;

  int port(std::size_t i) const { return sides_[i].port; }
  // Bytes wait, as many as the sockets hold; nothing is lost.
  void hold(std::size_t i, Way way, bool on);
  void cut(std::size_t i, Way way, bool on);
  void cut_all();
  void heal();
  const Counts& counts() const { return counts_; }

 private:
  struct Side {
    int real{};
    int port{};
    int fd = -1;
    std::array<bool, 2> cut{};
    std::array<bool, 2> held{};
  };
  struct Pair {
    std::size_t side{};
    std::array<int, 2> fds{-1, -1};       // who connected, and the real one; -1: it was begun in a cut
    std::array<std::string, 2> pending;   // by way: read and not written yet
    std::array<bool, 2> ended{};          // by way: no more will come
    std::array<std::uint32_t, 2> looked;  // for what epoll looks
    bool connecting = false;
    bool spoilt = false;  // it lost bytes
  };
  void run();
  void accept(std::size_t side);
  void serve(std::uint64_t id, Pair& pair);
  bool move(Pair& pair, Way way);
  void watch(std::uint64_t id, Pair& pair, bool fresh);
  void end(std::uint64_t id, bool reset);
  void look_again();

  std::vector<Side> sides_;
  std::map<std::uint64_t, Pair> pairs_;
  std::uint64_t last_ = 0;
  int epoll_ = -1;
  int wake_ = -1;
  std::mutex mutex_;  // over `cut` and `held`
  std::atomic<bool> ends_{false};
  bool healed_ = false;
  Counts counts_;
  std::thread thread_;
};

}  // namespace graniterun::lab
