// The fit, the reading of runs, the marks and the sums of docs/CAPACITY.md; and that the committed page,
// slopes and bounds are each other's.
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

// The line that it is refused with; empty: it is not.
std::string trouble_of(const std::function<void()>& act) {
  try {
    act();
  } catch (const BadInput& trouble) {
    return trouble.what();
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

void each_law_is_found() {
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

void the_largest_size_is_held_out() {
  // Three sizes are one line; the fourth is twice what the line foretells.
  std::vector<Point> points{{1000, {2010.0}}, {30, {40.0}}, {100, {110.0}}, {300, {310.0}}};
  const Fit f = fit(points);
  CHECK(f.law == Law::n);
  CHECK(near(*f.error, 0.4975));
  CHECK(f.at(1000) > 1500.0);  // it is fitted to all of them afterwards
  CHECK(near(f.largest, 1000));
}

void few_sizes_make_no_law() {
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

void a_run_is_read() {
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
  CHECK(!trouble_of([] { read_run("# command: x\na_at_1 1 s\n", "a"); }).empty());
  CHECK(!trouble_of([] { read_run("# revision: x\na_at_1 1 s\n", "a"); }).empty());
  CHECK(!trouble_of([] { read_run(kHead, "a"); }).empty());
}

void slopes_come_from_runs_alone() {
  const json listed = {{"bytes", {{"per", "member"}, {"unit", "B/s"}}},
                       {"other", {{"per", "member"}, {"unit", "B/s"}}}};
  const std::string lines = "bytes_at_30 10 B/s\nbytes_at_100 20 B/s\nunlisted_at_3 1 s\n";
  const Run one = read_run(kHead + lines, "1");
  const Run two = read_run(std::string(kHead) + "bytes_at_100 22 B/s\nbytes_at_30 9 B/s\n", "2");
  const Slopes slopes = slopes_of({one, two}, listed);
  CHECK_EQ(slopes.size(), 1U);  // what was not run, or is not listed, is not there
  const Slope& bytes = slopes.at("bytes");
  CHECK_EQ(bytes.points.size(), 2U);
  CHECK_EQ(bytes.points[0].size, 30.0);
  CHECK_EQ(bytes.points[1].runs.size(), 2U);
  CHECK_EQ(bytes.command, "some_bench part");
  CHECK_EQ(bytes.per, "member");
  // Between the sizes: between their medians; beyond: the law.
  CHECK(near(bytes.at(65).first, (9.5 + 21.0) / 2.0) && bytes.at(65).second);
  CHECK(near(bytes.at(100).first, 21.0) && bytes.at(100).second);
  CHECK(!bytes.at(101).second && !bytes.at(29).second);
  // Again out of the file.
  const json file = json::parse(to_json(slopes).dump(1));
  CHECK_EQ(to_json(slopes_in(file)), file);
  json changed = file;
  changed["bytes"]["points"][0]["runs"][0] = 11.0;
  CHECK(trouble_of([&] { slopes_in(changed); }).find("laws") != std::string::npos);
  changed = file;
  changed["bytes"].erase("revision");
  CHECK(!trouble_of([&] { slopes_in(changed); }).empty());

  Run other = two;
  other.revision = "def";
  CHECK_EQ(trouble_of([&] { slopes_of({one, other}, listed); }), "bytes comes from two revisions");
  other = two;
  other.command = "def";
  CHECK_EQ(trouble_of([&] { slopes_of({one, other}, listed); }), "bytes comes from two commands");
  other = two;
  other.lines[0].unit = "KB/s";
  CHECK_EQ(trouble_of([&] { slopes_of({one, other}, listed); }), "bytes is told in KB/s, not in B/s");
}

void a_time_without_an_end_is_no_time() {
  const json listed = {{"quiet", {{"per", "gatekeeper"}, {"unit", "ms"}}},
                       {"heal_to_quiet", {{"per", "gatekeeper"}, {"unit", "ms"}}}};
  const Run run = read_run(std::string(kHead) +
                               "quiet_at_100 -1 ms SHORT\nheal_to_quiet_at_300 5 ms\n"
                               "heal_to_quiet_at_1000 -1 ms SHORT\n",
                           "1");
  const Slopes slopes = slopes_of({run}, listed);
  CHECK_EQ(slopes.size(), 1U);
  CHECK_EQ(slopes.at("heal_to_quiet").failed, 1U);
  CHECK_EQ(slopes_in(to_json(slopes)).at("heal_to_quiet").failed, 1U);
  const Figure f = Sums(slopes, read_json("docs/capacity/target.json")).slope("heal_to_quiet", 300);
  CHECK(!f.known() && f.blank());
}

// ---- the marks

void only_what_stands_between_marks_is_written() {
  const std::string page = "# A\n<!-- capacity:one -->\nold\nlines\n<!-- /capacity:one -->\ntext\n";
  const std::string fresh = with_tables(page, {{"one", "| new |\n"}});
  CHECK_EQ(fresh, "# A\n<!-- capacity:one -->\n| new |\n<!-- /capacity:one -->\ntext\n");
  CHECK_EQ(with_tables(fresh, {{"one", "| new |\n"}}), fresh);
  const auto trouble = [](const std::string& text, const Tables& tables) {
    return trouble_of([&] { with_tables(text, tables); });
  };
  CHECK_EQ(trouble(page, {}), "there is no table 'one'");
  CHECK_EQ(trouble(page, {{"one", ""}, {"two", ""}}), "the page has no marks for the table 'two'");
  CHECK_EQ(trouble(page + page, {{"one", ""}}), "the mark 'one' stands in the page twice");
  CHECK_EQ(trouble("<!-- capacity:one -->\n", {{"one", ""}}), "the mark 'one' of the page is not closed");
  CHECK_EQ(trouble("<!-- capacity:one -->\n" + page, {{"one", ""}}),
           "the mark 'one' of the page is not closed");
  CHECK_EQ(trouble("<!-- capacity:one", {{"one", ""}}), "a mark of the page has no end");
}

void the_first_difference_is_named() {
  CHECK(!first_difference("a\nb\n", "a\nb\n"));
  CHECK(first_difference("a\nb\n", "a\nc\n")->starts_with("line 2 is\n  b\nand is to be\n  c"));
  CHECK(first_difference("a\n", "a\nc\n")->find("(not there)") != std::string::npos);
  CHECK(first_difference("a\n", "a").has_value());
}

// ---- the sums

void figures_are_told_with_three_digits() {
  CHECK_EQ(text_of(0.0), "0");
  CHECK_EQ(text_of(0.01234), "0.0123");
  CHECK_EQ(text_of(0.0000012), "0.00000120");
  CHECK_EQ(text_of(65.0), "65");
  CHECK_EQ(text_of(0.5), "0.500");
  CHECK_EQ(text_of(1.234), "1.23");
  CHECK_EQ(text_of(12.34), "12.3");
  CHECK_EQ(text_of(99.99), "100");
  CHECK_EQ(text_of(123.4), "123");
  CHECK_EQ(text_of(1234567.0), "1,234,567");
  CHECK_EQ(text_of(Figure{0, 0, 0, {}, {"x"}}), "not measured");
  CHECK_EQ(text_of(Figure{2, 2, 2, {"y"}, {"x"}}), "at least 2");
}

void a_verdict_needs_figures_beyond_doubt() {
  const Figure sure{10, 9, 11, {"a"}, {}};
  CHECK(against(sure, 20, "x").fits == Fits::yes);
  CHECK(near(against(sure, 20, "x").times, 2.0));
  CHECK(against(sure, 5, "x").fits == Fits::no);
  CHECK(near(against(sure, 5, "x").times, 2.0));
  CHECK(against(sure, 10, "x").fits == Fits::not_known);
  CHECK(against(exact(10), 20, "x").fits == Fits::not_known);  // no run stands behind it
  const Figure part = sure + Figure{0, 0, 0, {}, {"b"}};
  CHECK(against(part, 20, "x").fits == Fits::not_known);  // some of it is missing
  CHECK(against(part, 5, "x").fits == Fits::no);          // and it is too much already
  const Figure product = sure * Figure{2, 1, 3, {"c"}, {"d"}};
  CHECK(near(product.value, 20) && near(product.low, 9) && near(product.high, 33));
  CHECK_EQ(product.from.size(), 2U);
  CHECK(!product.known());
  CHECK(within_bound(13'000, 1024, "b").fits == Fits::no);
  CHECK(near(within_bound(13'000, 1024, "b").times, 12.695));
  CHECK(within_bound(1000, 1024, "b").fits == Fits::yes);
  const Verdict yes = against(sure, 20, "x");
  const Verdict more = against(sure, 40, "x");
  const Verdict no = against(sure, 5, "x");
  const Verdict worse = against(sure, 2, "x");
  const Verdict open = against(part, 20, "x");
  CHECK_EQ(worst({more, yes}).text, yes.text);
  CHECK_EQ(worst({yes, open, more}).text, open.text);
  CHECK_EQ(worst({yes, no, worse, open}).text, worse.text);
  CHECK_EQ(told_of({yes, no, worse, open}), "**does not**: 5 times the x; 2 times the x");
  CHECK_EQ(told_of({yes, open}), open.text);
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

void the_sums_are_those_of_the_slopes() {
  json target = read_json("docs/capacity/target.json");
  target["target"]["servers"]["value"] = 13'000;
  target["target"]["bytes"]["value"] = 3000;
  for (const char* none : {"comment", "beat", "notice", "document"})
    target["assumptions"][none]["value"] = 0;  // so that the membership's bytes stand alone
  const Tables none = Sums({}, target).tables();
  const std::string before = row_of(none, "gatekeeper", "membership");
  CHECK(before.find("| not measured | not measured | not measured | not measured |") != std::string::npos);
  CHECK(none.at("sum-gatekeeper").find("not known") != std::string::npos);
  // 100 B a second at 1,000 members, by n: 1,300 at 13,000, out and in.
  const Tables some = Sums(membership(100), target).tables();
  const std::string after = row_of(some, "gatekeeper", "membership");
  CHECK(after.find("| 2.60 |") != std::string::npos);
  CHECK(after.find("`membership_bytes`") != std::string::npos);
  CHECK(some.at("sum-gatekeeper").find("at least 2.60 of 3 KB a second") != std::string::npos);
  const Tables more = Sums(membership(1000), target).tables();
  CHECK(more.at("sum-gatekeeper").find("**does not**: 8.67 times the budget") != std::string::npos);
  // The bound refuses the size whatever it costs.
  CHECK(after.find("12.7 times the bound `kMaxMembers`") != std::string::npos);
  // What nothing carries is the first that is missing.
  CHECK(row_of(none, "missing", "1").find("configuration, as it is") != std::string::npos);
  // Another target, other figures.
  json smaller = target;
  smaller["target"]["servers"]["value"] = 1000;
  const Tables small = Sums(membership(100), smaller).tables();
  CHECK(row_of(small, "gatekeeper", "membership").find("| 0.200 |") != std::string::npos);
  CHECK(!trouble_of([] { Sums({}, json::object()); }).empty());
  smaller["target"].erase("servers");
  CHECK_EQ(trouble_of([&] { Sums({}, smaller); }), "the target says nothing of 'servers'");
}

// ---- what is committed

std::string committed_page(const json& slopes) {
  const Sums sums(slopes_in(slopes), read_json("docs/capacity/target.json"));
  return with_tables(read("docs/CAPACITY.md"), sums.tables());
}

void the_committed_page_is_that_of_its_slopes() {
  const std::string page = read("docs/CAPACITY.md");
  const json slopes = read_json("docs/capacity/slopes.json");
  const auto difference = first_difference(page, committed_page(slopes));
  if (difference) std::cerr << "docs/CAPACITY.md (make capacity): " << *difference << "\n";
  CHECK(!difference);

  // A figure typed in, and a slope that changed without the page, are each found.
  const auto at = page.find("| 13,000 setup servers |");
  CHECK(at != std::string::npos);
  std::string typed = page;
  typed.replace(at, 8, "| 12,000");
  const Sums sums(slopes_in(slopes), read_json("docs/capacity/target.json"));
  CHECK_EQ(first_difference(typed, with_tables(typed, sums.tables()))->find("line "), 0U);
  for (const auto& [id, slope] : slopes.items()) {
    Slopes changed = slopes_in(slopes);
    for (Point& p : changed.at(id).points) {
      for (double& run : p.runs) run = run * 3.0 + 1.0;
    }
    changed.at(id).fit = fit(changed.at(id).points);
    CHECK(committed_page(to_json(changed)) != page);
  }
}

void the_committed_slopes_are_those_of_their_runs() {
  std::vector<std::string> files;
  const std::string runs = "docs/capacity/runs";
  if (std::filesystem::exists(SOURCE_DIR "/" + runs)) {
    for (const auto& file : std::filesystem::directory_iterator(SOURCE_DIR "/" + runs))
      files.push_back(runs + "/" + file.path().filename().string());
  }
  std::sort(files.begin(), files.end());
  std::vector<Run> all;
  for (const std::string& file : files) all.push_back(read_run(read(file), file));
  CHECK_EQ(to_json(slopes_of(all, read_json("docs/capacity/figures.json"))),
           read_json("docs/capacity/slopes.json"));
}

void bounds_stand_where_the_page_says() {
  const json target = read_json("docs/capacity/target.json");
  for (const json& bound : target.at("bounds")) {
    const std::string line = bound.at("line");
    const std::string source = read(bound.at("where"));
    // A bound of the system's, which the program could raise, has no line.
    const bool there =
        line.empty() ? source.find("setrlimit") == std::string::npos : source.find(line) != std::string::npos;
    if (!there) std::cerr << bound.at("where") << " does not hold: " << line << "\n";
    CHECK(there);
    CHECK(!bound.at("beyond").get<std::string>().empty());
  }
}

}  // namespace

int main() {
  each_law_is_found();
  the_largest_size_is_held_out();
  few_sizes_make_no_law();
  a_run_is_read();
  slopes_come_from_runs_alone();
  a_time_without_an_end_is_no_time();
  only_what_stands_between_marks_is_written();
  the_first_difference_is_named();
  figures_are_told_with_three_digits();
  a_verdict_needs_figures_beyond_doubt();
  the_sums_are_those_of_the_slopes();
  the_committed_page_is_that_of_its_slopes();
  the_committed_slopes_are_those_of_their_runs();
  bounds_stand_where_the_page_says();
}
