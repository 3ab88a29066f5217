// Tags of the dialogs that the trunk opens. A tag has a random part, which makes the dialog unique, and a
// hash over it, the Call-ID and the gatekeeper's identity. A process that has no record of a dialog, since
// another process of this gatekeeper opened it, can so tell a request of that dialog from a stray one. The
// hash is no secret: nothing that a process could keep one in survives it. A third party would also have to
// know the call's random id. No I/O, no clock.
#pragma once

#include <array>
#include <string>
#include <string_view>

namespace graniterun::upstream {

class DialogTag {
 public:
  // `identity`: the same in every process of this gatekeeper, and in no other gatekeeper.
  explicit DialogTag(std::string_view identity);

  // The tag for a Call-ID; `nonce` is a random id.
  std::string make(std::string_view call_id, std::string_view nonce) const;
  // Whether `make` returned the tag for this Call-ID, in this or another process of the gatekeeper.
  bool is_own(std::string_view call_id, std::string_view tag) const;

 private:
  static constexpr std::size_t kKeyBytes = 32;
  std::array<unsigned char, kKeyBytes> key_{};
};

}  // namespace graniterun::upstream
