#include "catalog/xml.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <cmath>
#include <pugixml.hpp>
#include <sstream>

#include "catalog/records.h"
#include "config/constants.h"

namespace foxshunt::catalog {
namespace {

constexpr std::array<std::string_view, 7> kWeekdays = {"monday", "tuesday",  "wednesday", "thursday",
                                                       "friday", "saturday", "sunday"};

// The document's bytes are judged before they are parsed. pugixml takes what is no UTF-8, and leaves an entity that it
// does not know as text: both would surprise.
struct BadByte {
  std::size_t at = 0;
  std::string reason;
};

std::size_t utf8_length(std::string_view text) {
  const auto byte = [&](std::size_t at) { return at < text.size() ? static_cast<unsigned char>(text[at]) : 0U; };
  const auto follows = [&](std::size_t at) { return (byte(at) & 0xC0U) == 0x80U; };
  const unsigned first = byte(0);
  if (first < 0x80) return 1;
  if (first >= 0xC2 && first <= 0xDF) return follows(1) ? 2 : 0;
  if (first >= 0xE0 && first <= 0xEF) {
    const bool overlong = first == 0xE0 && byte(1) < 0xA0;
    const bool surrogate = first == 0xED && byte(1) >= 0xA0;
    return follows(1) && follows(2) && !overlong && !surrogate ? 3 : 0;
  }
  if (first >= 0xF0 && first <= 0xF4) {
    const bool overlong = first == 0xF0 && byte(1) < 0x90;
    const bool beyond = first == 0xF4 && byte(1) >= 0x90;
    return follows(1) && follows(2) && follows(3) && !overlong && !beyond ? 4 : 0;
  }
  return 0;
}

bool is_entity(std::string_view text) {
  const std::size_t end = text.substr(0, 12).find(';');
  if (end == std::string_view::npos) return false;
  const std::string_view name = text.substr(1, end - 1);
  if (name == "amp" || name == "lt" || name == "gt" || name == "quot" || name == "apos") return true;
  if (name.size() < 2 || name[0] != '#') return false;
  const bool hex = name[1] == 'x';
  std::uint32_t code = 0;
  const std::string_view digits = name.substr(hex ? 2 : 1);
  const auto [stop, error] = std::from_chars(digits.data(), digits.data() + digits.size(), code, hex ? 16 : 10);
  if (error != std::errc{} || stop != digits.data() + digits.size()) return false;
  return code >= 0x20 && code <= 0x10FFFF && (code < 0xD800 || code > 0xDFFF) && code != 0x7F;
}

std::optional<BadByte> bad_byte(std::string_view text) {
  for (std::size_t at = 0; at < text.size();) {
    const std::string_view rest = text.substr(at);
    if (rest.starts_with("<!--")) {
      const std::size_t end = rest.find("-->", 4);
      if (end == std::string_view::npos) return BadByte{at, "a comment that does not end"};
      at += 4;  // its bytes are judged as well, but for the ampersand
      for (const std::size_t stop = at + end - 4; at < stop;) {
        const std::size_t length = utf8_length(text.substr(at));
        if (length == 0) return BadByte{at, "not UTF-8"};
        if (text[at] == '\0') return BadByte{at, "a control character"};
        at += length;
      }
      continue;
    }
    const std::size_t length = utf8_length(rest);
    if (length == 0) return BadByte{at, "not UTF-8"};
    const char one = text[at];
    const bool blank = one == '\n' || one == '\r' || one == '\t';
    if ((static_cast<unsigned char>(one) < 0x20 && !blank) || one == 0x7F) return BadByte{at, "a control character"};
    if (one == '&' && !is_entity(rest)) return BadByte{at, "an entity other than amp, lt, gt, quot, apos and numbers"};
    at += length;
  }
  return std::nullopt;
}

bool is_time(std::string_view text) {
  const auto digits = [&](std::size_t at, char most) {
    return text[at] >= '0' && text[at] <= most && text[at + 1] >= '0' && text[at + 1] <= '9';
  };
  if (text.size() != 5 || text[2] != ':' || !digits(0, '2') || !digits(3, '5')) return false;
  return text[0] < '2' || text[1] <= '3';
}

bool is_date(std::string_view text) {
  if (text.size() != 10 || text[4] != '-' || text[7] != '-') return false;
  const auto number = [&](std::size_t at, std::size_t length) {
    unsigned found = 0;
    const char* end = text.data() + at + length;
    return std::from_chars(text.data() + at, end, found).ptr == end ? found : 0;
  };
  const unsigned year = number(0, 4);
  const std::chrono::year_month_day date{std::chrono::year(static_cast<int>(year)), std::chrono::month(number(5, 2)),
                                         std::chrono::day(number(8, 2))};
  return year >= constants::kMinCatalogYear && year <= constants::kMaxCatalogYear && date.ok();
}

class Reader {
 public:
  Reader(const std::string& text, const Known& known) : text_(text), known_(known) {}

  Reading read() {
    if (text_.size() > constants::kMaxCatalogXmlBytes) {
      fault(1, "document", "is longer than " + std::to_string(constants::kMaxCatalogXmlBytes) + " bytes");
      return take();
    }
    if (const auto bad = bad_byte(text_)) {
      fault(line_at(bad->at), "document", "holds " + bad->reason);
      return take();
    }
    pugi::xml_document document;
    const pugi::xml_parse_result parsed = document.load_buffer(
        text_.data(), text_.size(), pugi::parse_default | pugi::parse_doctype | pugi::parse_pi | pugi::parse_fragment,
        pugi::encoding_utf8);
    if (!parsed) {
      fault(line_at(static_cast<std::size_t>(std::max<std::ptrdiff_t>(0, parsed.offset))), "document",
            std::string("is not XML: ") + parsed.description());
      return take();
    }
    if (shape(document)) catalog(document.document_element());
    return take();
  }

 private:
  using Node = pugi::xml_node;
  using Names = std::initializer_list<std::string_view>;

  Reading take() {
    std::ranges::stable_sort(reading_.faults, {}, &Fault::line);
    return std::move(reading_);
  }

  [[nodiscard]] std::size_t line_at(std::size_t offset) const {
    const auto end = text_.begin() + static_cast<std::ptrdiff_t>(std::min(offset, text_.size()));
    return 1 + static_cast<std::size_t>(std::count(text_.begin(), end, '\n'));
  }
  void fault(std::size_t line, std::string element, std::string reason) {
    if (reading_.faults.size() >= constants::kMaxCatalogFaults) {
      reading_.more_faults = true;
      return;
    }
    reading_.faults.push_back({.line = line, .element = std::move(element), .reason = std::move(reason)});
  }
  void fault(const Node& node, const std::string& reason) { fault(node, node, reason); }
  void fault(const Node& at, const Node& node, const std::string& reason) {
    if (reading_.faults.size() >= constants::kMaxCatalogFaults) {  // a line is looked up in the whole text
      reading_.more_faults = true;
      return;
    }
    std::string element = shown(node.name());
    const pugi::xml_attribute name = node.attribute("name");
    if (name) element += " \"" + shown(name.value()) + "\"";
    const std::ptrdiff_t offset = at.offset_debug();
    fault(line_at(offset < 0 ? 0 : static_cast<std::size_t>(offset)), std::move(element), reason);
  }
  // What stands in the file, short enough to be told.
  static std::string shown(std::string text) {
    if (text.size() > constants::kMaxCatalogName) {
      std::size_t end = constants::kMaxCatalogName;
      while (end > 0 && (static_cast<unsigned char>(text[end]) & 0xC0U) == 0x80U) --end;
      text = text.substr(0, end) + "...";
    }
    std::ranges::replace_if(
        text, [](char one) { return static_cast<unsigned char>(one) < 0x20; }, ' ');
    return text;
  }

  // What a document may consist of at all; without recursion, as a file may nest as deeply as it likes.
  bool shape(const pugi::xml_document& document) {
    const std::size_t before = reading_.faults.size();
    std::size_t roots = 0;
    for (const Node& top : document.children()) roots += top.type() == pugi::node_element ? 1 : 0;
    if (roots != 1) fault(1, "document", "must have one document element, <catalog>");
    std::size_t depth = 1;
    Node node = document.first_child();
    while (node && !reading_.more_faults) {
      const auto type = node.type();
      if (type == pugi::node_doctype) fault(line_of_doctype(), "document", "a document type is not taken");
      if (type == pugi::node_pi) fault(node, "a processing instruction is not taken");
      if (type == pugi::node_cdata) fault(node.parent(), "a CDATA section is not taken");
      if (type == pugi::node_pcdata && depth == 1) fault(1, "document", "text stands outside of <catalog>");
      if (depth > constants::kMaxCatalogDepth) {
        fault(node, "is nested too deeply");
        return false;
      }
      if (node.first_child()) {
        node = node.first_child();
        ++depth;
        continue;
      }
      while (node && !node.next_sibling() && node.parent().type() != pugi::node_document) {
        node = node.parent();
        --depth;
      }
      node = node.next_sibling();
    }
    return reading_.faults.size() == before;
  }
  [[nodiscard]] std::size_t line_of_doctype() const { return line_at(std::min(text_.find("<!DOCTYPE"), text_.size())); }

  // ---- attributes and texts ----

  void attributes(const Node& node, Names needed, Names may) {
    std::set<std::string_view> seen;
    for (const pugi::xml_attribute& one : node.attributes()) {
      const std::string_view name = one.name();
      if (!seen.insert(name).second) fault(node, "attribute " + shown(one.name()) + " stands twice");
      if (std::ranges::find(needed, name) == needed.end() && std::ranges::find(may, name) == may.end()) {
        fault(node, "has no attribute " + shown(one.name()));
      }
    }
    for (const std::string_view name : needed) {
      if (!seen.contains(name)) fault(node, "attribute " + std::string(name) + " is missing");
    }
  }
  // Whether the child is an element; text between elements is a fault.
  bool element(const Node& child) {
    if (child.type() == pugi::node_element) return true;
    fault(child, child.parent(), "holds text beside its elements");
    return false;
  }
  void no_element(const Node& child) { fault(child, "does not belong in <" + shown(child.parent().name()) + ">"); }
  void leaf(const Node& node) {
    if (node.first_child()) fault(node, "must be empty");
  }

  std::string name(const Node& node, const char* attribute) {
    std::string text = node.attribute(attribute).value();
    if (node.attribute(attribute) && !is_name(text)) {
      fault(node, std::string(attribute) + ": must be 1 to " + std::to_string(constants::kMaxCatalogName) +
                      " letters, digits, single spaces and - _ .");
    }
    return text;
  }
  // Something that others have named: a team, an image, a machine type.
  std::string foreign(const Node& node, const std::string& text, const std::string& what, const Known::Names& among) {
    const bool blank = text.empty() || text.front() == ' ' || text.back() == ' ' ||
                       std::ranges::any_of(text, [](char one) { return static_cast<unsigned char>(one) < 0x20; });
    if (blank || text.size() > constants::kMaxCatalogForeign) {
      fault(node, what + ": must be 1 to " + std::to_string(constants::kMaxCatalogForeign) +
                      " bytes without line breaks and without spaces at the ends");
    } else if (among && !among->contains(text)) {
      fault(node, what + ": the settings have no " + what + " " + shown(text));
    }
    return text;
  }
  double amount(const Node& node, const char* attribute, double least, double most, double otherwise) {
    const pugi::xml_attribute given = node.attribute(attribute);
    if (!given) return otherwise;
    const std::string_view text = given.value();
    double found = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), found);
    if (error != std::errc{} || end != text.data() + text.size() || !std::isfinite(found) || found < least ||
        found > most) {
      fault(node, std::string(attribute) + ": must be a number from " + plain(least) + " to " + plain(most));
      return otherwise;
    }
    return found == 0 ? 0 : found;  // -0 would print as another number
  }
  std::uint64_t count(const Node& node, const char* attribute, std::uint64_t least, std::uint64_t most,
                      std::uint64_t otherwise) {
    const pugi::xml_attribute given = node.attribute(attribute);
    if (!given) return otherwise;
    const std::string_view text = given.value();
    std::uint64_t found = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), found);
    if (error != std::errc{} || end != text.data() + text.size() || found < least || found > most) {
      fault(node, std::string(attribute) + ": must be a whole number from " + std::to_string(least) + " to " +
                      std::to_string(most));
      return otherwise;
    }
    return found;
  }
  std::uint32_t small(const Node& node, const char* attribute, std::uint64_t least, std::uint64_t most,
                      std::uint32_t otherwise) {
    return static_cast<std::uint32_t>(count(node, attribute, least, most, otherwise));
  }
  bool flag(const Node& node, const char* attribute, bool otherwise) {
    const pugi::xml_attribute given = node.attribute(attribute);
    if (!given) return otherwise;
    const std::string_view text = given.value();
    if (text != "true" && text != "false") fault(node, std::string(attribute) + ": must be true or false");
    return text == "true";
  }
  std::string time(const Node& node, const char* attribute) {
    const pugi::xml_attribute given = node.attribute(attribute);
    if (given && !is_time(given.value())) {
      fault(node, std::string(attribute) + ": must be a time of day such as 05:30, up to 23:59");
    }
    return given.value();
  }
  // "59.44,24.75": latitude and longitude.
  Place place(const Node& node, const char* attribute) {
    const std::string_view text = node.attribute(attribute).value();
    const std::size_t comma = std::min(text.find(','), text.size());
    const auto degrees = [text](std::size_t from, std::size_t to, double most) -> std::optional<double> {
      double found = 0;
      const auto [end, error] = std::from_chars(text.data() + from, text.data() + to, found);
      if (error != std::errc{} || end != text.data() + to || !(std::abs(found) <= most)) return std::nullopt;
      return found == 0 ? 0 : found;
    };
    const auto latitude = degrees(0, comma, 90);
    const auto longitude = degrees(std::min(comma + 1, text.size()), text.size(), 180);
    if (latitude && longitude) return {.latitude = *latitude, .longitude = *longitude};
    fault(node, std::string(attribute) + ": must be degrees of latitude and longitude, such as 59.44,24.75");
    return {};
  }
  std::string time_zone(const Node& node) {
    const pugi::xml_attribute given = node.attribute("time-zone");
    std::string text = given.value();
    if (!given) return text;
    const auto plain_byte = [](char one) {
      return (one >= 'a' && one <= 'z') || (one >= 'A' && one <= 'Z') || (one >= '0' && one <= '9') || one == '/' ||
             one == '_' || one == '-' || one == '+';
    };
    const bool plain_text = !text.empty() && text.size() <= constants::kMaxCatalogName &&
                            std::ranges::all_of(text, plain_byte) && text.front() != '/';
    if (!plain_text || (known_.time_zone && !known_.time_zone(text))) {
      fault(node, "time-zone: there is none of the name " + shown(text));
    }
    return text;
  }
  static std::string plain(double number) {
    std::array<char, 32> text{};
    auto* const end = std::to_chars(text.data(), text.data() + text.size(), number).ptr;
    return {text.data(), end};
  }

  // The element's text goes into the list, once.
  std::string text_of_leaf(const Node& node) {
    attributes(node, {}, {});
    for (const Node& child : node.children()) {
      if (child.type() != pugi::node_pcdata) fault(node, "must hold text alone");
    }
    return node.text().get();
  }
  template <typename Entry>
  void into(const Node& node, std::vector<Entry>& list, Entry entry) {
    if (std::ranges::find(list, entry) != list.end()) return fault(node, "stands twice");
    if (list.size() == constants::kMaxCatalogList) {
      return fault(node, "there may be " + std::to_string(constants::kMaxCatalogList) + " of them at most");
    }
    list.push_back(std::move(entry));
  }
  void weekday(const Node& node, std::vector<std::uint32_t>& list) {
    const std::string text = text_of_leaf(node);
    const auto* const found = std::ranges::find(kWeekdays, text);
    if (found == std::end(kWeekdays)) return fault(node, "must be one of monday to sunday");
    into(node, list, static_cast<std::uint32_t>(found - std::begin(kWeekdays)) + 1);
  }
  void date(const Node& node, std::vector<std::string>& list) {
    const std::string text = text_of_leaf(node);
    if (!is_date(text)) fault(node, "must be a date that there is, such as 2027-03-28");
    into(node, list, text);
  }

  // ---- what the catalog consists of ----

  void match(const Node& node, std::vector<JobMatch>& list) {
    attributes(node, {}, {"kind", "tasks-least", "tasks-most", "deadline"});
    JobMatch match;
    if (const pugi::xml_attribute kind = node.attribute("kind")) {
      match.kind = job_kind_from(kind.value());
      if (!match.kind) fault(node, "kind: must be array, gang or service");
    }
    constexpr std::uint64_t kMost = constants::kTasksPerJobMost;
    if (node.attribute("tasks-least")) match.tasks_least = small(node, "tasks-least", 1, kMost, 1);
    if (node.attribute("tasks-most")) match.tasks_most = small(node, "tasks-most", 1, kMost, kMost);
    if (match.tasks_least && match.tasks_most && *match.tasks_least > *match.tasks_most) {
      fault(node, "tasks-least is above tasks-most: no job is meant");
    }
    if (node.attribute("deadline")) match.has_deadline = flag(node, "deadline", false);
    for (const Node& child : node.children()) {
      if (!element(child)) continue;
      const std::string_view what = child.name();
      if (what == "job-class") {
        into(child, match.job_classes, foreign(child, text_of_leaf(child), "job class", {}));
      } else if (what == "team") {
        into(child, match.teams, foreign(child, text_of_leaf(child), "team", known_.teams));
      } else if (what == "image") {
        into(child, match.images, foreign(child, text_of_leaf(child), "image", {}));
      } else if (what == "priority") {
        const auto priority = priority_from(text_of_leaf(child));
        if (priority) {
          into(child, match.priorities, *priority);
        } else {
          fault(child, "must be best_effort, standard, high or production");
        }
      } else {
        no_element(child);
      }
    }
    into(node, list, std::move(match));
  }

  void job_class(const Node& node) {
    attributes(node, {"name", "order", "standing"}, {"wait-most-s", "age-every-s", "age-most"});
    ClassDef one;
    one.name = name(node, "name");
    one.order = small(node, "order", 1, constants::kMaxCatalogNumber, 0);
    one.standing = small(node, "standing", 1, constants::kMaxCatalogNumber, 0);
    if (node.attribute("wait-most-s")) one.wait_most_s = amount(node, "wait-most-s", 1, constants::kMaxCatalogS, 1);
    one.age_every_s = amount(node, "age-every-s", 0, constants::kMaxCatalogS, 0);
    one.age_most = small(node, "age-most", 0, constants::kMaxCatalogNumber, 0);
    if ((one.age_every_s > 0) != (one.age_most > 0)) {
      fault(node, "age-every-s and age-most go together: both above 0, or neither");
    }
    for (const Node& child : node.children()) {
      if (!element(child)) continue;
      const std::string_view what = child.name();
      if (what == "takes") {
        match(child, one.takes);
      } else if (what == "never-passes") {
        const std::string other = text_of_leaf(child);
        into(child, one.never_passes, other);
        references_.push_back({child, one.name, other});
      } else if (what == "cap") {
        attributes(child, {"team", "cpus"}, {});
        leaf(child);
        const std::string team = foreign(child, child.attribute("team").value(), "team", known_.teams);
        const double cpus = amount(child, "cpus", 0, constants::kMaxCatalogAmount, 0);
        if (!one.cpus_most.emplace(team, cpus).second) fault(child, "stands twice for team " + shown(team));
        if (one.cpus_most.size() > constants::kMaxCatalogList) fault(child, "there are too many of them");
      } else {
        no_element(child);
      }
    }
    if (one.takes.empty()) fault(node, "takes no job: <takes> is missing");
    if (!orders_.insert(one.order).second && one.order > 0) {
      fault(node, "order " + std::to_string(one.order) + " is another class's as well");
    }
    add(node, reading_.set.classes, std::move(one), constants::kMaxCatalogClasses);
  }

  void calendar(const Node& node) {
    const bool by_sun = !node.attribute("sunrise").empty();
    const Names by_clock{"name", "time-zone", "at"};
    const Names by_sunrise{"name", "time-zone", "sunrise"};
    attributes(node, by_sun ? by_sunrise : by_clock,
               {"at", "minus-s", "expected-jobs", "expected-tasks", "opens-before-s", "lead-s"});
    CalendarDef one;
    one.name = name(node, "name");
    one.time_zone = time_zone(node);
    one.at = time(node, "at");
    one.minus_s = amount(node, "minus-s", 0, constants::kMaxCatalogMinusS, 0);
    if (by_sun) {
      one.sunrise = place(node, "sunrise");
      if (node.attribute("at")) fault(node, "is due at a time or by sunrise, not both");
      if (++sunrises_ == constants::kMaxCatalogSunrises + 1) {
        fault(node, "by sunrise there may be " + std::to_string(constants::kMaxCatalogSunrises) + " at most");
      }
    } else if (node.attribute("minus-s")) {
      fault(node, "minus-s goes with sunrise");
    }
    one.expected_jobs = small(node, "expected-jobs", 0, constants::kMaxCatalogNumber, 0);
    one.expected_tasks = count(node, "expected-tasks", 0, constants::kMaxCatalogTasks, 0);
    one.opens_before_s = amount(node, "opens-before-s", 0, constants::kMaxCatalogS, 0);
    one.lead_s = amount(node, "lead-s", 0, constants::kMaxCatalogS, 0);
    for (const Node& child : node.children()) {
      if (!element(child)) continue;
      const std::string_view what = child.name();
      if (what == "jobs") {
        match(child, one.jobs);
      } else if (what == "weekday") {
        weekday(child, one.weekdays);
      } else if (what == "date") {
        date(child, one.dates);
      } else if (what == "except") {
        date(child, one.except);
      } else if (what == "tell") {
        into(child, one.tell, foreign(child, text_of_leaf(child), "name", {}));
      } else {
        no_element(child);
      }
    }
    if (one.jobs.empty()) fault(node, "means no job: <jobs> is missing");
    if (one.lead_s > one.opens_before_s) fault(node, "lead-s is above opens-before-s: nothing could be there by then");
    add(node, reading_.set.calendar, std::move(one), constants::kMaxCatalogCalendar);
  }

  void pool(const Node& node) {
    attributes(node, {"name", "most", "payer"}, {"spot", "least", "peak-days", "ceiling-hour", "lends", "gives-way-s"});
    PoolDef one;
    one.name = name(node, "name");
    one.spot = flag(node, "spot", false);
    one.least = small(node, "least", 0, constants::kMaxCatalogNumber, 0);
    one.most = small(node, "most", 1, constants::kMaxCatalogNumber, 0);
    if (one.most > 0 && one.least > one.most) fault(node, "least is above most");
    one.peak_days = amount(node, "peak-days", 0, constants::kMaxCatalogPeakDays, 0);
    if (node.attribute("payer")) one.payer = foreign(node, node.attribute("payer").value(), "team", known_.teams);
    if (node.attribute("ceiling-hour")) {
      one.ceiling_hour = amount(node, "ceiling-hour", 0, constants::kMaxCatalogAmount, 0);
    }
    one.lends = flag(node, "lends", true);
    one.gives_way_s = amount(node, "gives-way-s", 0, constants::kMaxCatalogS, 0);
    for (const Node& child : node.children()) {
      if (!element(child)) continue;
      const std::string_view what = child.name();
      if (what == "image") {
        attributes(child, {"name", "gb"}, {});
        leaf(child);
        PoolImage image{.image = foreign(child, child.attribute("name").value(), "image", {}),
                        .gb = amount(child, "gb", 0, constants::kMaxCatalogAmount, 0)};
        if (std::ranges::find(one.images, image.image, &PoolImage::image) != one.images.end()) {
          fault(child, "stands twice");
        }
        into(child, one.images, std::move(image));
      } else if (what == "type") {
        into(child, one.types, foreign(child, text_of_leaf(child), "machine type", known_.types));
      } else if (what == "zone") {
        into(child, one.zones, foreign(child, text_of_leaf(child), "zone", known_.zones));
      } else if (what == "window") {
        window(child, one.windows);
      } else if (what == "users") {
        match(child, one.users);
      } else if (what == "warming") {
        std::vector<JobMatch> means;
        match(child, means);
        if (one.warming) fault(child, "stands twice");
        if (!means.empty()) one.warming = means.front();
      } else {
        no_element(child);
      }
    }
    if (one.images.empty()) fault(node, "holds no image: <image> is missing");
    add(node, reading_.set.pools, std::move(one), constants::kMaxCatalogPools);
  }

  void window(const Node& node, std::vector<PoolWindow>& list) {
    attributes(node, {"time-zone", "from", "to"}, {});
    PoolWindow one{.time_zone = time_zone(node), .from = time(node, "from"), .to = time(node, "to"), .weekdays = {}};
    if (!one.from.empty() && one.from == one.to) fault(node, "ends when it begins; leave windows out for always");
    for (const Node& child : node.children()) {
      if (!element(child)) continue;
      if (std::string_view(child.name()) == "weekday") {
        weekday(child, one.weekdays);
      } else {
        no_element(child);
      }
    }
    into(node, list, std::move(one));
  }

  template <typename Def>
  void add(const Node& node, std::vector<Def>& defs, Def one, std::size_t most) {
    if (!names_.emplace(node.name(), one.name).second) fault(node, "another one has this name");
    if (defs.size() == most) return fault(node, "there may be " + std::to_string(most) + " of its kind at most");
    std::size_t bytes_most = constants::kMaxCatalogItemBytes;
    if (known_.record_bytes_most > 0) bytes_most = std::min(bytes_most, known_.record_bytes_most);
    const std::size_t bytes = wire::json_length(to_value(one));
    if (bytes > bytes_most) {
      return fault(node, "takes " + std::to_string(bytes) + " bytes; " + std::to_string(bytes_most) + " is the most");
    }
    bytes_ += bytes;
    if (bytes_ > constants::kMaxCatalogSetBytes) {
      return fault(node, "is beyond the " + std::to_string(constants::kMaxCatalogSetBytes) + " bytes of a set");
    }
    defs.push_back(std::move(one));
  }

  void catalog(const Node& root) {
    if (std::string_view(root.name()) != "catalog") {
      return fault(root, "must be <catalog>, as the document element");
    }
    attributes(root, {}, {});
    for (const Node& child : root.children()) {
      if (reading_.more_faults) break;
      if (!element(child)) continue;
      const std::string_view what = child.name();
      if (what == "class") {
        job_class(child);
      } else if (what == "calendar") {
        calendar(child);
      } else if (what == "pool") {
        pool(child);
      } else {
        no_element(child);
      }
    }
    judge_references();
    sort_set(reading_.set);
  }

  // Classes that are to stay behind each other in a ring have no order.
  void judge_references() {
    for (const Reference& one : references_) {
      if (one.from == one.to) {
        fault(one.node, "is the class itself");
      } else if (!names_.contains({"class", one.to})) {
        fault(one.node, "there is no class " + shown(one.to));
      }
    }
    std::set<std::string> settled;  // what stays behind settled classes alone is settled
    for (bool moved = true; moved;) {
      moved = false;
      for (const ClassDef& one : reading_.set.classes) {
        const bool free = std::ranges::all_of(one.never_passes, [&](const std::string& other) {
          return settled.contains(other) || other == one.name || !names_.contains({"class", other});
        });
        if (free && settled.insert(one.name).second) moved = true;
      }
    }
    for (const Reference& one : references_) {
      const auto known = std::ranges::find(reading_.set.classes, one.from, &ClassDef::name);
      const bool ring = known != reading_.set.classes.end() && !settled.contains(one.from) &&
                        !settled.contains(one.to) && names_.contains({"class", one.to});
      if (ring) fault(one.node, "goes round in a ring: " + shown(one.from) + " and " + shown(one.to));
    }
  }

  struct Reference {
    Node node;
    std::string from;
    std::string to;
  };

  const std::string& text_;
  const Known& known_;
  Reading reading_;
  std::set<std::pair<std::string, std::string>> names_;  // of elements, by kind
  std::set<std::uint32_t> orders_;
  std::size_t sunrises_ = 0;
  std::vector<Reference> references_;
  std::size_t bytes_ = 0;
};

// ---- printing ----

std::string number_text(double number) {
  std::array<char, 32> text{};
  auto* const end = std::to_chars(text.data(), text.data() + text.size(), number).ptr;
  return {text.data(), end};
}

void put_text(pugi::xml_node& node, const char* name, const std::string& text) {
  node.append_child(name).text().set(text.c_str());
}

void put(pugi::xml_node& node, const char* name, const std::string& text) {
  node.append_attribute(name).set_value(text.c_str());
}

void put_count(pugi::xml_node& node, const char* name, std::uint64_t number, std::uint64_t left_out = 0) {
  if (number != left_out) put(node, name, std::to_string(number));
}

void put_amount(pugi::xml_node& node, const char* name, double number) {
  if (number != 0) put(node, name, number_text(number));
}

void write_matches(pugi::xml_node& into, const char* name, const std::vector<JobMatch>& matches) {
  for (const JobMatch& match : matches) {
    pugi::xml_node node = into.append_child(name);
    if (match.kind) put(node, "kind", std::string(name_of(*match.kind)));
    if (match.tasks_least) put(node, "tasks-least", std::to_string(*match.tasks_least));
    if (match.tasks_most) put(node, "tasks-most", std::to_string(*match.tasks_most));
    if (match.has_deadline) put(node, "deadline", *match.has_deadline ? "true" : "false");
    for (const std::string& one : match.job_classes) put_text(node, "job-class", one);
    for (const std::string& one : match.teams) put_text(node, "team", one);
    for (const std::string& one : match.images) put_text(node, "image", one);
    for (const wire::Priority one : match.priorities) put_text(node, "priority", std::string(name_of(one)));
  }
}

void write_weekdays(pugi::xml_node& into, const std::vector<std::uint32_t>& weekdays) {
  for (const std::uint32_t one : weekdays) put_text(into, "weekday", std::string(kWeekdays[one - 1]));
}

void write(pugi::xml_node& root, const ClassDef& one) {
  pugi::xml_node node = root.append_child("class");
  put(node, "name", one.name);
  put(node, "order", std::to_string(one.order));
  put(node, "standing", std::to_string(one.standing));
  if (one.wait_most_s) put(node, "wait-most-s", number_text(*one.wait_most_s));
  put_amount(node, "age-every-s", one.age_every_s);
  put_count(node, "age-most", one.age_most);
  write_matches(node, "takes", one.takes);
  for (const std::string& other : one.never_passes) put_text(node, "never-passes", other);
  for (const auto& [team, cpus] : one.cpus_most) {
    pugi::xml_node cap = node.append_child("cap");
    put(cap, "team", team);
    put(cap, "cpus", number_text(cpus));
  }
}

void write(pugi::xml_node& root, const CalendarDef& one) {
  pugi::xml_node node = root.append_child("calendar");
  put(node, "name", one.name);
  put(node, "time-zone", one.time_zone);
  if (one.sunrise) {
    put(node, "sunrise", number_text(one.sunrise->latitude) + "," + number_text(one.sunrise->longitude));
    put_amount(node, "minus-s", one.minus_s);
  } else {
    put(node, "at", one.at);
  }
  put_count(node, "expected-jobs", one.expected_jobs);
  put_count(node, "expected-tasks", one.expected_tasks);
  put_amount(node, "opens-before-s", one.opens_before_s);
  put_amount(node, "lead-s", one.lead_s);
  write_matches(node, "jobs", one.jobs);
  write_weekdays(node, one.weekdays);
  for (const std::string& date : one.dates) put_text(node, "date", date);
  for (const std::string& date : one.except) put_text(node, "except", date);
  for (const std::string& who : one.tell) put_text(node, "tell", who);
}

void write(pugi::xml_node& root, const PoolDef& one) {
  pugi::xml_node node = root.append_child("pool");
  put(node, "name", one.name);
  put_count(node, "least", one.least);
  put(node, "most", std::to_string(one.most));
  put_amount(node, "peak-days", one.peak_days);
  put(node, "payer", one.payer);
  if (one.ceiling_hour) put(node, "ceiling-hour", number_text(*one.ceiling_hour));
  if (one.spot) put(node, "spot", "true");
  if (!one.lends) put(node, "lends", "false");
  put_amount(node, "gives-way-s", one.gives_way_s);
  for (const PoolImage& image : one.images) {
    pugi::xml_node entry = node.append_child("image");
    put(entry, "name", image.image);
    put(entry, "gb", number_text(image.gb));
  }
  for (const std::string& type : one.types) put_text(node, "type", type);
  for (const std::string& zone : one.zones) put_text(node, "zone", zone);
  for (const PoolWindow& window : one.windows) {
    pugi::xml_node entry = node.append_child("window");
    put(entry, "time-zone", window.time_zone);
    put(entry, "from", window.from);
    put(entry, "to", window.to);
    write_weekdays(entry, window.weekdays);
  }
  write_matches(node, "users", one.users);
  if (one.warming) write_matches(node, "warming", {*one.warming});
}

}  // namespace

bool is_name(std::string_view text) {
  if (text.empty() || text.size() > constants::kMaxCatalogName) return false;
  if (text.front() == ' ' || text.back() == ' ' || text.find("  ") != std::string_view::npos) return false;
  return std::ranges::all_of(text, [](char one) {
    return (one >= 'a' && one <= 'z') || (one >= 'A' && one <= 'Z') || (one >= '0' && one <= '9') || one == ' ' ||
           one == '-' || one == '_' || one == '.';
  });
}

Reading read_xml(const std::string& text, const Known& known) { return Reader(text, known).read(); }

std::string write_xml(const Set& set) {
  pugi::xml_document document;
  pugi::xml_node declaration = document.append_child(pugi::node_declaration);
  put(declaration, "version", "1.0");
  put(declaration, "encoding", "UTF-8");
  pugi::xml_node root = document.append_child("catalog");
  for (const ClassDef& one : set.classes) write(root, one);
  for (const CalendarDef& one : set.calendar) write(root, one);
  for (const PoolDef& one : set.pools) write(root, one);
  std::ostringstream text;
  document.save(text, "  ", pugi::format_default, pugi::encoding_utf8);
  return text.str();
}

std::string text_of(const std::string& file, const Fault& fault) {
  return file + ":" + std::to_string(fault.line) + ": " + fault.element + ": " + fault.reason;
}

}  // namespace foxshunt::catalog
