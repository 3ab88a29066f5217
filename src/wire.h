// The simulator's wire: lines of text in, controllers' actions out. Nothing is decided here.
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

// Input that does not keep to the wire's form. Its text is one plain line: line number, field, what is wrong.
class MalformedInput : public std::runtime_error {
 public:
  MalformedInput(std::size_t line_number, std::string_view field, std::string_view trouble);
};

// One line: a name and name=value fields, set apart by tabs. Views into the line, which must outlive it.
class Message {
 public:
  Message(std::string_view line, std::size_t line_number);

  std::string_view name() const { return name_; }
  std::optional<std::string_view> find(std::string_view field) const;
  std::string_view text(std::string_view field) const;  // throws MalformedInput where the field is missing

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
  bool find_flag(std::string_view field) const;  // absent: not set
  CallId call(std::string_view field) const;
  std::vector<std::uint8_t> bytes(std::string_view field) const;

  // One of the words; throws MalformedInput for any other.
  template <class Value, std::size_t N>
  Value one_of(std::string_view field, const std::pair<std::string_view, Value> (&words)[N]) const {
    const std::string_view value = text(field);
    for (const auto& [word, meaning] : words) {
      if (word == value) return meaning;
    }
    fail(field, "is not one of the known words");
  }

  [[noreturn]] void fail(std::string_view field, std::string_view trouble) const;

 private:
  std::string_view name_;
  std::vector<std::pair<std::string_view, std::string_view>> fields_;
  std::size_t line_number_;
};

// The settings of an ENLIST. Names of sites, classes and hosts are left out on purpose.
Settings parse_settings(const Message& message);

// The values of a load report, `names` apart; -1 stands for a value that is not told.
LoadReport parse_report(const Message& message, std::string_view field);

// One value of a report, under the simulator's name for it or the sockets'. Below 0: not told.
void note_value(LoadReport& report, std::string_view name, double figure);

// Hosts the controllers of one process and speaks the wire for them.
class Host {
 public:
  explicit Host(std::ostream& out) : out_(out) {}

  // Takes one line of input, without its line end. A COMMIT writes and flushes the reply.
  void take(std::string_view line);
  // The input has ended; throws MalformedInput inside a batch.
  void end();

 private:
  struct Entry {
    std::string server;
    ServerEntry entry;
  };

  // One sender: its controller and the addresses of the core servers that it was told of.
  class Instance {
   public:
    Instance(Settings settings, std::uint64_t seed)
        : classes(settings.classes.size()), controller(std::move(settings), seed) {}
    ServerId id_of(std::string_view address);
    std::size_t classes;  // how many the settings hold
    Controller controller;
    std::vector<std::string> addresses;  // by ServerId

   private:
    std::map<std::string, ServerId, std::less<>> ids_;
  };

  void event(const Message& message);
  void start(const Message& message);
  void take_entry(const Message& message);
  Instance& instance(const Message& message);
  void hand_over(const Message& message, const Event& event);

  std::ostream& out_;
  std::size_t line_number_ = 0;
  std::optional<Time> now_;  // set inside a batch
  std::map<int, Instance> instances_;
  std::map<int, std::vector<Entry>> lists_;
  std::vector<Entry>* open_list_ = nullptr;  // entries are still to come for it
  std::size_t entries_to_come_ = 0;
  std::vector<Action> actions_;
  std::string reply_;
};

}  // namespace graniterun::wire
