#ifndef FAKE_READY_FILE_H_
#define FAKE_READY_FILE_H_

#include <csignal>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <string>

namespace kch::fake {

/*! @brief Blocks SIGINT and SIGTERM; call it before any thread starts. */
inline void BlockStopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGTERM);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

/*! @brief Waits for SIGINT or SIGTERM. */
inline void WaitForStopSignal() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGTERM);
  int signal = 0;
  sigwait(&signals, &signal);
}

/*! @brief Prints the text, and writes it to the file if one is named. The file
 * appears complete or not at all, so that a reader can wait for it. */
inline bool Announce(const std::string& path, const std::string& text) {
  std::cout << text << std::flush;
  if (path.empty()) {
    return true;
  }
  const std::string partial = path + ".partial";
  {
    std::ofstream file(partial, std::ios::trunc);
    file << text;
    if (!file.flush()) {
      return false;
    }
  }
  return std::rename(partial.c_str(), path.c_str()) == 0;
}

}  // namespace kch::fake

#endif  // FAKE_READY_FILE_H_
