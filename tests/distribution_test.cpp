// The distribution of configuration without I/O.
#include <set>

#include "check.h"
#include "distribution/distributor.h"
#include "distribution/ranking.h"
#include "distribution/subscriber.h"

namespace {

using namespace graniterun;
using namespace graniterun::distribution;
using namespace std::chrono_literals;

Key test_key() {
  Key key{};
  for (std::size_t i = 0; i < key.size(); ++i) key[i] = static_cast<unsigned char>(i);
  return key;
}

Document document_of(const std::string& service, Version version, const std::string& content) {
  return {service, {version, digest_of(test_key(), service, version, content)}, content};
}

void a_digest_is_of_all_its_parts() {
  const Document d = document_of("a.b", 7, "{}");
  CHECK(is_sound(test_key(), d));
  for (int i = 0; i < 4; ++i) {
    Document other = d;
    if (i == 0) other.service = "a.c";
    if (i == 1) other.stamp.version = 8;
    if (i == 2) other.content = "{ }";
    if (i == 3) other.stamp.digest[31] ^= 1;
    CHECK(!is_sound(test_key(), other));
  }
  // What ends one part does not begin the next.
  CHECK(digest_of(test_key(), "ab", 1, "c") != digest_of(test_key(), "a", 1, "bc"));
  CHECK(!is_sound(test_key(), document_of("a", 0, "{}")));
  CHECK(!is_sound(test_key(), document_of("a b", 1, "{}")));
  CHECK(!is_sound(test_key(), document_of("", 1, "{}")));
  CHECK(!is_sound(test_key(), document_of(std::string(65, 'a'), 1, "{}")));
  CHECK(is_sound(test_key(), document_of(std::string(64, 'a'), 1, std::string(kLargestDocument, 'x'))));
  CHECK(!is_sound(test_key(), document_of("a", 1, std::string(kLargestDocument + 1, 'x'))));
  Digest back{};
  CHECK(digest_in(hex_of(d.stamp.digest), back));
  CHECK(back == d.stamp.digest);
  CHECK(!digest_in("0g", back));
  CHECK(!digest_in(std::string(64, 'g'), back));
  CHECK(back == d.stamp.digest);
}

// The first effect of a kind.
template <class Effect, class Effects>
const Effect* first(const Effects& effects) {
  for (const auto& effect : effects) {
    if (const Effect* found = std::get_if<Effect>(&effect)) return found;
  }
  return nullptr;
}

void shares_of_the_ranking_are_even() {
  std::vector<std::string> distributors;
  for (int i = 0; i < 16; ++i) distributors.push_back("10.0.0." + std::to_string(i) + ":7950");
  std::vector<std::size_t> firsts(16);
  for (int i = 0; i < 1600; ++i) {
    const auto order = ranked("g" + std::to_string(i), distributors);
    CHECK_EQ(std::set<std::uint32_t>(order.begin(), order.end()).size(), 16U);
    ++firsts[order[0]];
  }
  for (const std::size_t share : firsts) CHECK(share > 60 && share < 140);
}

void a_majority_commits_and_one_alone_does_not() {
  DistributorSettings settings;
  settings.name = "d0";
  settings.peers = 2;
  settings.key = test_key();
  Distributor d(settings);
  const Time now = Time{} + 1h;
  DistributorEffects out;
  d.step(now, Restored{{}, false}, out);
  d.step(now, PeerUp{0}, out);
  d.step(now, Publish{1, "a", "{}", 1000}, out);
  CHECK(first<Published>(out) == nullptr);
  const Propose proposed = *first<Propose>(out);
  CHECK_EQ(proposed.document.stamp.version, 1000U);
  out.clear();
  d.step(now + 1s, PeerAnswered{0, proposed.proposal, true, 1000}, out);
  CHECK(std::holds_alternative<Save>(out.at(0)));
  CHECK(first<Published>(out)->committed);
  d.step(now + 2s, Publish{2, "a", "{}", 1000}, out);
  out.clear();
  d.step(now + 5s, Tick{}, out);
  CHECK(!first<Published>(out)->committed);
  CHECK_EQ(first<Published>(out)->why, "no majority");
}

void a_gatekeeper_is_told_and_fetches_and_applies() {
  SubscriberSettings settings;
  settings.name = "g0";
  settings.distributors = {"d0", "d1", "d2"};
  settings.services = {"a", "b"};
  settings.key = test_key();
  Subscriber s(settings);
  Time now = Time{} + 1h;
  SubscriberEffects out;
  s.start(now, out);
  CHECK_EQ(out.size(), kSources);
  const std::uint32_t source = first<Open>(out)->source;
  out.clear();
  s.step(now, SourceUp{source}, out);
  CHECK(first<Subscribe>(out)->primary);
  CHECK_EQ(first<Subscribe>(out)->held.size(), 2U);
  const Document d = document_of("a", 5, "{}");
  out.clear();
  s.step(now, Noticed{source, {{"a", d.stamp}}, true}, out);
  CHECK_EQ(first<Fetch>(out)->version, 5U);
  CHECK(!s.ready());
  out.clear();
  s.step(now, Delivered{source, d}, out);
  CHECK(first<Apply>(out)->documents == std::vector<Document>{d});
  out.clear();
  s.step(now, Applied{true, {}}, out);
  CHECK(first<Report>(out)->in_force);
  CHECK(s.ready());
  CHECK(s.is_current());
}

}  // namespace

int main() {
  a_digest_is_of_all_its_parts();
  shares_of_the_ranking_are_even();
  a_majority_commits_and_one_alone_does_not();
  a_gatekeeper_is_told_and_fetches_and_applies();
}
