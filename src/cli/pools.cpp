#include "cli/pools.h"

#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>

#include "accounts/account.h"
#include "cli/ask.h"

namespace foxshunt::cli {
namespace {

void print_pools(const wire::Value& body) {
  std::cout << std::left << std::setw(24) << "pool" << std::right;
  for (const char* head : {"wanted", "held", "asked", "warm", "in use", "warming", "lent"}) {
    std::cout << std::setw(9) << head;
  }
  std::cout << std::setw(16) << "cost, hour" << std::setw(16) << "cost, day"
            << "\n";
  for (const wire::Value& pool : body.list("pools")) {
    std::cout << std::left << std::setw(24) << pool.text("pool") << std::right;
    for (const char* figure : {"wanted", "held", "asked", "warm", "in_use", "warming", "lent"}) {
      std::cout << std::setw(9) << pool.count(figure);
    }
    std::cout << std::setw(16) << accounts::format_money(pool.count("hour_micros")) << std::setw(16)
              << accounts::format_money(pool.count("day_micros"));
    if (!pool.text("why").empty()) std::cout << "  " << pool.text("why");
    std::cout << "\n";
  }
  std::cout << "revision " << body.count("revision") << ", catalog " << body.count("catalog") << ", digest " << std::hex
            << body.count("digest") << std::dec << "\n";
}

// A field of comma-separated values; names are free text.
std::string field(const std::string& text) {
  if (text.find_first_of(",\"\n\r") == std::string::npos) return text;
  std::string quoted = "\"";
  for (const char sign : text) {
    if (sign == '"') quoted += '"';
    quoted += sign;
  }
  return quoted + "\"";
}

void print_csv(const wire::Value& body) {
  std::cout << "pool,day,payer,team,use,machine_ms,money\n";
  for (const wire::Value& account : body.list("accounts")) {
    for (const wire::Value& line : account.list("lines")) {
      std::cout << field(account.text("pool")) << ',' << account.text("day") << ',' << field(account.text("payer"))
                << ',' << field(line.text("team")) << ',' << line.text("use") << ',' << line.count("machine_ms") << ','
                << accounts::format_money(line.count("micros")) << "\n";
    }
  }
}

void print_accounts(const wire::Value& body) {
  for (const wire::Value& account : body.list("accounts")) {
    std::cout << account.text("pool") << " on " << account.text("day") << ", paid by " << account.text("payer") << ": "
              << accounts::format_money(account.count("micros")) << " for " << account.count("machine_ms") / 1000
              << " machine-seconds\n";
    for (const wire::Value& line : account.list("lines")) {
      std::cout << "  " << std::left << std::setw(10) << line.text("use") << std::setw(24) << line.text("team")
                << std::right << std::setw(14) << line.count("machine_ms") / 1000 << " s" << std::setw(18)
                << accounts::format_money(line.count("micros")) << "\n";
    }
    std::cout << "  starts that found their image: " << account.count("warm_starts")
              << ", that did not: " << account.count("cold_starts")
              << "; waits saved against cold: " << account.count("saved_ms") / 1000 << " s\n";
  }
}

Exit tell(const std::string& to, const char* path, bool as_json, const std::function<void(const wire::Value&)>& print) {
  const auto answer = ask(to, {.method = "GET", .path = path, .body = {}});
  if (!answer) return Exit::failed;
  return show(*answer, [&](const wire::Value& body) {
    if (as_json) {
      std::cout << to_json(body).dump(2) << "\n";
    } else {
      print(body);
    }
  });
}

}  // namespace

Exit pools(const std::string& to, bool as_json) { return tell(to, "/pools", as_json, print_pools); }

Exit accounts(const std::string& to, bool as_json, bool as_csv) {
  return tell(to, "/accounts", as_json, as_csv ? print_csv : print_accounts);
}

}  // namespace foxshunt::cli
