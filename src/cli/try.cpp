#include "cli/try.h"

#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <iostream>

namespace foxshunt::cli {

Exit try_out(bool keep) {
  std::error_code error;
  const std::filesystem::path self = std::filesystem::read_symlink("/proc/self/exe", error);
  const std::string program = (self.parent_path() / "foxshunt-try").string();
  ::execl(program.c_str(), program.c_str(), keep ? "--keep" : nullptr, nullptr);
  if (errno == ENOENT) {
    std::cerr << "foxshunt: " << program << " is not built; `./setup` builds it, or in the source folder\n"
              << "  cmake -S . -B target -DFOXSHUNT_TESTS=ON && cmake --build target --target foxshunt-try\n";
  } else {
    std::cerr << "foxshunt: " << program << " can't be run: " << std::strerror(errno) << "\n";
  }
  return Exit::failed;
}

}  // namespace foxshunt::cli
