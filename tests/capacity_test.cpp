// Tests of the capacity tool: fitting, parsing of runs, page markers and the capacity model; and that the
// committed page, slopes, runs and source bounds are consistent with each other.
#include <algorithm>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <functional>
#include <sstream>

#include "bench/capacity/fit.h"
#include "bench/capacity/page.h"
#include "bench/capacity/slopes.h"
#include "bench/capacity/sums.h"
#include "check.h"

using namespace graniterun::capacity;
using nlohmann::json;

namespace {

std::string read(const std::string& path) {
  std::ifstream file(SOURCE_DIR "/" + path);
  CHECK(file.good());
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}
json read_json(const std::string& path) { return json::parse(read(path)); }

// Message of the BadInput that `act` throws; empty if it throws none.
std::string error_of(const std::function<void()>& act) {
  try {
    act();
  } catch (const BadInput& error) {
    return error.what();
  }
  return {};
}
bool near(double a, double b) { return a > b * 0.999 - 1e-6 && a < b * 1.001 + 1e-6; }

// ---- the fit

std::vector<Point> points_of(const std::function<double(double)>& law) {
  std::vector<Point> points;
  for (const double size : {30.0, 100.0, 300.0, 1000.0}) points.push_back({size, {law(size)}});
  return points;
}

void fit_finds_each_law() {
  const Fit constant = fit(points_of([](double) { return 7.0; }));
  CHECK(constant.law == Law::constant);
  CHECK(near(constant.at(13'000), 7.0));
  const Fit log_n = fit(points_of([](double n) { return 2.0 + 3.0 * std::log(n); }));
  CHECK(log_n.law == Law::log_n);
  CHECK(near(log_n.at(13'000), 2.0 + 3.0 * std::log(13'000.0)));
  const Fit n = fit(points_of([](double n) { return 5.0 + 0.5 * n; }));
  CHECK(n.law == Law::n);
  CHECK(near(n.at(13'000), 6505.0));
  CHECK(near(*n.error, 0.0));
  CHECK(*n.errors[0] > 0.5 && *n.errors[1] > 0.1);
}

void fit_holds_out_the_largest_size() {
  // Three sizes are on one line; the value at the fourth is twice the prediction.
  std::vector<Point> points{{1000, {2010.0}}, {30, {40.0}}, {100, {110.0}}, {300, {310.0}}};
  const Fit f = fit(points);
  CHECK(f.law == Law::n);
  CHECK(near(*f.error, 0.4975));
  CHECK(f.at(1000) > 1500.0);  // the chosen law is fitted to all sizes
  CHECK(near(f.largest, 1000));
}

void fit_with_few_sizes_is_constant() {
  const Fit one = fit({{10, {3.0, 5.0, 4.0}}});
  CHECK(one.law == Law::constant && !one.error);
  CHECK(near(one.at(1), 4.0));
  CHECK(near(one.spread, 0.5));
  const Fit two = fit({{10, {3.0}}, {20, {6.0}}});
  CHECK(two.law == Law::constant);
  CHECK(near(*two.error, 0.5));
  CHECK(!two.errors[1] && !two.errors[2]);
  const Fit falls = fit({{1, {10.0}}, {2, {9.0}}, {3, {8.0}}});
  CHECK(near(falls.at(1000), 0.0));
  const Fit zeros = fit({{1, {0.0}}, {2, {0.0}}, {3, {0.0}}});
  CHECK(zeros.law == Law::constant && near(*zeros.error, 0.0));
}

// ---- runs and slopes

constexpr const char* kHead = "# command: some_bench part\n# revision: abc1234\n";

void read_run_parses_figures_and_sizes() {
  const Run run = read_run(std::string(kHead) +
                               "# status: 0\nnoise\nbytes_at_100 12.5 B/s\nbytes_at_30 10 B/s SHORT\n"
                               "added_p99_us_at_200_depth_9 570 us\nwhole 3 s\nword x y\nbad_at_ 1 s\n",
                           "a");
  CHECK_EQ(run.command, "some_bench part");
  CHECK_EQ(run.revision, "abc1234");
  CHECK_EQ(run.lines.size(), 5U);
  CHECK_EQ(run.lines[0].id, "bytes");
  CHECK_EQ(run.lines[0].size, 100.0);
  CHECK_EQ(run.lines[2].id, "added_p99_us_at_200");
  CHECK_EQ(run.lines[2].size, 9.0);
  CHECK_EQ(run.lines[3].size, 0.0);
  CHECK_EQ(run.lines[4].id, "bad_at_");
  CHECK(!error_of([] { read_run("# command: x\na_at_1 1 s\n", "a"); }).empty());
  CHECK(!error_of([] { read_run("# revision: x\na_at_1 1 s\n", "a"); }).empty());
  CHECK(!error_of([] { read_run(kHead, "a"); }).empty());
}

void slopes_contain_only_measured_figures() {
  const json listed = {{"bytes", {{"per", "member"}, {"unit", "B/s"}}},
                       {"other", {{"per", "member"}, {"unit", "B/s"}}}};
  const std::string lines = "bytes_at_30 10 B/s\nbytes_at_100 20 B/s\nunlisted_at_3 1 s\n";
  const Run one = read_run(kHead + lines, "1");
  const Run two = read_run(std::string(kHead) + "bytes_at_100 22 B/s\nbytes_at_30 9 B/s\n", "2");
  const Slopes slopes = collect_slopes({one, two}, listed);
  CHECK_EQ(slopes.size(), 1U);  // figures without a run and unlisted figures are left out
  const Slope& bytes = slopes.at("bytes");
  CHECK_EQ(bytes.points.size(), 2U);
  CHECK_EQ(bytes.points[0].size, 30.0);
  CHECK_EQ(bytes.points[1].runs.size(), 2U);
  CHECK_EQ(bytes.command, "some_bench part");
  CHECK_EQ(bytes.per, "member");
  // Interpolates between medians within the sizes; follows the law outside them.
  CHECK(near(bytes.at(65).first, (9.5 + 21.0) / 2.0) && bytes.at(65).second);
  CHECK(near(bytes.at(100).first, 21.0) && bytes.at(100).second);
  CHECK(!bytes.at(101).second && !bytes.at(29).second);
  // Round trip through the file.
  const json file = json::parse(to_json(slopes).dump(1));
  CHECK_EQ(to_json(parse_slopes(file)), file);
  json changed = file;
  changed["bytes"]["points"][0]["runs"][0] = 11.0;
  CHECK(error_of([&] { parse_slopes(changed); }).find("laws") != std::string::npos);
  changed = file;
  changed["bytes"].erase("revision");
  CHECK(!error_of([&] { parse_slopes(changed); }).empty());

  Run other = two;
  other.revision = "def";
  CHECK_EQ(error_of([&] { collect_slopes({one, other}, listed); }), "bytes comes from two revisions");
  other = two;
  other.command = "def";
  CHECK_EQ(error_of([&] { collect_slopes({one, other}, listed); }), "bytes comes from two commands");
  other = two;
  other.lines[0].unit = "KB/s";
  CHECK_EQ(error_of([&] { collect_slopes({one, other}, listed); }), "bytes has the unit KB/s instead of B/s");
}

void slope_with_an_unfinished_run_is_missing() {
  const json listed = {{"quiet", {{"per", "gatekeeper"}, {"unit", "ms"}}},
                       {"heal_to_quiet", {{"per", "gatekeeper"}, {"unit", "ms"}}}};
  const Run run = read_run(std::string(kHead) +
                               "quiet_at_100 -1 ms SHORT\nheal_to_quiet_at_300 5 ms\n"
                               "heal_to_quiet_at_1000 -1 ms SHORT\n",
                           "1");
  const Slopes slopes = collect_slopes({run}, listed);
  CHECK_EQ(slopes.size(), 1U);
  CHECK_EQ(slopes.at("heal_to_quiet").failed, 1U);
  CHECK_EQ(parse_slopes(to_json(slopes)).at("heal_to_quiet").failed, 1U);
  const Figure f = CapacityModel(slopes, read_json("docs/capacity/target.json")).slope("heal_to_quiet", 300);
  CHECK(!f.known() && f.blank());
}

// ---- the page's markers

void replace_tables_changes_only_text_between_markers() {
  const std::string page = "# A\n<!-- capacity:one -->\nold\nlines\n<!-- /capacity:one -->\ntext\n";
  const std::string fresh = replace_tables(page, {{"one", "| new |\n"}});
  CHECK_EQ(fresh, "# A\n<!-- capacity:one -->\n| new |\n<!-- /capacity:one -->\ntext\n");
  CHECK_EQ(replace_tables(fresh, {{"one", "| new |\n"}}), fresh);
  const auto error = [](const std::string& text, const Tables& tables) {
    return error_of([&] { replace_tables(text, tables); });
  };
  CHECK_EQ(error(page, {}), "unknown table 'one'");
  CHECK_EQ(error(page, {{"one", ""}, {"two", ""}}), "the page has no markers for the table 'two'");
  CHECK_EQ(error(page + page, {{"one", ""}}), "the marker 'one' appears twice in the page");
  CHECK_EQ(error("<!-- capacity:one -->\n", {{"one", ""}}), "the marker 'one' of the page is not closed");
  CHECK_EQ(error("<!-- capacity:one -->\n" + page, {{"one", ""}}),
           "the marker 'one' of the page is not closed");
  CHECK_EQ(error("<!-- capacity:one", {{"one", ""}}), "a marker of the page is not terminated");
}

void first_difference_names_the_line() {
  CHECK(!first_difference("a\nb\n", "a\nb\n"));
  CHECK(first_difference("a\nb\n", "a\nc\n")->starts_with("line 2 is\n  b\nexpected\n  c"));
  CHECK(first_difference("a\n", "a\nc\n")->find("(missing)") != std::string::npos);
  CHECK(first_difference("a\n", "a").has_value());
}

// ---- the capacity model

void figures_are_formatted_with_three_digits() {
  CHECK_EQ(describe(0.0), "0");
  CHECK_EQ(describe(0.01234), "0.0123");
  CHECK_EQ(describe(0.0000012), "0.00000120");
  CHECK_EQ(describe(65.0), "65");
  CHECK_EQ(describe(0.5), "0.500");
  CHECK_EQ(describe(1.234), "1.23");
  CHECK_EQ(describe(12.34), "12.3");
  CHECK_EQ(describe(99.99), "100");
  CHECK_EQ(describe(123.4), "123");
  CHECK_EQ(describe(1234567.0), "1,234,567");
  CHECK_EQ(describe(Figure{0, 0, 0, {}, {"x"}}), "not measured");
  CHECK_EQ(describe(Figure{2, 2, 2, {"y"}, {"x"}}), "at least 2");
}

void limit_check_is_unknown_within_the_uncertainty() {
  const Figure sure{10, 9, 11, {"a"}, {}};
  CHECK(check_limit(sure, 20, "x").status == LimitStatus::within);
  CHECK(near(check_limit(sure, 20, "x").ratio, 2.0));
  CHECK(check_limit(sure, 5, "x").status == LimitStatus::exceeded);
  CHECK(near(check_limit(sure, 5, "x").ratio, 2.0));
  CHECK(check_limit(sure, 10, "x").status == LimitStatus::unknown);
  CHECK(check_limit(exact(10), 20, "x").status == LimitStatus::unknown);  // no run supports it
  const Figure part = sure + Figure{0, 0, 0, {}, {"b"}};
  CHECK(check_limit(part, 20, "x").status == LimitStatus::unknown);  // a slope is missing
  CHECK(check_limit(part, 5, "x").status == LimitStatus::exceeded);  // the known part alone exceeds the limit
  const Figure product = sure * Figure{2, 1, 3, {"c"}, {"d"}};
  CHECK(near(product.value, 20) && near(product.low, 9) && near(product.high, 33));
  CHECK_EQ(product.from.size(), 2U);
  CHECK(!product.known());
  CHECK(check_bound(13'000, 1024, "b").status == LimitStatus::exceeded);
  CHECK(near(check_bound(13'000, 1024, "b").ratio, 12.695));
  CHECK(check_bound(1000, 1024, "b").status == LimitStatus::within);
  const LimitCheck yes = check_limit(sure, 20, "x");
  const LimitCheck more = check_limit(sure, 40, "x");
  const LimitCheck no = check_limit(sure, 5, "x");
  const LimitCheck worse = check_limit(sure, 2, "x");
  const LimitCheck open = check_limit(part, 20, "x");
  CHECK_EQ(worst({more, yes}).text, yes.text);
  CHECK_EQ(worst({yes, open, more}).text, open.text);
  CHECK_EQ(worst({yes, no, worse, open}).text, worse.text);
  CHECK_EQ(describe_checks({yes, no, worse, open}), "**does not**: 5 times the x; 2 times the x");
  CHECK_EQ(describe_checks({yes, open}), open.text);
}

Slopes membership(double bytes_at_1000) {
  Slope s;
  s.per = "member";
  s.unit = "B/s";
  s.command = "c";
  s.revision = "r";
  s.points = {{100, {bytes_at_1000 / 10}}, {300, {bytes_at_1000 * 0.3}}, {1000, {bytes_at_1000}}};
  s.fit = fit(s.points);
  return {{"membership_bytes", s}};
}

std::string row_of(const Tables& tables, const std::string& table, const std::string& part) {
  std::istringstream lines(tables.at(table));
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with("| " + part)) return line;
  }
  return {};
}

void tables_follow_slopes_and_target() {
  json target = read_json("docs/capacity/target.json");
  target["target"]["servers"]["value"] = 13'000;
  target["target"]["bytes"]["value"] = 3000;
  for (const char* none : {"comment", "beat", "notice", "document"})
    target["assumptions"][none]["value"] = 0;  // leaves the membership's bytes as the only ones
  const Tables none = CapacityModel({}, target).tables();
  const std::string before = row_of(none, "gatekeeper", "membership");
  CHECK(before.find("| not measured | not measured | not measured | not measured |") != std::string::npos);
  CHECK(none.at("sum-gatekeeper").find("not known") != std::string::npos);
  // 100 B/s at 1,000 members grow with n to 1,300 B/s at 13,000, in each direction.
  const Tables some = CapacityModel(membership(100), target).tables();
  const std::string after = row_of(some, "gatekeeper", "membership");
  CHECK(after.find("| 2.60 |") != std::string::npos);
  CHECK(after.find("`membership_bytes`") != std::string::npos);
  CHECK(some.at("sum-gatekeeper").find("at least 2.60 of 3 KB a second") != std::string::npos);
  const Tables more = CapacityModel(membership(1000), target).tables();
  CHECK(more.at("sum-gatekeeper").find("**does not**: 8.67 times the budget") != std::string::npos);
  // The bound is exceeded whatever the cost.
  CHECK(after.find("12.7 times the bound `kMaxMembers`") != std::string::npos);
  // Parts that nothing implements are listed first.
  CHECK(row_of(none, "missing", "1").find("configuration, as it is") != std::string::npos);
  // Another target changes the figures.
  json smaller = target;
  smaller["target"]["servers"]["value"] = 1000;
  const Tables small = CapacityModel(membership(100), smaller).tables();
  CHECK(row_of(small, "gatekeeper", "membership").find("| 0.200 |") != std::string::npos);
  CHECK(!error_of([] { CapacityModel({}, json::object()); }).empty());
  smaller["target"].erase("servers");
  CHECK_EQ(error_of([&] { CapacityModel({}, smaller); }), "the target has no value for 'servers'");
}

// ---- committed files

std::string committed_page(const json& slopes) {
  const CapacityModel model(parse_slopes(slopes), read_json("docs/capacity/target.json"));
  return replace_tables(read("docs/CAPACITY.md"), model.tables());
}

void committed_page_matches_its_slopes() {
  const std::string page = read("docs/CAPACITY.md");
  const json slopes = read_json("docs/capacity/slopes.json");
  const auto difference = first_difference(page, committed_page(slopes));
  if (difference) std::cerr << "docs/CAPACITY.md (make capacity): " << *difference << "\n";
  CHECK(!difference);

  // An edited figure and a slope that changed without the page are both detected.
  const auto at = page.find("| 13,000 setup servers |");
  CHECK(at != std::string::npos);
  std::string typed = page;
  typed.replace(at, 8, "| 12,000");
  const CapacityModel model(parse_slopes(slopes), read_json("docs/capacity/target.json"));
  CHECK_EQ(first_difference(typed, replace_tables(typed, model.tables()))->find("line "), 0U);
  for (const auto& [id, slope] : slopes.items()) {
    Slopes changed = parse_slopes(slopes);
    for (Point& p : changed.at(id).points) {
      for (double& run : p.runs) run = run * 3.0 + 1.0;
    }
    changed.at(id).fit = fit(changed.at(id).points);
    CHECK(committed_page(to_json(changed)) != page);
  }
}

void committed_slopes_match_their_runs() {
  std::vector<std::string> files;
  const std::string runs = "docs/capacity/runs";
  if (std::filesystem::exists(SOURCE_DIR "/" + runs)) {
    for (const auto& file : std::filesystem::directory_iterator(SOURCE_DIR "/" + runs))
      files.push_back(runs + "/" + file.path().filename().string());
  }
  std::sort(files.begin(), files.end());
  std::vector<Run> all;
  for (const std::string& file : files) all.push_back(read_run(read(file), file));
  CHECK_EQ(to_json(collect_slopes(all, read_json("docs/capacity/figures.json"))),
           read_json("docs/capacity/slopes.json"));
}

void bounds_match_the_source_lines() {
  const json target = read_json("docs/capacity/target.json");
  for (const json& bound : target.at("bounds")) {
    const std::string line = bound.at("line");
    const std::string source = read(bound.at("where"));
    // A limit of the operating system has no source line; it holds while the program does not call setrlimit.
    const bool there =
        line.empty() ? source.find("setrlimit") == std::string::npos : source.find(line) != std::string::npos;
    if (!there) std::cerr << bound.at("where") << " does not contain: " << line << "\n";
    CHECK(there);
    CHECK(!bound.at("beyond").get<std::string>().empty());
  }
}

}  // namespace

int main() {
  fit_finds_each_law();
  fit_holds_out_the_largest_size();
  fit_with_few_sizes_is_constant();
  read_run_parses_figures_and_sizes();
  slopes_contain_only_measured_figures();
  slope_with_an_unfinished_run_is_missing();
  replace_tables_changes_only_text_between_markers();
  first_difference_names_the_line();
  figures_are_formatted_with_three_digits();
  limit_check_is_unknown_within_the_uncertainty();
  tables_follow_slopes_and_target();
  committed_page_matches_its_slopes();
  committed_slopes_match_their_runs();
  bounds_match_the_source_lines();
}
