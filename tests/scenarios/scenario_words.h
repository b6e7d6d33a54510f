// The words of a scenario's line: positional arguments, and `key value` options.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace foxshunt::standins {

using Words = std::vector<std::string>;

// Of a line without its comment.
[[nodiscard]] Words split(const std::string& line);
// Throw std::runtime_error, which names the argument, if the text is no such number.
[[nodiscard]] double number_from(const std::string& text, const std::string& what);
[[nodiscard]] std::size_t count_from(const std::string& text, const std::string& what);

// Positional arguments, one after the other. All throw std::runtime_error, which names what is missing or wrong.
class Arguments {
 public:
  // `first`: how many words come before them.
  Arguments(Words words, std::size_t first) : words_(std::move(words)), next_(first) {}

  [[nodiscard]] std::string text(const std::string& what);
  [[nodiscard]] double number(const std::string& what);  // not negative
  [[nodiscard]] std::size_t count(const std::string& what);
  // One of these words.
  [[nodiscard]] std::string choice(const std::string& what, const std::set<std::string>& words);
  // Whether the next word is this one, which is then taken.
  [[nodiscard]] bool flag(const std::string& word);
  // No word may be left.
  void finish() const;

 private:
  Words words_;
  std::size_t next_;
};

// `key value` pairs and lone flags in any order.
class Options {
 public:
  Options(const Words& words, std::size_t from, const std::set<std::string>& flags);

  [[nodiscard]] std::string text(const std::string& key, const std::string& otherwise = "");
  [[nodiscard]] double number(const std::string& key, double otherwise = 0);
  // One of these words.
  [[nodiscard]] std::string choice(const std::string& key, const std::set<std::string>& words,
                                   const std::string& otherwise);
  // `yes` or `no`.
  [[nodiscard]] bool enabled(const std::string& key, bool otherwise);
  [[nodiscard]] bool flag(const std::string& key) { return !text(key).empty(); }
  // Throws std::runtime_error if there is a key that nobody has asked for.
  void finish() const;

 private:
  std::map<std::string, std::string> values_;
  std::set<std::string> used_;
};

}  // namespace foxshunt::standins
