// The runtime itself, on loopback sockets: what its callers can't see.
#include "net/runtime.h"

#include "net/ring.h"
#include "stand_in.h"

using namespace graniterun;
using namespace graniterun::test;

namespace {

// Each connection had a bound for what is not written yet, all together had none: over 32 MB with 64 of them.
void one_bound_holds_for_all_that_is_not_written() {
  const int port = Socket::bound(SOCK_STREAM).port();
  net::RuntimeLimits limits;
  limits.outbound = 64 * 1024 * 1024;
  limits.outbound_all = 2 * 1024 * 1024;
  net::Runtime runtime(limits, net::Logger(net::Level::error));
  std::vector<Socket> readers;  // that do not read
  std::vector<net::ConnId> open;
  std::size_t sent = 0;
  std::size_t closed = 0;
  const int status = runtime.run([&](Time now, const net::Event& event, net::Effects& effects) {
    if (std::holds_alternative<net::Started>(event)) {
      effects.push_back(net::Listen{net::Concern::platform, "127.0.0.1:" + std::to_string(port)});
      effects.push_back(net::ArmTimer{{net::Concern::platform, 0}, now + std::chrono::milliseconds(1)});
    } else if (const auto* accepted = std::get_if<net::Accepted>(&event)) {
      open.push_back(accepted->conn);
    } else if (const auto* gone = std::get_if<net::Closed>(&event)) {
      std::erase(open, gone->conn);
      ++closed;
    } else if (std::holds_alternative<net::TimerFired>(event)) {
      if (readers.size() < 4) readers.push_back(Socket::connected(port));
      for (const net::ConnId conn : open) effects.push_back(net::Send{conn, std::string(256 * 1024, 'x')});
      sent += open.size();
      if (closed > 0 || sent > 1000) effects.push_back(net::Exit{closed > 0 ? 0 : 1});
      effects.push_back(net::ArmTimer{{net::Concern::platform, 0}, now + std::chrono::milliseconds(1)});
    }
  });
  CHECK_EQ(status, 0);
  CHECK(runtime.counters().overflowed > 0);
}

void an_emptied_ring_keeps_little() {  // connections kept for good kept the most they had ever held
  net::Ring ring(1024 * 1024);
  CHECK(ring.put(std::string(500'000, 'x')));
  ring.drop(500'000);
  CHECK(ring.held() <= 4096);
  CHECK(ring.put("again") && ring.contents() == "again");
}

}  // namespace

int main() {
  one_bound_holds_for_all_that_is_not_written();
  an_emptied_ring_keeps_little();
}
