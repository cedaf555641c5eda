#ifndef TEST_PROCESS_CALLERS_H_
#define TEST_PROCESS_CALLERS_H_

#include <atomic>
#include <cstddef>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "load/load.h"
#include "test/process/fleet.h"

namespace kch::test {

/*! @brief What a group of callers sends, each caller one request at a time
 * until its key is refused. */
struct CallerOptions {
  std::string team = "blue";
  std::size_t callers_per_entry = 4;
  int run_ms = 50;
  int unrepeatable_percent = 0;
};

/*! @brief Callers at every entry of a fleet, on threads of their own, and the
 * checks of all they were answered. */
class Callers {
 public:
  explicit Callers(Fleet& fleet) : fleet(fleet) {}
  ~Callers();
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;

  /*! @brief Starts a group of callers. */
  void Start(const CallerOptions& options);
  /*! @brief Sends nothing more to an entry; what was sent goes on. */
  void Avoid(std::size_t entry);
  /*! @brief Ends all callers after their present request. */
  void Stop();
  /*! @brief Answers of a kind so far, at one entry. */
  [[nodiscard]] std::size_t Count(std::size_t entry,
                                  load::Outcome outcome) const;
  /*! @brief Answers of a kind so far, at all entries. */
  [[nodiscard]] std::size_t Count(load::Outcome outcome) const;
  /*! @brief Waits until every entry in use has answered `count` more requests
   * with `done`. */
  void WaitForDone(std::size_t count);
  /*! @brief After Stop: checks all answers against the workers' logs and
   * reports each fault with Boost.Test. Callers of the entries in
   * `broken_allowed` may have lost their connections. */
  void Check(const std::set<std::size_t>& broken_allowed = {});

 private:
  void Run(const CallerOptions& options, std::size_t entry, std::size_t caller);

  Fleet& fleet;
  std::atomic<bool> stopping = false;
  std::vector<std::jthread> threads;
  mutable std::mutex mutex;
  std::set<std::size_t> avoided;
  load::Ledger ledger;
  std::map<std::size_t, std::map<load::Outcome, std::size_t>> counts;
  std::vector<std::string> broken;  // with the entry and the cause
  std::map<std::size_t, std::size_t> broken_counts;
};

}  // namespace kch::test

#endif  // TEST_PROCESS_CALLERS_H_
