// docs/CAPACITY.md, worked out: reads and writes the named files and measures nothing.
//   graniterun_capacity take SLOPES.json RUN.txt...        measured slopes out of raw outputs; which figures
//   are
//                                                          kept stands in figures.json beside SLOPES.json
//   graniterun_capacity write PAGE.md SLOPES.json TARGET.json   the page's tables
//   graniterun_capacity check PAGE.md SLOPES.json TARGET.json   exits with 1 where they are not those
// Status: 0; 1: the page differs; 2: what it was given is no use, told in one line.
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
  if (!file) throw BadInput(path + " can't be read");
  return text.str();
}

// Whole, or not at all.
void write(const std::string& path, const std::string& text) {
  const std::string fresh = path + ".new";
  std::ofstream file(fresh, std::ios::binary);
  file << text;
  file.close();
  if (!file) throw BadInput(path + " can't be written");
  std::filesystem::rename(fresh, path);
}

json read_json(const std::string& path) {
  json value = json::parse(read(path), nullptr, false);
  if (!value.is_object()) throw BadInput(path + " is no JSON object");
  return value;
}

int run(const std::vector<std::string>& words) {
  if (words.size() >= 3 && words[0] == "take") {
    const json listed = read_json((std::filesystem::path(words[1]).parent_path() / "figures.json").string());
    std::vector<Run> runs;
    for (std::size_t i = 2; i < words.size(); ++i) runs.push_back(read_run(read(words[i]), words[i]));
    write(words[1], to_json(slopes_of(runs, listed)).dump(1) + "\n");
    return 0;
  }
  if (words.size() != 4 || (words[0] != "write" && words[0] != "check")) {
    std::cerr << "usage: graniterun_capacity take SLOPES.json RUN.txt... | write|check PAGE.md SLOPES.json "
                 "TARGET.json\n";
    return 2;
  }
  const std::string page = read(words[1]);
  const Sums sums(slopes_in(read_json(words[2])), read_json(words[3]));
  const std::string fresh = with_tables(page, sums.tables());
  if (words[0] == "write") {
    if (fresh != page) write(words[1], fresh);
    return 0;
  }
  const auto difference = first_difference(page, fresh);
  if (!difference) return 0;
  std::cerr << words[1] << " is not what its slopes come to (make capacity): " << *difference << "\n";
  return 1;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return run({argv + 1, argv + argc});
  } catch (const BadInput& trouble) {
    std::cerr << "graniterun_capacity: " << trouble.what() << "\n";
  } catch (const json::exception& trouble) {
    std::cerr << "graniterun_capacity: a file is malformed: " << trouble.what() << "\n";
  }
  return 2;
}
