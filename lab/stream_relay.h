// A relay of TCP connections on loopback: a client that gets the relay's port instead of the server's
// connects through it. It can hold back bytes in one direction, cut one direction or both, and heal. Bytes
// that a cut drops are lost, so a connection that lost some is reset on healing: a stream must not continue
// with a gap. The relay counts the faults, so that a test can check that a fault has occurred at all.
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
  enum Direction : std::uint8_t { to_server, to_client };  // client to server, server to client
  struct Counts {
    std::atomic<std::uint64_t> connections{0};
    std::atomic<std::uint64_t> forwarded_bytes{0};  // bytes
    std::atomic<std::uint64_t> dropped_bytes{0};    // bytes dropped by a cut
    std::atomic<std::uint64_t> damaged_connections{
        0};                                   // connections that lost bytes, or were opened during a cut
    std::atomic<std::uint64_t> held_back{0};  // reads whose bytes were held back
  };

  // `real`: the ports on which the servers listen.
  explicit StreamRelay(std::vector<int> real);
  ~StreamRelay();
  StreamRelay(const StreamRelay&) = delete;
  StreamRelay& operator=(const StreamRelay&) = delete;

  int port(std::size_t i) const { return servers_[i].relay_port; }
  // Holds back the bytes of one direction, up to the sockets' buffers; none are lost.
  void set_hold(std::size_t i, Direction way, bool on);
  // Drops the bytes of one direction; new connections to the server hang.
  void set_cut(std::size_t i, Direction way, bool on);
  void cut_all();
  // Ends all holds and cuts, and resets the connections that lost bytes.
  void heal();
  const Counts& counts() const { return counts_; }

 private:
  struct RelayedServer {
    int server_port{};
    int relay_port{};
    int fd = -1;
    std::array<bool, 2> cut{};
    std::array<bool, 2> held{};
  };
  struct Connection {
    std::size_t server_index{};
    std::array<int, 2> fds{-1, -1};            // client, server; server -1: opened during a cut
    std::array<std::string, 2> pending;        // by direction: bytes read and not written yet
    std::array<bool, 2> ended{};               // by direction: end of the stream was read
    std::array<std::uint32_t, 2> event_masks;  // epoll's event mask
    bool connecting = false;
    bool lost_bytes = false;  // it lost bytes, or was opened during a cut
  };
  void run();
  void accept(std::size_t server_index);
  void process(std::uint64_t id, Connection& connection);
  bool forward(Connection& connection, Direction way);
  void update_epoll(std::uint64_t id, Connection& connection, bool is_new);
  void close_connection(std::uint64_t id, bool reset);
  void wake_up();

  std::vector<RelayedServer> servers_;
  std::map<std::uint64_t, Connection> connections_;
  std::uint64_t last_id_ = 0;
  int epoll_ = -1;
  int wake_ = -1;
  std::mutex mutex_;  // guards RelayedServer::cut and held, and healed_
  std::atomic<bool> stopping_{false};
  bool healed_ = false;
  Counts counts_;
  std::thread thread_;
};

}  // namespace graniterun::lab
