// The simulator adapter: parsing of messages, writing of actions, and errors for malformed input.
#include "wire.h"

#include <gtest/gtest.h>

#include <sstream>
#include <string>
#include <vector>

namespace graniterun::wire {
namespace {

// An ENLIST line with arbitrary valid settings, without the field `without` and with `extra` appended.
std::string enlist(int instance, const std::string& without = "", const std::string& extra = "") {
  const std::vector<std::string> fields = {
      "nonce64=17",
      "az=1",
      "classes.count=1",
      "classes.0.dedupWindowNs=4000000000",
      "classes.0.effect=idempotent",
      "classes.0.group=all",
      "classes.0.hardLimitNs=8000000000",
      "classes.0.lateWorth=0.2",
      "classes.0.promiseNs=1100000000",
      "classes.0.worth=2.5",
      "clients.marksRetry=true",
      "familyInfo.classHoldNs=7000000000",
      "familyInfo.layout=groups",
      "familyInfo.peerLoad=answers",
      "familyInfo.poolsByClass.count=1",
      "familyInfo.poolsByClass.0=0,1",
      "familyInfo.releaseGuardNs=150000000",
      "familyInfo.resendNs=500000000",
      "familyInfo.tellsWait=true",
      "guarantees.answerSlackNs=20000000",
      "guarantees.askEveryNs=10000000000",
      "guarantees.coldFrom=0.4",
      "guarantees.coldNs=11000000000",
      "guarantees.fallMultiple=2.0",
      "guarantees.stopSendingWithinNs=700000000",
      "guarantees.tipAfterNs=2000000000",
      "limits.cancel=true",
      "limits.maxAttempts=4",
      "limits.maxRetryAfterNs=2000000000",
      "limits.peers=true",
      "limits.retryAfter=true",
      "me=2",
      "membershipMode=pushed",
      "objectiveMix.worstClass=0.1",
      "prices.lateFail=0.05",
      "prices.peer=0.01",
      "prices.waste=0.02",
      "replicasOfMe=6",
      "roundNs=5000000",
  };
  std::string line = "ENLIST\ti=" + std::to_string(instance);
  for (const std::string& field : fields) {
    if (without.empty() || field.rfind(without + "=", 0) != 0) line += "\t" + field;
  }
  return line + extra;
}

const std::string kClock = "CLOCK\tnowNs=5000000000";
const std::string kServer = "M\tserver=10.0.0.1:4000\taz=0\tmachine=0\tplaceNo=0\tstate=in_service\tweight=1";
const std::string kOtherServer =
    "M\tserver=10.0.0.2:4000\taz=0\tmachine=0\tplaceNo=1\tstate=in_service\tweight=1.5";
const std::string kCall =
    "QUERY\ti=0\tcorr=00000000000000a1\tentity=12\tdeadlineNs=8000000000\tcategory=0\tdest=0\tcircuits=1";

std::string list_event(int instance, int set, const std::string& kind = "remembered") {
  return "BACKENDS_CHANGED\ti=" + std::to_string(instance) + "\tkind=" + kind +
         "\tgen=1\tsetId=" + std::to_string(set);
}

std::string reply_to(const std::vector<std::string>& lines) {
  std::ostringstream out;
  SimulatorAdapter adapter(out);
  for (const std::string& line : lines) adapter.handle_line(line);
  adapter.handle_end_of_input();
  return out.str();
}

std::string find_error(const std::vector<std::string>& lines) {
  try {
    reply_to(lines);
  } catch (const MalformedInput& error) {
    return error.what();
  }
  return "none";
}

TEST(Wire, AnswersAnEmptyBatch) { EXPECT_EQ(reply_to({kClock, "COMMIT", ""}), "END\n"); }

TEST(Wire, SendsACallToTheServerInTheList) {
  EXPECT_EQ(reply_to({kClock, enlist(0), "REGISTER\tsetId=0\trecords=1", kServer, list_event(0, 0), kCall,
                      "COMMIT", ""}),
            "DELIVER\ti=0\tcorr=00000000000000a1\tserver=10.0.0.1:4000\tcutAtNs=8000000000\nEND\n");
}

TEST(Wire, ResolvesAListNumberReusedWithinABatchInOrder) {
  const std::string call_of_1 =
      "QUERY\ti=1\tcorr=00000000000000a2\tentity=12\tdeadlineNs=8000000000\tcategory=0\tdest=0\tcircuits=1";
  const std::string reply =
      reply_to({kClock, enlist(0), enlist(1), "REGISTER\tsetId=3\trecords=1", kServer, list_event(0, 3),
                "REGISTER\tsetId=3\trecords=1", kOtherServer, list_event(1, 3), kCall, call_of_1, "COMMIT"});
  EXPECT_NE(reply.find("i=0\tcorr=00000000000000a1\tserver=10.0.0.1:4000"), std::string::npos) << reply;
  EXPECT_NE(reply.find("i=1\tcorr=00000000000000a2\tserver=10.0.0.2:4000"), std::string::npos) << reply;
}

TEST(Wire, RestartsAnInstanceWithoutStateAfterATeardownInTheSameBatch) {
  const std::string reply =
      reply_to({kClock, enlist(0), "REGISTER\tsetId=0\trecords=1", kServer, list_event(0, 0), "TEARDOWN\ti=0",
                enlist(0), "REGISTER\tsetId=1\trecords=0", list_event(0, 1), kCall, "COMMIT"});
  EXPECT_EQ(
      reply,
      "SHED\ti=0\tcorr=00000000000000a1\tcoolDownNs=2000000000\nEND\n");  // it has no server list any more
}

TEST(Wire, IgnoresUnknownMessagesFieldsSettingsAndReportValues) {
  const std::string reply = reply_to(
      {kClock, "WEATHER\ti=0\tsky=grey", enlist(0, "", "\tlimits.moons=7"), "REGISTER\tsetId=0\trecords=1",
       kServer + "\tcolour=red", list_event(0, 0), kCall + "\tmood=good",
       "PROBE_RESULT\ti=0\tending=GOOD\telapsedNs=0\tserver=10.0.0.1:4000\tfeedback=spare:4,total:9,age:-1",
       "COMMIT"});
  EXPECT_NE(reply.find("DELIVER"), std::string::npos) << reply;
}

TEST(Wire, ReadsEveryOutcomeAndIgnoresEventsOfUnknownCalls) {
  for (const char* ending : {"GOOD", "BAD", "FULL", "LATE", "NOCONN", "RST", "CXL", "NOP"}) {
    EXPECT_EQ(
        reply_to({kClock, enlist(0),
                  std::string("VERDICT\ti=0\tcorr=00000000000000ff\ttry=0\tserver=10.0.0.1:4000\tending=") +
                      ending + "\telapsedNs=5\tdoneFlag=1\twhy=3",
                  "LEFT\ti=0\tcorr=00000000000000ff", "COMMIT"}),
        "END\n");
  }
}

TEST(Wire, ReadsTheWaitReportedByAFullProcessor) {
  EXPECT_EQ(
      reply_to({kClock, enlist(0), "REGISTER\tsetId=0\trecords=1", kServer, list_event(0, 0), kCall, "COMMIT",
                "CLOCK\tnowNs=5100000000",
                "VERDICT\ti=0\tcorr=00000000000000a1\ttry=0\tserver=10.0.0.1:4000\tending=FULL\t"
                "elapsedNs=40000000\tdoneFlag=0\twhy=19203\tfeedback=spare:3,total:9,avg_ms:3.5,allowed:20",
                "COMMIT"})
          .substr(0, 7),
      "DELIVER");
}

TEST(Wire, ReadsReports) {
  const std::string line =
      "X\tfeedback=spare:3,total:9,active:1,waiting:2,cpu:0.5,avg_ms:12.5,allowed:25,cut_by:0.25";
  const LoadReport report = parse_report(Message(line, 1), "feedback");
  EXPECT_EQ(report.free_circuits, 3.0);
  EXPECT_EQ(report.circuits, 9.0);
  EXPECT_EQ(report.messages_active, 1.0);
  EXPECT_EQ(report.messages_waiting, 2.0);
  EXPECT_EQ(report.processor_utilization, 0.5);
  EXPECT_EQ(report.wait, Duration(std::chrono::microseconds(12500)));
  EXPECT_EQ(report.allowed_per_s, 25.0);
  EXPECT_EQ(report.shed_fraction, 0.25);
  const LoadReport partial = parse_report(Message("X\tfeedback=spare:3,total:9,avg_ms:-1", 1), "feedback");
  EXPECT_EQ(partial.wait, std::nullopt);
}

TEST(Wire, ReadsSettings) {
  const std::string line = enlist(0);
  const Settings s = parse_settings(Message(line, 1));
  EXPECT_EQ(s.layout, Layout::groups);
  EXPECT_EQ(s.discovery, Discovery::pushed);
  EXPECT_EQ(s.processor_reports, ProcessorReports::answers);
  EXPECT_EQ(s.senders, 6U);
  EXPECT_EQ(s.own_index, 2U);
  EXPECT_EQ(s.overload_window, Duration(std::chrono::seconds(2)));
  ASSERT_EQ(s.classes.size(), 1U);
  EXPECT_EQ(s.classes[0].priority_weight, 2.5);
  EXPECT_EQ(s.classes[0].latency_objective, Duration(std::chrono::milliseconds(1100)));
  EXPECT_EQ(s.classes[0].mean_holding_time, Duration(std::chrono::seconds(7)));
  EXPECT_EQ(s.classes[0].open_pools, (std::vector<Pool>{Pool{0}, Pool{1}}));
}

struct MalformedCase {
  const char* name;
  std::vector<std::string> lines;
  std::string error;
};

class MalformedLine : public testing::TestWithParam<MalformedCase> {};

TEST_P(MalformedLine, IsReportedWithLineAndField) {
  EXPECT_EQ(find_error(GetParam().lines), GetParam().error);
}

INSTANTIATE_TEST_SUITE_P(
    Wire, MalformedLine,
    testing::Values(
        MalformedCase{"no_clock", {"QUERY\ti=0"}, "line 1: QUERY is outside a batch"},
        MalformedCase{"no_time", {"CLOCK"}, "line 1: nowNs is missing"},
        MalformedCase{"time_is_text", {"CLOCK\tnowNs=soon"}, "line 1: nowNs is not a number of its type"},
        MalformedCase{"time_too_long",
                      {"CLOCK\tnowNs=99999999999999999999"},
                      "line 1: nowNs is not a number of its type"},
        MalformedCase{"part_without_value",
                      {kClock, "TIMER\ti=0\tcookie"},
                      "line 2: cookie is not of the form name=value"},
        MalformedCase{"no_instance",
                      {kClock, "TIMER\ti=4\tcookie=1"},
                      "line 2: i is not the number of a started instance"},
        MalformedCase{
            "setting_missing", {kClock, enlist(0, "replicasOfMe")}, "line 2: replicasOfMe is missing"},
        MalformedCase{"setting_of_wrong_type",
                      {kClock, enlist(0, "limits.cancel", "\tlimits.cancel=maybe")},
                      "line 2: limits.cancel is not one of the known words"},
        MalformedCase{"classes_without_hold",
                      {kClock, enlist(0, "familyInfo.classHoldNs", "\tfamilyInfo.classHoldNs=1,2")},
                      "line 2: familyInfo.classHoldNs does not name a time for each class"},
        MalformedCase{"call_without_id",
                      {kClock, enlist(0), "QUERY\ti=0\tentity=12\tdeadlineNs=8\tcategory=0"},
                      "line 3: corr is missing"},
        MalformedCase{
            "short_id", {kClock, enlist(0), "LEFT\ti=0\tcorr=a1"}, "line 3: corr is not 16 hex digits"},
        MalformedCase{"odd_id",
                      {kClock, enlist(0), "LEFT\ti=0\tcorr=00000000000000zz"},
                      "line 3: corr is not 16 hex digits"},
        MalformedCase{
            "class_not_in_settings",
            {kClock, enlist(0), "QUERY\ti=0\tcorr=00000000000000a1\tentity=12\tdeadlineNs=8\tcategory=1"},
            "line 3: category is not the index of a class in the settings"},
        MalformedCase{"odd_outcome",
                      {kClock, enlist(0),
                       "VERDICT\ti=0\tcorr=00000000000000a1\ttry=0\tserver=a:1\tending=FINE\telapsedNs=5"},
                      "line 3: ending is not one of the known words"},
        MalformedCase{
            "odd_flag",
            {kClock, enlist(0),
             "VERDICT\ti=0\tcorr=00000000000000a1\ttry=0\tserver=a:1\tending=GOOD\telapsedNs=5\tdoneFlag="
             "yes"},
            "line 3: doneFlag is not 0 or 1"},
        MalformedCase{
            "odd_report",
            {kClock, enlist(0), "PROBE_RESULT\ti=0\tserver=a:1\tending=GOOD\telapsedNs=0\tfeedback=spare"},
            "line 3: feedback is not name:value pairs"},
        MalformedCase{"odd_bytes",
                      {kClock, enlist(0), "PEER_DATA\ti=0\tsrcPeer=1\tcontents=0g"},
                      "line 3: contents is not pairs of hex digits"},
        MalformedCase{"entry_missing",
                      {kClock, "REGISTER\tsetId=0\trecords=2", kServer, "COMMIT"},
                      "line 4: COMMIT is found where an M line is expected"},
        MalformedCase{"entry_with_odd_state",
                      {kClock, "REGISTER\tsetId=0\trecords=1",
                       "M\tserver=a:1\taz=0\tplaceNo=0\tstate=asleep\tweight=1"},
                      "line 3: state is not one of the known words"},
        MalformedCase{"unknown_list",
                      {kClock, enlist(0), list_event(0, 9)},
                      "line 3: setId is not the id of a list that was sent"},
        MalformedCase{"input_ends_in_a_batch", {kClock}, "line 2: COMMIT is missing at the end of input"}),
    [](const testing::TestParamInfo<MalformedCase>& test) { return test.param.name; });

}  // namespace
}  // namespace graniterun::wire
