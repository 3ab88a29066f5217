// graniterunctl: announces and lifts call gaps, lists and watches them, at many gatekeepers or an announcer;
// tells what each gatekeeper knows of its fleet; publishes configuration and tells how far it has come.
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
    "When a hiker goes missing and everyone calls the same number:\n"
    "  graniterunctl gap announce hiker --to 127.0.0.1:7400 --number 4711 --one-in 1s --for 2h\n"
    "  graniterunctl gap list --to 127.0.0.1:7400            see that all obey\n"
    "  graniterunctl gap lift hiker --to 127.0.0.1:7400      when it is over\n"
    "--to is the announcer, or each gatekeeper's control address; GRANITERUN_CONTROL holds it for all "
    "calls.\n"
    "Exit status: 0 all obey, 1 some do not, 2 the call was wrong, 3 nobody was reached.";

const char* const kConfigFooter =
    "To change the configuration of one service's gatekeepers, and see that all have it in force:\n"
    "  graniterunctl config publish trail --file trail.json --to 10.0.0.1:7800,10.0.0.2:7800\n"
    "  graniterunctl config status trail --to 10.0.0.1:7800,10.0.0.2:7800\n"
    "To go back, publish the old content again: it gets a new number.\n"
    "--to names all distributors; GRANITERUN_DISTRIBUTORS holds them for all calls.\n"
    "Exit status: 0 in force at all, 1 not at all of them, refused or not known, 2 the call was wrong, 3 no "
    "distributor was reached.";

std::string user() {
  const char* name = std::getenv("USER");
  return name != nullptr ? name : "operator";
}

struct Options {
  std::vector<std::string> to{};
  std::string id{};
  std::vector<std::string> numbers{};
  std::vector<std::string> prefixes{};
  std::vector<std::string> classes{};
  std::string one_in{};
  std::string lasts{"1h"};
  std::string starts_in{"0ms"};
  std::string within{"3s"};
  std::string watch_for{"0ms"};
  std::string words{};
  std::string by{user()};
  double percent = -1.0;
  std::uint64_t version = 0;
  int cause = 42;
  bool each = false;
  bool json = false;
};

// `1500ms`, `2s`, `10m`, `2h`: the unit has to be there.
std::chrono::milliseconds duration_of(const std::string& text, const char* what) {
  static const std::map<std::string, std::int64_t> kUnits{
      {"ms", 1}, {"s", 1000}, {"m", 60'000}, {"h", 3'600'000}};
  const std::size_t unit = text.find_first_not_of("0123456789.");
  const auto known = unit == std::string::npos ? kUnits.end() : kUnits.find(text.substr(unit));
  double figure = 0;
  if (known == kUnits.end() || !CLI::detail::lexical_cast(text.substr(0, unit), figure) || figure > 1e7)
    throw CLI::ValidationError(what, "'" + text + "' is not a time: write 500ms, 2s, 10m or 2h");
  return std::chrono::milliseconds(static_cast<std::int64_t>(figure * static_cast<double>(known->second)));
}

call_gapping::Announcement announcement_of(const Options& o, Time now, bool lifted) {
  call_gapping::Announcement a;
  const std::int64_t ms = to_unix_ms(now);
  a.id = o.id;
  a.author = o.by;
  // The time as version: of two announcements the later one holds, and nobody has to ask which was the last.
  a.version = o.version != 0 ? o.version : static_cast<std::uint64_t>(ms);
  a.created_at = a.start = a.end = from_unix_ms(ms);
  if (lifted) return a;
  a.start += duration_of(o.starts_in, "--in");
  a.end = a.start + duration_of(o.lasts, "--for");
  call_gapping::Gap g;
  g.criteria = {o.numbers, o.prefixes, o.classes};
  g.treatment = {o.cause, o.words};
  if (o.percent >= 0.0) {
    if (!o.one_in.empty() || o.each)
      throw CLI::ValidationError("--percent", "has no --one-in and no --each-number");
    g.shape = call_gapping::Shape::percentage;
    g.percent = o.percent;
  } else {
    if (o.one_in.empty()) throw CLI::ValidationError("--one-in", "say how often one call passes, or 'none'");
    g.shape = o.each ? call_gapping::Shape::each_number : call_gapping::Shape::whole;
    if (o.one_in != "none") g.interval = duration_of(o.one_in, "--one-in");
  }
  a.gap = std::move(g);
  if (const std::string trouble = call_gapping::find_error(a, now); !trouble.empty())
    throw CLI::ValidationError("gap", trouble);
  return a;
}

struct ConfigOptions {
  std::vector<std::string> to{};
  std::string service{};
  std::string file{};
  std::string text{};
  std::string within{"6s"};
  std::string wait_for{"in-force"};
  bool json = false;
};

// `publish` and `status` of `config`.
struct ConfigCommands {
  CLI::App* publish = nullptr;
  CLI::App* status = nullptr;
  bool parsed() const { return publish->parsed() || status->parsed(); }
};

ConfigCommands add_config(CLI::App& app, ConfigOptions& o) {
  CLI::App* config =
      app.add_subcommand("config", "configuration: distributed to the gatekeepers of a service");
  config->require_subcommand(1);
  config->footer(kConfigFooter);
  const ConfigCommands all{
      config->add_subcommand("publish", "publish a merge patch of a service's configuration"),
      config->add_subcommand("status", "how far each service's document has come")};
  for (CLI::App* sub : {all.publish, all.status}) {
    sub->add_option("--to", o.to, "addresses of all distributors, address:port")
        ->required()
        ->envname("GRANITERUN_DISTRIBUTORS")
        ->delimiter(',');
    sub->add_option("--within", o.within, "for all of it")->capture_default_str();
    sub->add_flag("--json", o.json, "JSON for programs");
    sub->footer(kConfigFooter);
  }
  all.publish->add_option("service", o.service, "whose gatekeepers are to take it")->required();
  CLI::Option* file = all.publish->add_option("--file", o.file, "where the patch stands; -: standard input");
  CLI::Option* text = all.publish->add_option("--json-text", o.text, "the patch itself");
  file->excludes(text);
  all.publish->add_option("--wait-for", o.wait_for, "what to wait for")
      ->capture_default_str()
      ->check(CLI::IsMember({"committed", "in-force"}));
  all.status->add_option("service", o.service, "the service; without it a line for each");
  return all;
}

std::string patch_of(const ConfigOptions& o) {
  std::string text = o.text;
  if (!o.file.empty()) {
    std::ifstream file;
    if (o.file != "-") file.open(o.file);
    std::istream& from = o.file == "-" ? std::cin : file;
    if (!from) throw CLI::ValidationError("--file", "cannot read " + o.file);
    text.assign(std::istreambuf_iterator<char>(from), {});
  } else if (text.empty()) {
    throw CLI::ValidationError("publish", "say what: --file or --json-text");
  }
  try {
    text = canonical_patch(text);
  } catch (const ProtocolError& trouble) {
    throw CLI::ValidationError("publish", trouble.what());
  }
  if (const std::string trouble = find_config_error(o.service, text); !trouble.empty())
    throw CLI::ValidationError("publish", trouble);
  return text;
}

ConfigClientSettings settings_of(const ConfigCommands& commands, const ConfigOptions& o) {
  ConfigClientSettings s;
  s.addresses = o.to;
  s.service = o.service;
  s.json = o.json;
  s.timeout = duration_of(o.within, "--within");
  s.wait_until_active = o.wait_for == "in-force";
  s.command = commands.publish->parsed() ? ConfigClientSettings::Command::publish
                                         : ConfigClientSettings::Command::status;
  if (commands.publish->parsed()) s.content = patch_of(o);
  if (!s.service.empty() && !distribution::is_service_name(s.service))
    throw CLI::ValidationError("service", "'" + s.service + "' is no service's name");
  return s;
}

template <class Command>
int run_to_the_end(Command command) {
  net::Runtime runtime({}, net::Logger(net::Level::warning));
  return runtime.run([&command](Time now, const net::Event& event, net::Effects& effects) {
    command.step(now, event, effects);
  });
}

// The commands of `gap` and `fleet`.
struct GapCommands {
  CLI::App* announce = nullptr;
  CLI::App* lift = nullptr;
  CLI::App* list = nullptr;
  CLI::App* watch = nullptr;
  CLI::App* members = nullptr;
  CLI::App* view = nullptr;
  CLI::App* fleet_watch = nullptr;
  CLI::App* leave = nullptr;
  bool watches() const { return watch->parsed() || fleet_watch->parsed(); }
};

GapCommands add_gap_commands(CLI::App& app) {
  CLI::App* gap = app.add_subcommand("gap", "call gaps: at most one call in an interval passes to a number");
  gap->require_subcommand(1);
  CLI::App* fleet = app.add_subcommand("fleet", "the gatekeepers as they know each other");
  fleet->require_subcommand(1);
  GapCommands commands;
  commands.announce = gap->add_subcommand("announce", "announce a gap, or change one");
  commands.lift = gap->add_subcommand("lift", "lift a gap: all calls pass again");
  commands.list = gap->add_subcommand("list", "what each holds, and whether all hold the same");
  commands.watch = gap->add_subcommand("watch", "tell of every change as it happens");
  commands.members = fleet->add_subcommand("members", "whom each knows: alive, suspect, dead, left");
  commands.view = fleet->add_subcommand("view", "a line each: whether it is settled, and the digest");
  commands.fleet_watch = fleet->add_subcommand("watch", "tell of every change as it happens");
  commands.leave = fleet->add_subcommand("leave", "it says that it leaves, and serves on alone");
  return commands;
}

void add_common_options(const GapCommands& commands, Options& options) {
  const auto [announce, lift, list, watch, members, view, fleet_watch, leave] = commands;
  for (CLI::App* command : {announce, lift, list, watch, members, view, fleet_watch, leave}) {
    command->add_option("--to", options.to, "control addresses, address:port")
        ->required()
        ->envname("GRANITERUN_CONTROL")
        ->delimiter(',');
    command->add_flag("--json", options.json, "JSON for programs");
    command->footer(kFooter);
  }
  for (CLI::App* command : {announce, lift}) {
    command->add_option("id", options.id, "the gap's name")->required();
    command->add_option("--by", options.by, "who announces it");
    command->add_option("--version", options.version, "of two the higher one holds (default: the time)");
  }
  for (CLI::App* command : {announce, lift, list, members, view, leave})
    command->add_option("--within", options.within, "how long to wait for all to obey")
        ->capture_default_str();
  for (CLI::App* command : {watch, fleet_watch})
    command->add_option("--for", options.watch_for, "how long to watch (0ms: until it is ended)")
        ->capture_default_str();
}

void add_gap_options(CLI::App& announce, Options& options) {
  announce.add_option("--number", options.numbers, "a called number")->delimiter(',');
  announce.add_option("--prefix", options.prefixes, "how called numbers begin")->delimiter(',');
  announce.add_option("--class", options.classes, "only calls of this class")->delimiter(',');
  announce.add_option("--one-in", options.one_in, "one call passes in so long (1s, 500ms), or 'none'");
  announce.add_flag("--each-number", options.each, "count each called number under the prefix apart");
  announce.add_option("--percent", options.percent, "this share of calls passes")
      ->check(CLI::Range(0.0, 100.0));
  announce.add_option("--for", options.lasts, "how long it holds, 24h at most")->capture_default_str();
  announce.add_option("--in", options.starts_in, "when it begins, from now")->capture_default_str();
  announce.add_option("--cause", options.cause, "Q.850 cause that callers are told")
      ->check(CLI::IsMember({34, 42, 102}));
  announce.add_option("--words", options.words, "words that callers are told");
}

GapClientSettings::Command command_of(const GapCommands& commands) {
  if (commands.list->parsed()) return GapClientSettings::Command::list;
  if (commands.watches()) return GapClientSettings::Command::watch;
  if (commands.members->parsed()) return GapClientSettings::Command::members;
  if (commands.view->parsed()) return GapClientSettings::Command::view;
  if (commands.leave->parsed()) return GapClientSettings::Command::leave;
  return GapClientSettings::Command::announce;
}

GapClientSettings settings_of(const GapCommands& commands, const Options& options) {
  GapClientSettings settings;
  settings.addresses = options.to;
  settings.json = options.json;
  settings.timeout = duration_of(commands.watches() ? options.watch_for : options.within, "--within");
  settings.command = command_of(commands);
  if (commands.announce->parsed() || commands.lift->parsed())
    settings.announcement = announcement_of(options, net::clock_now(), commands.lift->parsed());
  return settings;
}

int run(int argc, char** argv) {
  Options options;
  ConfigOptions config_options;
  CLI::App app{"Announces call gaps to graniterun's gatekeepers, lifts them, and tells of their fleet."};
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
  if (config_commands.parsed()) return run_to_the_end(ConfigClient(std::move(config_settings)));
  return run_to_the_end(GapClient(std::move(gap_settings)));
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    return run(argc, argv);
  } catch (const std::exception& trouble) {
    std::cerr << "graniterunctl: " << trouble.what() << '\n';
    return GapClient::kUsage;
  }
}
