// Generates the tables of docs/CAPACITY.md from measured slopes; reads and writes the named files and
// measures nothing.
//   graniterun_capacity take SLOPES.json RUN.txt...             collects slopes from the raw outputs of runs;
//                                                               figures.json beside SLOPES.json lists which
//   graniterun_capacity write PAGE.md SLOPES.json TARGET.json   writes the page's tables
//   graniterun_capacity check PAGE.md SLOPES.json TARGET.json   compares the page's tables
// Exit status: 0; 1: the page differs; 2: invalid input, reported in one line on standard error.
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

#include "bench/capacity/page.h"
#include "bench/capacity/sums.h"

using namespace graniterun::capacity;
using nlohmann::json;

namespace {

std::string read(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) throw BadInput(path + " cannot be read");
  return text.str();
}

// Writes atomically: into a temporary file, then renames it.
void write(const std::string& path, const std::string& text) {
  const std::string updated = path + ".new";
  std::ofstream file(updated, std::ios::binary);
  file << text;
  file.close();
  if (!file) throw BadInput(path + " cannot be written");
  std::filesystem::rename(updated, path);
}

json read_json(const std::string& path) {
  json value = json::parse(read(path), nullptr, false);
  if (!value.is_object()) throw BadInput(path + " is not a JSON object");
  return value;
}

int run(const std::vector<std::string>& arguments) {
  if (arguments.size() >= 3 && arguments[0] == "take") {
    const json listed =
        read_json((std::filesystem::path(arguments[1]).parent_path() / "figures.json").string());
    std::vector<Run> runs;
    for (std::size_t i = 2; i < arguments.size(); ++i)
      runs.push_back(read_run(read(arguments[i]), arguments[i]));
    write(arguments[1], to_json(collect_slopes(runs, listed)).dump(1) + "\n");
    return 0;
  }
  if (arguments.size() != 4 || (arguments[0] != "write" && arguments[0] != "check")) {
    std::cerr << "usage: graniterun_capacity take SLOPES.json RUN.txt... | write|check PAGE.md SLOPES.json "
                 "TARGET.json\n";
    return 2;
  }
  const std::string page = read(arguments[1]);
  const CapacityModel model(parse_slopes(read_json(arguments[2])), read_json(arguments[3]));
  const std::string updated = replace_tables(page, model.tables());
  if (arguments[0] == "write") {
    if (updated != page) write(arguments[1], updated);
    return 0;
  }
  const auto difference = first_difference(page, updated);
  if (!difference) return 0;
  std::cerr << arguments[1] << " does not match its slopes (run make capacity): " << *difference << "\n";
  return 1;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return run({argv + 1, argv + argc});
  } catch (const BadInput& error) {
    std::cerr << "graniterun_capacity: " << error.what() << "\n";
  } catch (const json::exception& error) {
    std::cerr << "graniterun_capacity: malformed input file: " << error.what() << "\n";
  }
  return 2;
}
