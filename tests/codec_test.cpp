// The protocol readers and the ring buffer: input split at each byte, malformed input, and bounds.
#include <random>

#include "check.h"
#include "codec/http.h"
#include "codec/jsonl.h"
#include "codec/sip.h"
#include "net/ring.h"

using namespace graniterun;

namespace {

void sip_reader_accepts_any_split() {
  const std::string one =
      "INVITE sip:7f3a@net SIP/2.0\r\nv: SIP/2.0/TCP a;branch=z9hG4bKx\r\ni: abc\r\nCSeq: 1 INVITE\r\n"
      "Subject: folded\r\n  over lines\r\nContent-Length: 5\r\n\r\nhello";
  const std::string two = one + "\r\n\r\nSIP/2.0 200 OK\r\nCall-ID: d\r\nContent-Length: 0\r\n\r\n";
  for (std::size_t cut = 0; cut < one.size(); ++cut)
    CHECK(sip::read_stream(std::string_view(two).substr(0, cut)).state == sip::ReadState::more);
  const sip::ReadResult first = sip::read_stream(two);
  CHECK(first.state == sip::ReadState::message);
  CHECK_EQ(first.used, one.size());
  CHECK_EQ(first.message.body, "hello");
  CHECK_EQ(first.message.header("call-id"), "abc");
  CHECK_EQ(first.message.header("Subject"), "folded over lines");
  CHECK_EQ(sip::parameter(first.message.header("Via"), "branch"), "z9hG4bKx");
  const sip::ReadResult second = sip::read_stream(std::string_view(two).substr(first.used));
  CHECK_EQ(second.message.status, 200);
  const sip::ReadResult again = sip::read_stream(first.message.text());
  CHECK_EQ(again.message.text(), first.message.text());
}

void sip_reader_rejects_malformed_messages() {
  const auto read = [](std::string text) { return sip::read_stream(text); };
  CHECK(read("INVITE sip:a@b SIP/2.0\r\nCall-ID: x\r\n\r\n")
            .unrecoverable);  // no Content-Length: nothing after it can be read
  CHECK(read("INVITE sip:a@b SIP/2.0\r\nContent-Length: -1\r\n\r\n").unrecoverable);
  CHECK(read("X\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n").unrecoverable);
  CHECK(read("INVITE sip:a@b SIP/2.0\r\nContent-Length: 99999\r\n\r\n").unrecoverable);
  CHECK(read(std::string(20000, 'a')).unrecoverable);
  const sip::ReadResult recoverable =
      read("INVITE sip:a@b SIP/3.0\r\nCall-ID: x\r\nContent-Length: 0\r\n\r\n");
  CHECK(recoverable.state == sip::ReadState::malformed && !recoverable.unrecoverable);
  CHECK_EQ(recoverable.message.header("Call-ID"), "x");
  CHECK(sip::read_datagram("INVITE sip:a@b SIP/2.0\r\nContent-Length: 9\r\n\r\nshort").state ==
        sip::ReadState::malformed);
  CHECK_EQ(sip::read_datagram("INVITE sip:a@b SIP/2.0\r\nContent-Length: 2\r\n\r\nabcd").message.body, "ab");
}

// Guards against a head that is parsed again for each piece of its body: a client that writes single bytes
// would cost a thousand times its share of processor time.
void partial_sip_message_names_the_bytes_that_it_needs() {
  const std::string head = "\r\nOPTIONS sip:a@b SIP/2.0\r\nContent-Length: 5\r\n\r\n";
  for (std::size_t cut = 1; cut <= head.size() + 4; ++cut) {
    const sip::ReadResult read = sip::read_stream((head + "abcde").substr(0, cut));
    CHECK(read.state == sip::ReadState::more);
    CHECK_EQ(read.needed, cut < head.size() ? 0U : head.size() - 2 + 5);
  }
  CHECK_EQ(sip::read_stream(head + "abcde").needed, 0U);
}

void json_lines_are_read_and_written() {
  const std::string line =
      R"({"type":"setup","id":"9b1f03aa5c7e2d41","fields":{"left":"1500","n":3},"cause":34,"sdp":"a\r\nb"})"
      "\n";
  for (std::size_t cut = 0; cut < line.size(); ++cut)
    CHECK(jsonl::read(std::string_view(line).substr(0, cut)).state == jsonl::ReadState::more);
  const jsonl::ReadResult read = jsonl::read(line);
  CHECK(read.state == jsonl::ReadState::message);
  CHECK_EQ(read.message.field("left"), "1500");
  CHECK_EQ(read.message.field("n"), "3");
  CHECK_EQ(*read.message.description, "a\r\nb");
  CHECK_EQ(*read.message.cause, 34);
  CHECK_EQ(jsonl::read(read.message.text()).message.text(), read.message.text());
  const jsonl::ReadResult not_json = jsonl::read("{\"type\":\"setup\",\"id\":\"9b1f03aa5c7e2d41\",]\n");
  CHECK(not_json.state == jsonl::ReadState::malformed);
  CHECK_EQ(not_json.message.id, "9b1f03aa5c7e2d41");
  CHECK(jsonl::read("{\"type\":\"setup\",\"id\":\"short\"}\n").message.id.empty());
  CHECK(jsonl::read(std::string(jsonl::kMaxLineBytes, 'x')).unrecoverable);
  CHECK(jsonl::read(std::string(5000, '[') + "\n").state == jsonl::ReadState::malformed);
}

void events_are_read_from_a_chunked_response() {
  http::Head head;
  const std::string text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  CHECK(http::read_head(text.substr(0, 20), head) == http::HeadState::more);
  CHECK(http::read_head(text, head) == http::HeadState::whole);
  CHECK(http::read_head("SSH-2.0\r\n\r\n", head) == http::HeadState::malformed);
  http::BodyReader body(head);
  std::string out;
  CHECK_EQ(*body.take("5\r\n: hi\n\r\n1b\r\nid: 7\ndata: {\"a\":\ndata: 1}\n\r\n", out), 43U);
  CHECK(!http::take_event(out));  // the event is incomplete: no empty line yet
  body.take("1\r\n\n\r\n0\r\n\r\n", out);
  CHECK(body.done());
  const auto event = http::take_event(out);
  CHECK(event.has_value());
  CHECK_EQ(event->id, "7");
  CHECK_EQ(event->data, "{\"a\":\n1}");
  http::BodyReader broken(head);
  CHECK(!broken.take("zz\r\n", out));
}

// What one read delivers at most to a reader of messages of 16 KiB: the buffer doubles while it holds an
// unfinished message.
constexpr std::size_t kMaxRead = 2 * 16 * 1024 + 4096;

// Guards against a stack overflow in a reader that calls itself for each separator: one caller's 19,000 empty
// lines in one read ended the process.
void runs_of_separators_take_bounded_stack() {
  const std::string line = R"({"type":"ping","id":"00000000000000ee"})"
                           "\n";
  const std::string request = "OPTIONS sip:a@b SIP/2.0\r\nContent-Length: 0\r\n\r\n";
  for (const std::string separator : {"\n", "\r\n", " \n", "\t\r\n"}) {
    std::string run;
    while (run.size() < kMaxRead) run += separator;
    const jsonl::ReadResult empty = jsonl::read(run);
    CHECK(empty.state == jsonl::ReadState::more);
    CHECK_EQ(empty.used, run.size());
    const jsonl::ReadResult read = jsonl::read(run + line + line);
    CHECK(read.state == jsonl::ReadState::message);
    CHECK_EQ(read.message.type, "ping");
    CHECK_EQ(read.used, run.size() + line.size());
  }
  for (const std::string separator : {"\n", "\r\n", "\r"}) {
    std::string run;
    while (run.size() < kMaxRead) run += separator;
    CHECK_EQ(sip::read_stream(run).used, run.size());
    CHECK_EQ(sip::read_stream(run + request).used, run.size() + request.size());
    CHECK(sip::read_datagram(run).state == sip::ReadState::more);
    CHECK(sip::read_datagram(run + request).state == sip::ReadState::message);
  }
  for (const std::string separator : {"\n", "\r\n", ":\n"}) {
    std::string run;
    while (run.size() < kMaxRead) run += separator;
    std::string events = run + "id: 7\ndata: {}\n\n";
    const auto event = http::take_event(events);
    CHECK(event.has_value());
    CHECK_EQ(event->id, "7");
    CHECK(events.empty());
  }
}

// Compares the ring with a string under random puts and drops.
void ring_behaves_as_a_queue() {
  for (std::uint32_t seed = 1; seed <= 20; ++seed) {
    std::mt19937 random(seed);
    net::RingBuffer ring(5000);
    std::string model;
    for (int step = 0; step < 2000; ++step) {
      const std::size_t count = random() % 1500;
      if (random() % 2 == 0) {
        const std::string bytes(count, static_cast<char>('a' + random() % 26));
        const bool fits = model.size() + count <= 5000;
        CHECK_EQ(ring.append(bytes), fits);
        if (fits) model += bytes;
      } else {
        ring.consume(count);
        model.erase(0, std::min(count, model.size()));
      }
      CHECK_EQ(ring.size(), model.size());
      if (random() % 8 == 0) CHECK_EQ(ring.contents(), std::string_view(model));
    }
  }
}

// For any input, a reader returns and consumes no more than it was given.
void readers_survive_random_bytes() {
  std::mt19937 random(7);
  const std::string seeds[] = {"INVITE sip:a@b SIP/2.0\r\nContent-Length: 3\r\n\r\nabc",
                               "{\"id\":1,\"type\":[]}\n", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"};
  for (int round = 0; round < 20000; ++round) {
    std::string text = seeds[random() % 3];
    for (int i = 0; i < 3; ++i) text[random() % text.size()] = static_cast<char>(random());
    // Mutations of whole messages do not produce long runs of one separator.
    if (round % 50 == 0)
      text.insert(random() % text.size(), random() % kMaxRead, "\n\r \t:;,{["[random() % 9]);
    CHECK(sip::read_stream(text).used <= text.size());
    CHECK(sip::read_datagram(text).used <= text.size());
    CHECK(jsonl::read(text).used <= text.size());
    http::Head head;
    if (http::read_head(text, head) == http::HeadState::whole) CHECK(head.size <= text.size());
  }
}

}  // namespace

int main() {
  sip_reader_accepts_any_split();
  sip_reader_rejects_malformed_messages();
  partial_sip_message_names_the_bytes_that_it_needs();
  json_lines_are_read_and_written();
  events_are_read_from_a_chunked_response();
  runs_of_separators_take_bounded_stack();
  ring_behaves_as_a_queue();
  readers_survive_random_bytes();
}
