// Decides for the established dialogs of SipTrunk which are to be probed and which are over because their
// servers are silent. A probe is an OPTIONS within the dialog (RFC 3261 §11, §12.2): any response is a sign
// of life of the server; 481 or 408 says that the dialog is over. It does no I/O and reads no clock.
// Invariant: a dialog is over at the latest kMaxDialogSilence after its server's last message, whatever the
// server's state in the endpoint list.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "graniterun/controller.h"

namespace graniterun::upstream {

class DialogWatch {
 public:
  // Dialogs by Call-ID.
  struct Decision {
    std::vector<std::string> probes{};
    std::vector<std::string> over{};
  };

  void established(Time now, ServerId server, const std::string& call_id);
  void ended(ServerId server, const std::string& call_id);
  // A message of one of the server's calls has arrived.
  void message_received(Time now, ServerId server);
  // The server does not know a dialog: it may have started again, so that all its dialogs are probed.
  void dialog_unknown(ServerId server);
  // Called in each tick; a dialog that is over is still to be reported with ended().
  Decision check(Time now);

 private:
  struct Server {
    std::set<std::string> dialogs{};
    Time last_message_at{};
    Time next_probe_at{};
    std::string last_probed{};
    bool probe_all = false;
  };
  static std::string next_to_probe(Server& server);

  std::map<ServerId, Server> servers_{};  // with dialogs
};

}  // namespace graniterun::upstream
