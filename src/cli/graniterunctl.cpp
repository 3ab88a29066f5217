// graniterunctl, the operators' command: announces, lifts, lists and watches call gaps at several gatekeepers
// or a gap publisher; shows each gatekeeper's view of its fleet; publishes configuration and shows where it
// is active. Parses the command line and runs control::GapClient or control::ConfigClient.
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <fstream>
#include <iostream>

#include "control/config_client.h"
#include "control/gap_client.h"
#include "net/runtime.h"

namespace {

using namespace graniterun;
using namespace graniterun::control;

const char* const kFooter =
    "To let one call a second pass to a number that too many callers dial:\n"
    "  graniterunctl gap announce hiker --to 127.0.0.1:7400 --number 4711 --one-in 1s --for 2h\n"
    "  graniterunctl gap list --to 127.0.0.1:7400            check that all obey\n"
    "  graniterunctl gap lift hiker --to 127.0.0.1:7400      let all calls pass again\n"
    "--to is the announcer's address, or each gatekeeper's control address; GRANITERUN_CONTROL is its "
    "default.\n"
    "Exit status: 0 all obey, 1 some do not, 2 invalid command line, 3 no connection.";

const char* const kConfigFooter =
    "To change the configuration of one service's gatekeepers and check that it is active at all of them:\n"
    "  graniterunctl config publish trail --file trail.json --to 10.0.0.1:7800,10.0.0.2:7800\n"
    "  graniterunctl config status trail --to 10.0.0.1:7800,10.0.0.2:7800\n"
    "To roll back, publish the previous content again: it gets a new version.\n"
    "--to lists all distributors; GRANITERUN_DISTRIBUTORS is its default.\n"
    "Exit status: 0 active at all gatekeepers, 1 not at all, rejected or unknown, 2 invalid command line, 3 "
    "no "
    "distributor was reached.";

std::string user_name() {
  const char* name = std::getenv("USER");
  return name != nullptr ? name : "operator";
}

struct Options {
  std::vector<std::string> addresses{};
  std::string id{};
  std::vector<std::string> numbers{};
  std::vector<std::string> prefixes{};
  std::vector<std::string> classes{};
  std::string one_in{};
  std::string gap_duration{"1h"};
  std::string start_delay{"0ms"};
  std::string timeout{"3s"};
  std::string watch_duration{"0ms"};
  std::string treatment_text{};
  std::string author{user_name()};
  double percent = -1.0;
  std::uint64_t version = 0;
  int cause = 42;
  bool each_number = false;
  bool json = false;
};

// Parses a duration with its unit, such as `1500ms`, `2s`, `10m` or `2h`. `option` is named in the error.
std::chrono::milliseconds duration_of(const std::string& text, const char* option) {
  static const std::map<std::string, std::int64_t> kUnits{
      {"ms", 1}, {"s", 1000}, {"m", 60'000}, {"h", 3'600'000}};
  const std::size_t unit = text.find_first_not_of("0123456789.");
  const auto known_unit = unit == std::string::npos ? kUnits.end() : kUnits.find(text.substr(unit));
  double number = 0;
  if (known_unit == kUnits.end() || !CLI::detail::lexical_cast(text.substr(0, unit), number) || number > 1e7)
    throw CLI::ValidationError(option, "'" + text + "' is not a duration such as 500ms, 2s, 10m or 2h");
  return std::chrono::milliseconds(
      static_cast<std::int64_t>(number * static_cast<double>(known_unit->second)));
}

call_gapping::Announcement announcement_of(const Options& options, Time now, bool lifted) {
  call_gapping::Announcement announcement;
  const std::int64_t ms = to_unix_ms(now);
  announcement.id = options.id;
  announcement.author = options.author;
  // The version defaults to the time, so that the later of two announcements wins without a look at the
  // first.
  announcement.version = options.version != 0 ? options.version : static_cast<std::uint64_t>(ms);
  announcement.created_at = announcement.start = announcement.end = from_unix_ms(ms);
  if (lifted) return announcement;
  announcement.start += duration_of(options.start_delay, "--in");
  announcement.end = announcement.start + duration_of(options.gap_duration, "--for");
  call_gapping::Gap gap;
  gap.criteria = {options.numbers, options.prefixes, options.classes};
  gap.treatment = {options.cause, options.treatment_text};
  if (options.percent >= 0.0) {
    if (!options.one_in.empty() || options.each_number)
      throw CLI::ValidationError("--percent", "cannot be combined with --one-in or --each-number");
    gap.shape = call_gapping::Shape::percentage;
    gap.percent = options.percent;
  } else {
    if (options.one_in.empty())
      throw CLI::ValidationError("--one-in", "the interval in which one call passes, or 'none', is required");
    gap.shape = options.each_number ? call_gapping::Shape::each_number : call_gapping::Shape::whole;
    if (options.one_in != "none") gap.interval = duration_of(options.one_in, "--one-in");
  }
  announcement.gap = std::move(gap);
  if (const std::string error = call_gapping::find_error(announcement, now); !error.empty())
    throw CLI::ValidationError("gap", error);
  return announcement;
}

struct ConfigOptions {
  std::vector<std::string> addresses{};
  std::string service{};
  std::string file{};
  std::string text{};
  std::string timeout{"6s"};
  std::string wait_state{"in-force"};
  bool json = false;
};

// The subcommands of `config`.
struct ConfigCommands {
  CLI::App* publish = nullptr;
  CLI::App* status = nullptr;
  bool parsed() const { return publish->parsed() || status->parsed(); }
};

ConfigCommands add_config(CLI::App& app, ConfigOptions& options) {
  CLI::App* config = app.add_subcommand("config", "configuration of a service's gatekeepers");
  config->require_subcommand(1);
  config->footer(kConfigFooter);
  const ConfigCommands all{
      config->add_subcommand("publish", "publish a merge patch of a service's configuration"),
      config->add_subcommand("status", "show where each service's configuration is active")};
  for (CLI::App* sub : {all.publish, all.status}) {
    sub->add_option("--to", options.addresses, "addresses of all distributors, address:port")
        ->required()
        ->envname("GRANITERUN_DISTRIBUTORS")
        ->delimiter(',');
    sub->add_option("--within", options.timeout, "maximum time for the command")->capture_default_str();
    sub->add_flag("--json", options.json, "print JSON");
    sub->footer(kConfigFooter);
  }
  all.publish->add_option("service", options.service, "service whose gatekeepers receive it")->required();
  CLI::Option* file =
      all.publish->add_option("--file", options.file, "file that contains the patch; -: standard input");
  CLI::Option* text = all.publish->add_option("--json-text", options.text, "the patch itself");
  file->excludes(text);
  all.publish->add_option("--wait-for", options.wait_state, "state to wait for")
      ->capture_default_str()
      ->check(CLI::IsMember({"committed", "in-force"}));
  all.status->add_option("service", options.service, "service to show; default: all");
  return all;
}

std::string patch_of(const ConfigOptions& options) {
  std::string text = options.text;
  if (!options.file.empty()) {
    std::ifstream file;
    if (options.file != "-") file.open(options.file);
    std::istream& from = options.file == "-" ? std::cin : file;
    if (!from) throw CLI::ValidationError("--file", "cannot read " + options.file);
    text.assign(std::istreambuf_iterator<char>(from), {});
  } else if (text.empty()) {
    throw CLI::ValidationError("publish", "--file or --json-text is required");
  }
  try {
    text = canonical_patch(text);
  } catch (const ProtocolError& error) {
    throw CLI::ValidationError("publish", error.what());
  }
  if (const std::string error = find_config_error(options.service, text); !error.empty())
    throw CLI::ValidationError("publish", error);
  return text;
}

ConfigClientSettings settings_of(const ConfigCommands& commands, const ConfigOptions& options) {
  ConfigClientSettings settings;
  settings.addresses = options.addresses;
  settings.service = options.service;
  settings.json = options.json;
  settings.timeout = duration_of(options.timeout, "--within");
  settings.wait_until_active = options.wait_state == "in-force";
  settings.command = commands.publish->parsed() ? ConfigClientSettings::Command::publish
                                                : ConfigClientSettings::Command::status;
  if (commands.publish->parsed()) settings.content = patch_of(options);
  if (!settings.service.empty() && !distribution::is_service_name(settings.service))
    throw CLI::ValidationError("service", "'" + settings.service + "' is not a valid service name");
  return settings;
}

template <class Command>
int run_command(Command command) {
  net::Runtime runtime({}, net::Logger(net::Level::warning));
  return runtime.run([&command](Time now, const net::Event& event, net::Effects& effects) {
    command.step(now, event, effects);
  });
}

// The subcommands of `gap` and `fleet`.
struct GapCommands {
  CLI::App* announce = nullptr;
  CLI::App* lift = nullptr;
  CLI::App* list = nullptr;
  CLI::App* watch = nullptr;
  CLI::App* members = nullptr;
  CLI::App* view = nullptr;
  CLI::App* fleet_watch = nullptr;
  CLI::App* leave = nullptr;
  bool is_watching() const { return watch->parsed() || fleet_watch->parsed(); }
};

GapCommands add_gap_commands(CLI::App& app) {
  CLI::App* gap = app.add_subcommand("gap", "call gaps: at most one call in an interval passes to a number");
  gap->require_subcommand(1);
  CLI::App* fleet = app.add_subcommand("fleet", "the fleet as its gatekeepers see it");
  fleet->require_subcommand(1);
  GapCommands commands;
  commands.announce = gap->add_subcommand("announce", "announce or change a gap");
  commands.lift = gap->add_subcommand("lift", "lift a gap: all calls pass again");
  commands.list = gap->add_subcommand("list", "list the gaps of each, and whether all have the same");
  commands.watch = gap->add_subcommand("watch", "print changes of gaps and hot numbers as they happen");
  commands.members =
      fleet->add_subcommand("members", "list the members each knows: alive, suspect, dead, left");
  commands.view = fleet->add_subcommand(
      "view", "print one line per gatekeeper: whether its view is settled, and the digest");
  commands.fleet_watch = fleet->add_subcommand("watch", "print changes of the members as they happen");
  commands.leave =
      fleet->add_subcommand("leave", "make a gatekeeper leave the fleet; it continues to serve alone");
  return commands;
}

void add_common_options(const GapCommands& commands, Options& options) {
  const auto [announce, lift, list, watch, members, view, fleet_watch, leave] = commands;
  for (CLI::App* command : {announce, lift, list, watch, members, view, fleet_watch, leave}) {
    command->add_option("--to", options.addresses, "control addresses, address:port")
        ->required()
        ->envname("GRANITERUN_CONTROL")
        ->delimiter(',');
    command->add_flag("--json", options.json, "print JSON");
    command->footer(kFooter);
  }
  for (CLI::App* command : {announce, lift}) {
    command->add_option("id", options.id, "id of the gap")->required();
    command->add_option("--by", options.author, "name of its author");
    command->add_option("--version", options.version, "the higher of two versions wins (default: the time)");
  }
  for (CLI::App* command : {announce, lift, list, members, view, leave})
    command->add_option("--within", options.timeout, "how long to wait for the answers")
        ->capture_default_str();
  for (CLI::App* command : {watch, fleet_watch})
    command->add_option("--for", options.watch_duration, "how long to watch (0ms: until interrupted)")
        ->capture_default_str();
}

void add_gap_options(CLI::App& announce, Options& options) {
  announce.add_option("--number", options.numbers, "called numbers, separated by commas")->delimiter(',');
  announce.add_option("--prefix", options.prefixes, "prefixes of called numbers, separated by commas")
      ->delimiter(',');
  announce.add_option("--class", options.classes, "only calls of these classes, separated by commas")
      ->delimiter(',');
  announce.add_option("--one-in", options.one_in, "interval in which one call passes (1s, 500ms), or 'none'");
  announce.add_flag("--each-number", options.each_number, "limit each called number separately");
  announce.add_option("--percent", options.percent, "percentage of calls that pass, 0 to 100")
      ->check(CLI::Range(0.0, 100.0));
  announce.add_option("--for", options.gap_duration, "duration of the gap, 24h at most")
      ->capture_default_str();
  announce.add_option("--in", options.start_delay, "delay until the gap begins")->capture_default_str();
  announce.add_option("--cause", options.cause, "Q.850 cause sent to gapped callers")
      ->check(CLI::IsMember({34, 42, 102}));
  announce.add_option("--words", options.treatment_text, "text sent to gapped callers");
}

GapClientSettings::Command command_of(const GapCommands& commands) {
  if (commands.list->parsed()) return GapClientSettings::Command::list;
  if (commands.is_watching()) return GapClientSettings::Command::watch;
  if (commands.members->parsed()) return GapClientSettings::Command::members;
  if (commands.view->parsed()) return GapClientSettings::Command::view;
  if (commands.leave->parsed()) return GapClientSettings::Command::leave;
  return GapClientSettings::Command::announce;
}

GapClientSettings settings_of(const GapCommands& commands, const Options& options) {
  GapClientSettings settings;
  settings.addresses = options.addresses;
  settings.json = options.json;
  settings.timeout =
      duration_of(commands.is_watching() ? options.watch_duration : options.timeout, "--within");
  settings.command = command_of(commands);
  if (commands.announce->parsed() || commands.lift->parsed())
    settings.announcement = announcement_of(options, net::clock_now(), commands.lift->parsed());
  return settings;
}

int run(int argc, char** argv) {
  Options options;
  ConfigOptions config_options;
  CLI::App app{"Controls the call gaps, the fleet and the configuration of graniterun's gatekeepers."};
  app.footer(kFooter);
  app.require_subcommand(1);
  const GapCommands gap_commands = add_gap_commands(app);
  add_common_options(gap_commands, options);
  add_gap_options(*gap_commands.announce, options);
  const ConfigCommands config_commands = add_config(app, config_options);
  GapClientSettings gap_settings;
  ConfigClientSettings config_settings;
  try {
    app.parse(argc, argv);
    if (config_commands.parsed()) {
      config_settings = settings_of(config_commands, config_options);
    } else {
      gap_settings = settings_of(gap_commands, options);
    }
  } catch (const CLI::ParseError& error) {
    const int status = app.exit(error);
    return status == 0 ? 0 : GapClient::kUsage;
  }
  if (config_commands.parsed()) return run_command(ConfigClient(std::move(config_settings)));
  return run_command(GapClient(std::move(gap_settings)));
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    return run(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "graniterunctl: " << error.what() << '\n';
    return GapClient::kUsage;
  }
}
