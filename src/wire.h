// The simulator's protocol: reads lines of text with events, hands them to controllers, and writes the
// actions as lines of text. Names of messages, fields and values are the simulator's; they are mapped here
// and nowhere else. Makes no decisions.
#pragma once

#include <charconv>
#include <cstddef>
#include <map>
#include <optional>
#include <ostream>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "graniterun/controller.h"

namespace graniterun::wire {

// Input that violates the protocol. what() is one line: line number, field, and what is wrong.
class MalformedInput : public std::runtime_error {
 public:
  MalformedInput(std::size_t line_number, std::string_view field, std::string_view problem);
};

// One parsed line: a name, and fields of the form name=value, separated by tabs. Holds views into the line,
// which must outlive the message. The accessors throw MalformedInput for values of another form.
class Message {
 public:
  Message(std::string_view line, std::size_t line_number);

  std::string_view name() const { return name_; }
  std::optional<std::string_view> find(std::string_view field) const;
  std::string_view text(std::string_view field) const;  // throws MalformedInput if the field is missing

  template <class Number>
  std::optional<Number> find_number(std::string_view field) const {
    const auto value = find(field);
    return value ? std::optional(parse_number<Number>(field, *value)) : std::nullopt;
  }
  template <class Number>
  Number number(std::string_view field) const {
    return parse_number<Number>(field, text(field));
  }
  template <class Number>
  Number parse_number(std::string_view field, std::string_view value) const {
    Number result{};
    const char* const end = value.data() + value.size();
    const auto [stop, error] = std::from_chars(value.data(), end, result);
    if (error != std::errc{} || stop != end) fail(field, "is not a number of its type");
    return result;
  }

  Duration duration(std::string_view field) const;  // nanoseconds
  Time time(std::string_view field) const;
  bool flag(std::string_view field) const;       // 1 or 0
  bool find_flag(std::string_view field) const;  // absent: false
  CallId call(std::string_view field) const;
  std::vector<std::uint8_t> bytes(std::string_view field) const;

  // The value that `words` assigns to the field's word; throws MalformedInput for any other word.
  template <class Value, std::size_t N>
  Value one_of(std::string_view field, const std::pair<std::string_view, Value> (&words)[N]) const {
    const std::string_view value = text(field);
    for (const auto& [word, meaning] : words) {
      if (word == value) return meaning;
    }
    fail(field, "is not one of the known words");
  }

  [[noreturn]] void fail(std::string_view field, std::string_view problem) const;

 private:
  std::string_view name_;
  std::vector<std::pair<std::string_view, std::string_view>> fields_;
  std::size_t line_number_;
};

// Parses the settings of an ENLIST message. Names of sites, classes and hosts are ignored.
Settings parse_settings(const Message& message);

// Parses a load report: name:value pairs, separated by commas; -1 stands for an unknown value.
LoadReport parse_report(const Message& message, std::string_view field);

// Sets one value of a report, given under the simulator's name for it or the setup servers'. Ignores unknown
// names, and values below 0, which stand for unknown.
void set_report_value(LoadReport& report, std::string_view name, double value);

// Runs the controllers of one process and translates between them and the simulator's protocol.
class SimulatorAdapter {
 public:
  explicit SimulatorAdapter(std::ostream& out) : out_(out) {}

  // Handles one line of input, without its line end. A COMMIT writes and flushes the reply to its batch.
  void handle_line(std::string_view line);
  // Handles the end of the input; throws MalformedInput inside a batch.
  void handle_end_of_input();

 private:
  struct ListEntry {
    std::string address;
    ServerEntry entry;
  };

  // One sender: its controller and the addresses of the servers it has seen.
  class Instance {
   public:
    Instance(Settings settings, std::uint64_t seed)
        : class_count(settings.classes.size()), controller(std::move(settings), seed) {}
    // Returns the id of the address; assigns the next one to a new address.
    ServerId server_id(std::string_view address);
    std::size_t class_count;
    Controller controller;
    std::vector<std::string> addresses;  // by ServerId

   private:
    std::map<std::string, ServerId, std::less<>> ids_;
  };

  void handle_message(const Message& message);
  void start_instance(const Message& message);
  void handle_list_entry(const Message& message);
  Instance& instance(const Message& message);
  void dispatch(const Message& message, const Event& event);

  std::ostream& out_;
  std::size_t line_number_ = 0;
  std::optional<Time> now_;  // set inside a batch
  std::map<int, Instance> instances_;
  std::map<int, std::vector<ListEntry>> lists_;
  std::vector<ListEntry>* open_list_ = nullptr;  // the list whose M lines are being read
  std::size_t missing_entries_ = 0;              // M lines of the open list that have not come yet
  std::vector<Action> actions_;
  std::string reply_;
};

}  // namespace graniterun::wire
