#ifndef CTL_EXIT_CODE_H_
#define CTL_EXIT_CODE_H_

#include <cstdint>

namespace kch::ctl {

/*! @brief Exit codes of kchctl; scripts depend on the numbers. */
enum class ExitCode : std::uint8_t {
  kDone = 0,
  kRefused = 1,      // refused, or not found
  kUsage = 2,        // wrong argument or setting; nothing was sent
  kUnreachable = 3,  // no server could be reached
  kUnknown = 4,      // outcome not known, or not in force everywhere yet
};

}  // namespace kch::ctl

#endif  // CTL_EXIT_CODE_H_
