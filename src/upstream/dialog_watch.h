// Decides for the established dialogs of SipTrunk which are to be probed and which are over because nothing
// shows any more that their servers know them. A probe is an OPTIONS within the dialog (RFC 3261 §11, §12.2).
// A dialog is confirmed by a 2xx to a probe or a request within it, or within an older dialog of the same
// server: a process that knows the older one has run since before the younger one was established. Other
// responses may come from a proxy or from what is left of a process, and confirm nothing. It does no I/O and
// reads no clock. Invariant: a dialog is over at the latest kMaxEvidenceAge after it was last confirmed,
// whatever else its server sends and whatever the server's state in the endpoint list.
// docs/design/server-watch.md.
#pragma once

#include <map>
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
  // The server has shown that it knows the dialog.
  void confirmed(Time now, ServerId server, const std::string& call_id);
  // The server does not know a dialog: it may have started again, so that all its dialogs are probed.
  void dialog_unknown(ServerId server);
  // Called in each tick; a dialog that is over is still to be reported with ended().
  Decision check(Time now);

 private:
  struct Dialog {
    std::uint64_t order{};  // of establishment
    Time confirmed_at{};
    Time probed_at{};
  };
  using Dialogs = std::map<std::string, Dialog>;  // by Call-ID
  struct Server {
    Dialogs dialogs{};
    Time next_probe_at{};
    bool probe_all = false;
  };
  static void add_probes(Time now, Server& server, std::vector<std::string>& probes);
  static Dialogs::iterator oldest(Server& server);
  static Dialogs::iterator least_recently_confirmed(Server& server);

  std::map<ServerId, Server> servers_{};  // with dialogs
  std::uint64_t last_order_ = 0;
};

}  // namespace graniterun::upstream
