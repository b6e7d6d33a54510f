// `foxshunt calendar`: what is due today and in the coming days, and what operators say to it.
#pragma once

#include <CLI/CLI.hpp>
#include <string>

#include "cli/client.h"

namespace foxshunt::cli {

class CalendarCommand {
 public:
  explicit CalendarCommand(CLI::App& app);
  [[nodiscard]] bool parsed() const { return command_->parsed(); }
  [[nodiscard]] Exit run() const;

 private:
  [[nodiscard]] Exit show_days() const;
  [[nodiscard]] Exit order(bool waive) const;

  std::string to_ = "127.0.0.1:8080";
  int days_ = 1;
  bool as_json_ = false;
  std::string entry_;
  std::string occurrence_;
  std::string by_;
  std::string why_;
  CLI::App* command_;
  CLI::App* waive_;
  CLI::App* acknowledge_;
};

}  // namespace foxshunt::cli
