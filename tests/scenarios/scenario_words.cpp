#include "scenarios/scenario_words.h"

#include <cmath>
#include <sstream>
#include <stdexcept>

namespace foxshunt::standins {

Words split(const std::string& line) {
  std::istringstream text(line.substr(0, line.find('#')));
  Words words;
  for (std::string word; text >> word;) words.push_back(word);
  return words;
}

double number_from(const std::string& text, const std::string& what) {
  std::size_t read = 0;
  double number = 0;
  try {
    number = std::stod(text, &read);
  } catch (const std::logic_error&) {
    read = 0;
  }
  if (read == 0 || read != text.size() || !std::isfinite(number)) {
    throw std::runtime_error(what + " is no number: " + text);
  }
  return number;
}

std::size_t count_from(const std::string& text, const std::string& what) {
  const double number = number_from(text, what);
  if (number < 0 || number != std::floor(number)) throw std::runtime_error(what + " is no count: " + text);
  return static_cast<std::size_t>(number);
}

std::string Arguments::text(const std::string& what) {
  if (next_ >= words_.size()) throw std::runtime_error(what + " is missing");
  return words_[next_++];
}

double Arguments::number(const std::string& what) {
  const double found = number_from(text(what), what);
  if (found < 0) throw std::runtime_error(what + " is negative");
  return found;
}

std::size_t Arguments::count(const std::string& what) { return count_from(text(what), what); }

std::string Arguments::choice(const std::string& what, const std::set<std::string>& words) {
  std::string found = text(what);
  if (!words.contains(found)) throw std::runtime_error("no such " + what + ": " + found);
  return found;
}

bool Arguments::flag(const std::string& word) {
  if (next_ >= words_.size() || words_[next_] != word) return false;
  ++next_;
  return true;
}

void Arguments::finish() const {
  if (next_ < words_.size()) throw std::runtime_error("unknown word " + words_[next_]);
}

Options::Options(const Words& words, std::size_t from, const std::set<std::string>& flags) {
  for (std::size_t at = from; at < words.size(); ++at) {
    if (flags.contains(words[at])) {
      values_[words[at]] = "yes";
    } else if (at + 1 < words.size()) {
      values_[words[at]] = words[at + 1];
      ++at;
    } else {
      throw std::runtime_error("no value for " + words[at]);
    }
  }
}

std::string Options::text(const std::string& key, const std::string& otherwise) {
  used_.insert(key);
  const auto found = values_.find(key);
  return found == values_.end() ? otherwise : found->second;
}

double Options::number(const std::string& key, double otherwise) {
  const std::string found = text(key);
  return found.empty() ? otherwise : number_from(found, key);
}

std::string Options::choice(const std::string& key, const std::set<std::string>& words, const std::string& otherwise) {
  std::string found = text(key, otherwise);
  if (!words.contains(found)) throw std::runtime_error("no such " + key + ": " + found);
  return found;
}

bool Options::enabled(const std::string& key, bool otherwise) {
  return choice(key, {"yes", "no"}, otherwise ? "yes" : "no") == "yes";
}

void Options::finish() const {
  for (const auto& [key, unused] : values_) {
    if (!used_.contains(key)) throw std::runtime_error("unknown word " + key);
  }
}

}  // namespace foxshunt::standins
