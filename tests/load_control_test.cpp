// Load-control documents of RFC 7200: reading, writing, complete rejection, and conversion to gaps.
#include "control/load_control.h"

#include <random>

#include "check.h"

using namespace graniterun;
using namespace graniterun::test;
using namespace graniterun::control;
using namespace std::chrono_literals;

namespace {

constexpr Time kNow{1'700'000'000s};

// A document with one rule, in the form of section 6 of the RFC.
std::string document(const std::string& conditions, const std::string& actions) {
  return R"(<?xml version="1.0" encoding="UTF-8"?>
<ruleset xmlns="urn:ietf:params:xml:ns:common-policy" xmlns:lc="urn:ietf:params:xml:ns:load-control" version="3"
 state="full"><rule id="f3"><conditions>)" +
         conditions + "</conditions><actions>" + actions + "</actions></rule></ruleset>";
}
const std::string kTo = R"(<lc:call-identity><lc:sip><lc:to><one id="sip:4711@trail.example"/>
<one id="tel:+1-868-555-0100"/><lc:many-tel prefix="+1-868"/></lc:to></lc:sip></lc:call-identity>)";
const std::string kRate = R"(<lc:accept alt-action="reject"><lc:rate>2.5</lc:rate></lc:accept>)";

bool is_rejected(const std::string& xml) {
  try {
    gaps_of(read_load_control(xml), "n", kNow, kNow + 1h);
    return false;
  } catch (const LoadControlError& error) {
    CHECK(std::string(error.what()).find('\n') == std::string::npos);
    return true;
  }
}

void document_is_converted_to_gaps() {
  const LoadControlDocument d = read_load_control(
      document(kTo + "<method>INVITE</method><validity><from>2023-11-14T17:13:30-05:00</from>"
                     "<until>2023-11-14T22:43:20Z</until></validity>",
               kRate));
  CHECK_EQ(d.version, 3U);
  CHECK(d.rules[0].numbers == (std::vector<std::string>{"4711", "+18685550100"}));
  CHECK(d.rules[0].prefixes == std::vector<std::string>{"+1868"});
  CHECK(d.rules[0].from == kNow + 10s && d.rules[0].until == kNow + 30min);
  const auto gaps = gaps_of(d, "neighbour", kNow, kNow + 1h);
  CHECK_EQ(gaps.size(), 1U);
  CHECK_EQ(gaps[0].id, "lc-neighbour-f3");
  CHECK(gaps[0].start == kNow + 10s && gaps[0].end == kNow + 30min);
  CHECK(gaps[0].gap->interval == 400ms);
  // A gap ends with the subscription at the latest.
  CHECK(gaps_of(d, "n", kNow, kNow + 1min)[0].end == kNow + 1min);
  const LoadControlDocument rate_zero =
      read_load_control(document(kTo, "<lc:accept><lc:rate>0</lc:rate></lc:accept>"));
  CHECK(!gaps_of(rate_zero, "n", kNow, kNow + 1h)[0].gap->interval);
  const LoadControlDocument percentage =
      read_load_control(document(kTo, "<lc:accept><lc:percent>25</lc:percent></lc:accept>"));
  CHECK_EQ(gaps_of(percentage, "n", kNow, kNow + 1h)[0].gap->percent, 25.0);
}

void document_with_an_unsupported_part_is_rejected_completely() {
  CHECK(!is_rejected(document(kTo, kRate)));
  CHECK(is_rejected(""));
  CHECK(is_rejected("<ruleset/>"));
  CHECK(is_rejected("no xml at all"));
  CHECK(is_rejected(document(kTo, "")));
  CHECK(is_rejected(document("", kRate)));  // applies to every call
  CHECK(is_rejected(document(kTo + "<sphere value='x'/>", kRate)));
  CHECK(is_rejected(document(kTo + "<method>MESSAGE</method>", kRate)));
  CHECK(is_rejected(document(kTo, kRate + kRate)));
  CHECK(is_rejected(document(kTo, "<lc:accept><lc:rate>-1</lc:rate></lc:accept>")));
  CHECK(is_rejected(document(kTo, "<lc:accept><lc:rate>nan</lc:rate></lc:accept>")));
  CHECK(is_rejected(document(kTo, "<lc:accept><lc:rate>1e400</lc:rate></lc:accept>")));
  CHECK(is_rejected(document(kTo, "<lc:accept><lc:percent>101</lc:percent></lc:accept>")));
  CHECK(is_rejected(document(kTo, "<lc:accept><lc:win>5</lc:win></lc:accept>")));
  CHECK(is_rejected(document(kTo, "<lc:accept alt-action='drop'><lc:rate>1</lc:rate></lc:accept>")));
  CHECK(is_rejected(document(kTo + "<validity><from>yesterday</from></validity>", kRate)));
  CHECK(is_rejected(document(
      "<lc:call-identity><lc:sip><lc:from><one id='tel:1'/></lc:from></lc:sip></lc:call-identity>", kRate)));
  CHECK(is_rejected(document(
      "<lc:call-identity><lc:sip><lc:to><many domain='a'/></lc:to></lc:sip></lc:call-identity>", kRate)));
  CHECK(is_rejected(document(kTo, kRate) + std::string(20'000, ' ')));
  CHECK(is_rejected("<!DOCTYPE a [<!ENTITY b 'c'><!ENTITY d '&b;&b;'>]>" + document("&d;", kRate)));
}

// A document cut at any byte is rejected; one with any byte changed is read or rejected, without any other
// effect.
void corrupted_documents_are_read_or_rejected() {
  const std::string whole = document(kTo, kRate);
  for (std::size_t cut = 0; cut < whole.size(); ++cut) CHECK(is_rejected(whole.substr(0, cut)));
  std::mt19937 random(5);
  for (int i = 0; i < 3000; ++i) {
    std::string corrupted = whole;
    corrupted[random() % corrupted.size()] = static_cast<char>(random() % 256);
    is_rejected(corrupted);
  }
}

void written_documents_are_read_back() {
  call_gapping::Announcement a;
  a.id = "hiker & \"co\" <1>";
  a.start = kNow;
  a.end = kNow + 1h;
  a.gap.emplace();
  a.gap->criteria.numbers = {"4711", "9"};
  a.gap->criteria.prefixes = {"+1868"};
  a.gap->interval = 250ms;
  LoadControlDocument d;
  d.version = 7;
  d.rules.push_back(*rule_of(a));
  CHECK_EQ(d.rules[0].limit, 4.0);
  a.gap->interval.reset();
  d.rules.push_back(*rule_of(a));
  CHECK_EQ(d.rules[1].limit, 0.0);
  CHECK(read_load_control(write_load_control(d)) == d);
  // A gap that no rule can express is not converted to a different one.
  a.gap->shape = call_gapping::Shape::each_number;
  CHECK(!rule_of(a));
  a.gap->shape = call_gapping::Shape::whole;
  a.gap->criteria.classes = {"safety"};
  CHECK(!rule_of(a));
}

}  // namespace

int main() {
  document_is_converted_to_gaps();
  document_with_an_unsupported_part_is_rejected_completely();
  corrupted_documents_are_read_or_rejected();
  written_documents_are_read_back();
}
